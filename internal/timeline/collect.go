package timeline

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"currantpulley/internal/event"
	"currantpulley/internal/failure"
	"currantpulley/internal/fleet"
	"currantpulley/internal/peer"
	pb "currantpulley/internal/timeline/timelinepb"
)

const (
	maxEntries         = 2000            // per VM and query
	collectConcurrency = 16              // VMs queried at the same time
	collectTimeout     = 2 * time.Second // for one VM
)

// limit returns the number of entries that one VM returns at most.
func (f Filter) limit() int {
	if f.Limit <= 0 || f.Limit > maxEntries {
		return maxEntries
	}
	return f.Limit
}

// Service answers the queries of other daemons for this VM's events.
type Service struct {
	pb.UnimplementedEventsServer
	recorder *Recorder
}

// NewService returns a Service for the events of r.
func NewService(r *Recorder) *Service { return &Service{recorder: r} }

// Register registers the service with server.
func (s *Service) Register(server *grpc.Server) { pb.RegisterEventsServer(server, s) }

// Query implements the RPC Events.Query.
func (s *Service) Query(_ context.Context, req *pb.QueryRequest) (*pb.QueryReply, error) {
	entries, truncated := s.recorder.Query(fromRequest(req))
	reply := &pb.QueryReply{Truncated: truncated}
	for _, e := range entries {
		reply.Entries = append(reply.Entries, toProto(e))
	}
	return reply, nil
}

// Missing is a VM whose events could not be collected, and why.
type Missing struct {
	VM    string `json:"vm"`
	Error string `json:"error"`
}

// Timeline holds the events of several VMs, collected from the daemons or read from
// their logs.
type Timeline struct {
	Entries   []Entry   `json:"entries"`   // in causal order
	VMs       []string  `json:"vms"`       // VMs that answered or whose log was read
	Missing   []Missing `json:"missing"`   // VMs that did not answer
	Truncated []string  `json:"truncated"` // VMs that omitted older entries; from logs, those that suppressed events
}

// Collector collects the events of all VMs of the fleet.
type Collector struct {
	recorder *Recorder
	pool     *peer.Pool
	view     func() fleet.View
}

// NewCollector returns a Collector that queries the VMs of view through pool, and
// reads the events of its own VM from r.
func NewCollector(r *Recorder, pool *peer.Pool, view func() fleet.View) *Collector {
	return &Collector{recorder: r, pool: pool, view: view}
}

// Collect queries all VMs except dead ones, a bounded number at a time. The result
// names the VMs that did not answer, the dead ones included.
func (c *Collector) Collect(ctx context.Context, f Filter) Timeline {
	var mu sync.Mutex
	result := Timeline{Entries: []Entry{}, Missing: []Missing{}}
	var group errgroup.Group
	group.SetLimit(collectConcurrency)
	for _, vm := range c.view().VMs {
		group.Go(func() error {
			entries, truncated, err := c.query(ctx, vm, f)
			mu.Lock()
			defer mu.Unlock()
			result.add(vm.Name, entries, truncated, err)
			return nil
		})
	}
	_ = group.Wait() // the goroutines return nil: errors are part of the result
	result.sort()
	if len(result.Missing) > 0 {
		c.recorder.Record(event.Event{ID: event.TimelineIncomplete, Detail: result.missingNames()})
	}
	return result
}

// query returns the events of one VM that f selects, and whether older ones were
// omitted.
func (c *Collector) query(ctx context.Context, vm fleet.VM, f Filter) ([]Entry, bool, error) {
	if vm.Name == c.recorder.vm {
		entries, truncated := c.recorder.Query(f)
		return entries, truncated, nil
	}
	if vm.State == fleet.Dead {
		return nil, false, failure.Atf("query events", vm.Name, "the VM is considered dead")
	}
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	conn, err := c.pool.Conn(vm.PeerAddress)
	if err != nil {
		return nil, false, err
	}
	reply, err := pb.NewEventsClient(conn).Query(ctx, toRequest(f))
	if err != nil {
		return nil, false, failure.At("query events", vm.Name, err)
	}
	entries := make([]Entry, 0, len(reply.GetEntries()))
	for _, e := range reply.GetEntries() {
		entries = append(entries, fromProto(e))
	}
	return entries, reply.GetTruncated(), nil
}

// add adds the answer of one VM, or its error.
func (t *Timeline) add(vm string, entries []Entry, truncated bool, err error) {
	if err != nil {
		t.Missing = append(t.Missing, Missing{VM: vm, Error: err.Error()})
		return
	}
	t.VMs = append(t.VMs, vm)
	t.Entries = append(t.Entries, entries...)
	if truncated {
		t.Truncated = append(t.Truncated, vm)
	}
}

func (t *Timeline) sort() {
	sortEntries(t.Entries)
	slices.Sort(t.VMs)
	slices.Sort(t.Truncated)
	slices.SortFunc(t.Missing, func(a, b Missing) int { return cmp.Compare(a.VM, b.VM) })
}

func (t *Timeline) missingNames() string {
	names := ""
	for i, m := range t.Missing {
		if i > 0 {
			names += ", "
		}
		names += m.VM
	}
	return names
}

// sortEntries sorts entries by hybrid logical time and then by VM.
func sortEntries(entries []Entry) {
	slices.SortStableFunc(entries, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.Timestamp, b.Timestamp), cmp.Compare(a.VM, b.VM))
	})
}

func toRequest(f Filter) *pb.QueryRequest {
	req := &pb.QueryRequest{
		Request: f.Request, Version: f.Version, Vm: f.VM, Upstream: f.Upstream, Kinds: f.Kinds, Limit: uint32(f.limit()),
	}
	if !f.Since.IsZero() {
		req.Since = f.Since.UnixNano()
	}
	return req
}

func fromRequest(req *pb.QueryRequest) Filter {
	f := Filter{
		Request: req.GetRequest(), Version: req.GetVersion(), VM: req.GetVm(), Upstream: req.GetUpstream(),
		Kinds: req.GetKinds(), Limit: int(req.GetLimit()),
	}
	if req.GetSince() != 0 {
		f.Since = time.Unix(0, req.GetSince())
	}
	return f
}

func toProto(e Entry) *pb.Entry {
	return &pb.Entry{
		Timestamp: uint64(e.Timestamp), Vm: e.VM, Number: uint32(e.Number), Name: e.Name, Level: string(e.Level),
		At: e.At.UnixNano(), Request: e.Request, Workspace: e.Workspace, Upstream: e.Upstream, Peer: e.Peer,
		Version: e.Version, Step: e.Step, Detail: e.Detail, Error: e.Error,
	}
}

func fromProto(e *pb.Entry) Entry {
	return Entry{
		Timestamp: Timestamp(e.GetTimestamp()), VM: e.GetVm(), Number: event.ID(e.GetNumber()), Name: e.GetName(),
		Level: event.Level(e.GetLevel()), At: time.Unix(0, e.GetAt()), Request: e.GetRequest(),
		Workspace: e.GetWorkspace(), Upstream: e.GetUpstream(), Peer: e.GetPeer(), Version: e.GetVersion(),
		Step: e.GetStep(), Detail: e.GetDetail(), Error: e.GetError(),
	}
}
