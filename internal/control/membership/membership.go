package membership

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	pb "currantpulley/internal/control/membership/membershippb"
	"currantpulley/internal/event"
	"currantpulley/internal/failure"
	"currantpulley/internal/fleet"
)

const (
	joinTimeout    = 500 * time.Millisecond // for each page fetched from a donor
	joinTries      = 20                     // attempts before the VM relies on the list and probes alone
	joinRetry      = 300 * time.Millisecond // between two attempts
	listRetry      = 500 * time.Millisecond // while no other VM is known
	joinJitter     = 50 * time.Millisecond  // spreads the first calls when a whole fleet restarts at once
	joinPages      = 64                     // maximum number of pages fetched from one donor
	leaveTimeout   = 800 * time.Millisecond
	listTimeout    = 2 * time.Second
	jitterFraction = 0.2 // of a period, in either direction
)

// Membership runs the membership protocol. Its state is owned by the control
// goroutine.
type Membership struct {
	pb.UnimplementedMembershipServer
	opts        Options
	m           *machine
	view        atomic.Pointer[fleet.View]
	lastContact atomic.Int64 // Unix nanoseconds; 0: never
	ctx         atomic.Pointer[context.Context]
}

// New returns a Membership whose view holds Self and the seeds.
func New(opts Options) *Membership {
	now := time.Now()
	opts.setDefaults(now)
	s := &Membership{opts: opts, m: newMachine(opts, now)}
	view := s.m.view()
	s.view.Store(&view)
	background := context.Background()
	s.ctx.Store(&background)
	return s
}

// Register registers the protocol's gRPC service with server.
func (s *Membership) Register(server *grpc.Server) { pb.RegisterMembershipServer(server, s) }

// View returns the current view without blocking.
func (s *Membership) View() fleet.View { return *s.view.Load() }

// LastContact returns the last time at which any peer answered or called, or the
// zero time if none has.
func (s *Membership) LastContact() time.Time {
	if ns := s.lastContact.Load(); ns != 0 {
		return time.Unix(0, ns)
	}
	return time.Time{}
}

// SetSite sets the site of this VM. It must be called on the control goroutine.
func (s *Membership) SetSite(site string) {
	s.m.setSite(site)
	s.publish()
}

// Run probes peers, synchronises views and polls the platform's VM list until
// ctx ends.
func (s *Membership) Run(ctx context.Context) {
	s.ctx.Store(&ctx)
	s.opts.Loop.Post(func(time.Time) { s.publish() })
	go s.pollList(ctx)
	go s.join(ctx)
	go s.every(ctx, s.opts.SyncPeriod, s.sync)
	s.every(ctx, s.opts.ProbePeriod, s.tick)
}

// every calls f once per period, with jitter, until ctx ends.
func (s *Membership) every(ctx context.Context, period time.Duration, f func(context.Context)) {
	for sleep(ctx, jittered(period)) {
		f(ctx)
	}
}

// jittered returns a random time around d.
func jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + jitterFraction*(2*rand.Float64()-1)))
}

// publish makes the view visible to readers if it changed. It must be called
// on the control goroutine.
func (s *Membership) publish() {
	if !s.m.changed {
		return
	}
	s.m.changed = false
	view := s.m.view()
	s.view.Store(&view)
	s.closeForgotten(view)
	s.opts.OnView(view)
}

// closeForgotten closes the connections to VMs that were dropped from the view,
// unless another VM now uses the address.
func (s *Membership) closeForgotten(view fleet.View) {
	for _, address := range s.m.forgottenAddresses {
		if !slices.ContainsFunc(view.VMs, func(vm fleet.VM) bool { return vm.PeerAddress == address }) {
			s.opts.Pool.Forget(address)
		}
	}
	s.m.forgottenAddresses = nil
}

// pollList reads the platform's VM list once per period and records when the
// list becomes unavailable or available again.
func (s *Membership) pollList(ctx context.Context) {
	if s.opts.List == nil {
		return
	}
	available := true
	read := func(ctx context.Context) {
		bounded, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		vms, err := s.opts.List.List(bounded)
		if ok := err == nil; ok != available {
			available = ok
			s.recordListStatus(ok, err)
		}
		if err != nil {
			return
		}
		s.opts.Loop.Post(func(now time.Time) {
			s.m.applyList(now, vms)
			s.publish()
		})
	}
	read(ctx)
	for s.alone(ctx) { // the list lags, so a new VM may still be missing from it
		if !sleep(ctx, listRetry) {
			return
		}
		read(ctx)
	}
	for sleep(ctx, jittered(listPeriod(s.opts, s.View().LiveCount()))) {
		read(ctx)
	}
}

// listPeriod returns the time between two reads of the list by one of a number of live
// VMs. A VM that some of them don't know of yet is found by any of them, so more of them
// don't have to read more often.
func listPeriod(o Options, live int) time.Duration {
	if o.ListReaders <= 0 {
		return o.ListPeriod
	}
	return max(o.ListPeriod, time.Duration(live)*o.ListPeriod/time.Duration(o.ListReaders))
}

// alone reports whether this daemon knows no other VM.
func (s *Membership) alone(ctx context.Context) bool {
	alone := false
	err := s.opts.Loop.Do(ctx, func(time.Time) { alone = len(s.m.view().VMs) <= 1 })
	return err == nil && alone
}

func (s *Membership) recordListStatus(ok bool, err error) {
	id := event.VMListUnavailable
	if ok {
		id = event.VMListAvailable
	}
	s.opts.Recorder.Record(event.Event{ID: id, Step: "list VMs", Err: err})
}

// tick sends the probes that are due.
func (s *Membership) tick(ctx context.Context) {
	var probes []probe
	err := s.opts.Loop.Do(ctx, func(now time.Time) {
		probes = s.m.tick(now)
		s.publish()
	})
	if err != nil {
		return
	}
	for _, p := range probes {
		go s.probe(ctx, p)
	}
}

// probe sends a direct probe and, if that fails, asks other VMs to probe the
// target.
func (s *Membership) probe(ctx context.Context, p probe) {
	if s.probeDirect(ctx, p) == nil {
		s.recordProbe(p, true)
		return
	}
	reached := make(chan bool, len(p.relays))
	for _, relay := range p.relays {
		go func() { reached <- s.probeIndirect(ctx, relay, p) }()
	}
	for range p.relays {
		if <-reached {
			s.recordProbe(p, true)
			return
		}
	}
	if ctx.Err() == nil {
		s.recordProbe(p, false)
	}
}

func (s *Membership) recordProbe(p probe, ok bool) {
	s.opts.Loop.Post(func(now time.Time) {
		s.m.recordProbe(now, p.target.Name, ok)
		s.publish()
	})
}

func (s *Membership) probeDirect(ctx context.Context, p probe) error {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	client, gossip, err := s.prepareCall(ctx, p.target)
	if err != nil {
		return err
	}
	reply, err := client.Probe(ctx, &pb.ProbeRequest{Gossip: gossip, Target: p.target.Name})
	if err != nil {
		return failure.At("probe", p.target.Name, err)
	}
	return s.receiveGossip(ctx, reply.GetGossip())
}

func (s *Membership) probeIndirect(ctx context.Context, relay fleet.VM, p probe) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*p.timeout)
	defer cancel()
	client, gossip, err := s.prepareCall(ctx, relay)
	if err != nil {
		return false
	}
	reply, err := client.Relay(ctx, &pb.RelayRequest{
		Gossip:        gossip,
		Target:        p.target.Name,
		TargetAddress: p.target.PeerAddress,
	})
	if err != nil || s.receiveGossip(ctx, reply.GetGossip()) != nil {
		return false
	}
	return reply.GetReached()
}

// prepareCall returns a client for vm and the gossip to send to it.
func (s *Membership) prepareCall(ctx context.Context, vm fleet.VM) (pb.MembershipClient, *pb.Gossip, error) {
	conn, err := s.opts.Pool.Conn(vm.PeerAddress)
	if err != nil {
		return nil, nil, err
	}
	var gossip *pb.Gossip
	err = s.opts.Loop.Do(ctx, func(time.Time) { gossip = s.m.gossip(vm.Name, vm.Incarnation) })
	return pb.NewMembershipClient(conn), gossip, err
}

// receiveGossip applies a peer's gossip on the control goroutine.
func (s *Membership) receiveGossip(ctx context.Context, g *pb.Gossip) error {
	s.lastContact.Store(time.Now().UnixNano())
	return s.opts.Loop.Do(ctx, func(now time.Time) {
		s.m.receive(now, g)
		s.publish()
	})
}

// sync exchanges the next page of the view with a neighbour whose view differs.
func (s *Membership) sync(ctx context.Context) {
	var vm fleet.VM
	var differs bool
	var after string
	err := s.opts.Loop.Do(ctx, func(time.Time) {
		vm, differs = s.m.syncPartner()
		after = s.m.cursor
	})
	if err != nil || !differs {
		return
	}
	next, err := s.fetchPage(ctx, vm, after)
	if err != nil {
		return // the next sync retries with another partner
	}
	s.opts.Loop.Post(func(time.Time) { s.m.cursor = next })
}

// join fetches the whole view from other VMs, those of this data centre first,
// until the sites of nearly all VMs are known. One fetch is not enough: when a
// whole fleet starts at once, the first donors know no more than this VM does.
func (s *Membership) join(ctx context.Context) {
	if !sleep(ctx, rand.N(joinJitter)) {
		return
	}
	for try := range joinTries {
		var donors []fleet.VM
		known := false
		if s.opts.Loop.Do(ctx, func(time.Time) { donors, known = s.m.joinOrder(), s.m.knowsSites() }) != nil {
			return
		}
		if known {
			return
		}
		if len(donors) > 0 {
			s.joinFrom(ctx, donors[try%len(donors)])
		}
		if !sleep(ctx, joinRetry) {
			return
		}
	}
}

func (s *Membership) joinFrom(ctx context.Context, donor fleet.VM) {
	if s.fetch(ctx, donor) == nil {
		s.opts.Recorder.Record(event.Event{ID: event.ViewFetched, Peer: donor.Name})
	}
}

// sleep waits for d and reports whether ctx is still valid.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// fetch exchanges the whole view with vm, page by page. It stops after
// joinPages pages.
func (s *Membership) fetch(ctx context.Context, vm fleet.VM) error {
	after := ""
	for range joinPages {
		next, err := s.fetchPage(ctx, vm, after)
		if err != nil {
			return failure.At("fetch view", vm.Name, err)
		}
		if next == "" {
			return nil
		}
		after = next
	}
	return nil
}

// fetchPage exchanges the page of names greater than after with vm. It returns
// the name to continue after, which is empty at the end of the view.
func (s *Membership) fetchPage(ctx context.Context, vm fleet.VM, after string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	client, gossip, err := s.prepareCall(ctx, vm)
	if err != nil {
		return "", err
	}
	req := &pb.SyncRequest{Gossip: gossip, After: after}
	if err := s.opts.Loop.Do(ctx, func(time.Time) { req.Updates, req.Until = s.m.page(after) }); err != nil {
		return "", err
	}
	reply, err := client.Sync(ctx, req)
	if err != nil {
		return "", err
	}
	err = s.opts.Loop.Do(ctx, func(now time.Time) {
		for _, u := range reply.GetUpdates() {
			s.m.applyUpdate(now, u, false)
		}
	})
	if err != nil {
		return "", err
	}
	return reply.GetNext(), s.receiveGossip(ctx, reply.GetGossip())
}
