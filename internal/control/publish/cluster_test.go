package publish

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"

	"currantpulley/internal/backing"
	"currantpulley/internal/config"
	"currantpulley/internal/control/loop"
	"currantpulley/internal/event"
	"currantpulley/internal/fake/memlog"
	"currantpulley/internal/fleet"
	"currantpulley/internal/peer"
)

const testTimeout = 30 * time.Second

const (
	baseText = `schema = 1
[models.notes]
weights = "%s"
[workspaces.shop]
key_sha256 = ["0000000000000000000000000000000000000000000000000000000000000001"]
[publish]
ack_timeout = "2s"
takeover = "200ms"
detach = "2s"
`
	overlayText = `schema = 1
site = "punjab"
[upstreams.engine-1]
kind = "engine"
address = "127.0.0.1:9001"
data_centre = "a"
models = ["notes"]
`
)

func testSet(t *testing.T, weights string) *config.Set {
	t.Helper()
	set, err := config.Parse([]config.File{
		{Name: "base.toml", Data: []byte(fmt.Sprintf(baseText, weights))},
		{Name: "punjab.toml", Data: []byte(overlayText)},
	})
	if err != nil {
		t.Fatal(err)
	}
	return set
}

// badWeightsCheck refuses configurations with weights named bad.
type badWeightsCheck struct{}

func (badWeightsCheck) Check(_, after *config.Config) []config.Problem {
	if after.Models["notes"].Weights != "bad" {
		return nil
	}
	return []config.Problem{{Key: "models.notes.weights", Message: "recent requests use it"}}
}

// interruptibleLog is a log whose calls fail while cut is set.
type interruptibleLog struct {
	backing.Log
	cut atomic.Bool
}

func (l *interruptibleLog) Read(ctx context.Context, s string, from uint64, n int, wait time.Duration) ([]backing.Record, error) {
	if l.cut.Load() {
		return nil, backing.ErrUnavailable
	}
	return l.Log.Read(ctx, s, from, n, wait)
}

func (l *interruptibleLog) Bounds(ctx context.Context, s string) (first, next uint64, err error) {
	if l.cut.Load() {
		return 0, 0, backing.ErrUnavailable
	}
	return l.Log.Bounds(ctx, s)
}

func (l *interruptibleLog) Append(ctx context.Context, s string, data []byte) (uint64, error) {
	if l.cut.Load() {
		return 0, backing.ErrUnavailable
	}
	return l.Log.Append(ctx, s, data)
}

// testNode is one daemon's publisher with its peer server.
type testNode struct {
	name    string
	log     *interruptibleLog
	pub     *Publisher
	loop    *loop.Loop
	server  *peer.Server
	stop    context.CancelFunc
	stopped sync.WaitGroup
	applied chan uint64 // versions, in the order of the Apply calls
}

// cluster is a fleet of nodes with one log and one view.
type cluster struct {
	t     *testing.T
	log   *memlog.Log
	mu    sync.Mutex
	view  []fleet.VM
	nodes map[string]*testNode
}

func newCluster(t *testing.T, names ...string) *cluster {
	c := &cluster{t: t, log: memlog.New(nil), nodes: make(map[string]*testNode)}
	for _, name := range names {
		c.prepare(name)
	}
	for _, name := range names {
		c.run(c.nodes[name])
	}
	t.Cleanup(func() {
		for _, n := range c.nodes {
			n.halt()
		}
	})
	return c
}

// prepare adds a node and does not start it.
func (c *cluster) prepare(name string) *testNode {
	server, err := peer.Listen("127.0.0.1:0", nil)
	if err != nil {
		c.t.Fatal(err)
	}
	n := &testNode{name: name, log: &interruptibleLog{Log: c.log}, loop: loop.New(), server: server, applied: make(chan uint64, 100)}
	n.pub = New(Options{
		Loop: n.loop, Log: n.log, Pool: peer.NewPool(nil), Recorder: event.Discard{},
		Traffic: badWeightsCheck{}, Site: "punjab", Self: name,
		View: func() fleet.View {
			c.mu.Lock()
			defer c.mu.Unlock()
			return fleet.View{Self: name, VMs: append([]fleet.VM(nil), c.view...)}
		},
		Apply: func(v uint64, _ *config.Set) { n.applied <- v },
	})
	n.pub.Register(grpc.ServiceRegistrar(server))
	c.nodes[name] = n
	c.setState(fleet.VM{Name: name, PeerAddress: server.Address(), DataCentre: "a"})
	return n
}

// setState adds vm to the view or replaces its entry.
func (c *cluster) setState(vm fleet.VM) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.view {
		if c.view[i].Name == vm.Name {
			c.view[i] = vm
			return
		}
	}
	c.view = append(c.view, vm)
}

func (c *cluster) run(n *testNode) {
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	n.stopped.Go(func() { n.loop.Run(ctx) })
	n.stopped.Go(func() { n.server.Run(ctx) })
	n.stopped.Go(func() { n.pub.Run(ctx) })
}

func (n *testNode) halt() {
	if n.stop != nil {
		n.stop()
		n.stopped.Wait()
	}
}

// await waits until the node has applied version v, and fails if versions
// decrease.
func (n *testNode) await(t *testing.T, v uint64) {
	t.Helper()
	last := uint64(0)
	for deadline := time.After(testTimeout); last != v; {
		select {
		case got := <-n.applied:
			if got < last {
				t.Fatalf("%s went from version %d back to %d", n.name, last, got)
			}
			last = got
		case <-deadline:
			t.Fatalf("%s has version %d, want %d", n.name, last, v)
		}
	}
}

func (c *cluster) submit(set *config.Set, override bool) Decision {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	d, err := NewSubmitter(c.log, func(string) {}).Submit(ctx, Submission{Set: set, Author: "tester", Override: override})
	if err != nil {
		c.t.Fatal(err)
	}
	return d
}

func (c *cluster) awaitAll(v uint64) {
	c.t.Helper()
	for _, n := range c.nodes {
		n.await(c.t, v)
	}
}

// TestPublishIsInForceEverywhere publishes accepted and refused content, and the
// same content again.
func TestPublishIsInForceEverywhere(t *testing.T) {
	c := newCluster(t, "vm-1", "vm-2", "vm-3")
	first := testSet(t, "w1")
	d := c.submit(first, false)
	if d.Result != Committed {
		t.Fatalf("%+v", d)
	}
	c.awaitAll(d.Candidate)
	if again := c.submit(first, false); !again.Already || again.Candidate != d.Candidate {
		t.Fatalf("published twice: %+v", again)
	}
	bad := c.submit(testSet(t, "bad"), true)
	if bad.Result != Refused || len(bad.Refusals) == 0 {
		t.Fatalf("%+v", bad)
	}
	r := bad.Refusals[0]
	if !strings.HasPrefix(r.GetVm(), "vm-") || r.GetFile() != "base.toml" || r.GetLine() != 3 || r.GetKey() != "models.notes.weights" {
		t.Fatalf("refusal %s", FormatRefusal(r))
	}
	second := c.submit(testSet(t, "w2"), true)
	c.awaitAll(second.Candidate)
	if second.Candidate <= d.Candidate {
		t.Fatalf("version %d after %d", second.Candidate, d.Candidate)
	}
	if old := c.submit(first, true); !old.Already || old.Winner != second.Candidate {
		t.Fatalf("a replaced version was published again without Republish: %+v", old)
	}
}

// TestSilentVMRefuses stops a VM without an announcement: candidates are refused
// until the VM is declared dead.
func TestSilentVMRefuses(t *testing.T) {
	c := newCluster(t, "vm-1", "vm-2", "vm-3")
	c.awaitAll(c.submit(testSet(t, "w1"), false).Candidate)
	c.nodes["vm-3"].halt()
	d := c.submit(testSet(t, "w2"), true)
	if d.Result != Refused || d.Refusals[0].GetVm() != "vm-3" || !strings.Contains(d.Refusals[0].GetReason(), "did not answer") {
		t.Fatalf("%+v", d)
	}
	vm, _ := fleet.View{VMs: c.view}.Find("vm-3")
	vm.State = fleet.Dead
	c.setState(vm)
	if d := c.submit(testSet(t, "w2"), true); d.Result != Committed {
		t.Fatalf("with vm-3 declared dead: %+v", d)
	}
}

// TestLostRepliesPublishOnce checks that the retry of a failed append, or of one
// whose reply was lost, leaves one candidate in the log.
func TestLostRepliesPublishOnce(t *testing.T) {
	for _, fault := range []memlog.Fault{memlog.LostBefore, memlog.LostAfter, memlog.Refused} {
		c := newCluster(t, "vm-1")
		c.log.Inject(fault)
		d := c.submit(testSet(t, "w1"), false)
		if d.Result != Committed {
			t.Fatalf("fault %d: %+v", fault, d)
		}
		c.awaitAll(d.Candidate)
		records, err := c.log.Read(context.Background(), backing.StreamConfig, 1, 100, 0)
		if err != nil {
			t.Fatal(err)
		}
		candidates := 0
		for _, r := range records {
			if e := newEntry(r); e.record.GetCandidate() != nil {
				candidates++
			}
		}
		if candidates != 1 {
			t.Fatalf("fault %d: %d candidates in the log", fault, candidates)
		}
	}
}

// TestVMWithoutTheLogFollowsPeers cuts one VM off the log. It must apply new
// versions from its peers and stay attached.
func TestVMWithoutTheLogFollowsPeers(t *testing.T) {
	c := newCluster(t, "vm-1", "vm-2", "vm-3")
	c.awaitAll(c.submit(testSet(t, "w1"), false).Candidate)
	cut := c.nodes["vm-3"]
	cut.log.cut.Store(true)
	d := c.submit(testSet(t, "w2"), true)
	if d.Result != Committed {
		t.Fatalf("%+v", d)
	}
	c.nodes["vm-1"].await(t, d.Candidate)
	cut.loop.Do(context.Background(), func(now time.Time) { cut.pub.PeerVersionReceived("vm-1", d.Candidate, now) })
	cut.await(t, d.Candidate)
	if cut.pub.Detached() {
		t.Fatal("a VM with peers detached")
	}
}

func TestBootFromAPeerWhileTheLogIsDown(t *testing.T) {
	c := newCluster(t, "vm-1", "vm-2")
	d := c.submit(testSet(t, "w1"), false)
	c.awaitAll(d.Candidate)
	c.log.SetDown(true)
	late := c.prepare("vm-3")
	c.run(late)
	late.await(t, d.Candidate)
}

// TestBootFromTheLogAfterRetention trims all records of the version in force: a
// VM that has the version must append it to the log again.
func TestBootFromTheLogAfterRetention(t *testing.T) {
	c := newCluster(t, "vm-1")
	first := c.submit(testSet(t, "w1"), false)
	second := c.submit(testSet(t, "w2"), true)
	c.awaitAll(second.Candidate)
	c.nodes["vm-1"].halt()
	_, next, err := c.log.Bounds(context.Background(), backing.StreamConfig)
	if err != nil || first.Result != Committed {
		t.Fatal(err)
	}
	c.log.Trim(backing.StreamConfig, next)
	restorer := c.prepare("vm-2")
	c.run(restorer) // the stream is empty and no peer has a version
	if err := restorer.loop.Do(context.Background(), func(now time.Time) {
		restorer.pub.machine.Fetched(now, "vm-1", second.Candidate, second.Hash, testSet(t, "w2").Canonical())
		restorer.pub.dispatch(now)
	}); err != nil {
		t.Fatal(err)
	}
	restorer.await(t, second.Candidate)
	records, err := c.log.Read(context.Background(), backing.StreamConfig, next, 1, testTimeout)
	if err != nil || len(records) != 1 || newEntry(records[0]).record.GetInForce().GetVersion() != second.Candidate {
		t.Fatalf("the version in force was not appended again: %v, %v", records, err)
	}
}
