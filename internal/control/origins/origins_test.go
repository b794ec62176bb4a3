package origins

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"testing"
	"time"

	"currantpulley/internal/catalog"
	"currantpulley/internal/fleet"
	"currantpulley/internal/freshness"
	"currantpulley/internal/observe"
	"currantpulley/internal/peer"
	"currantpulley/internal/rendezvous"
)

const (
	testService = "s"
	testWindow  = 500 * time.Millisecond
)

// node is the Origins of one daemon with its server.
type node struct {
	*Origins
	vm      fleet.VM
	watcher *catalog.Watcher
	proof   *freshness.Proof
	stop    func() // ends the daemon
	prove   func() error
}

// find calls FindBuild for the test's service.
func (n *node) find(t *testing.T, attempt string) (catalog.Build, error) {
	t.Helper()
	return n.FindBuild(t.Context(), attempt, []string{testService}, testWindow)
}

// putUpstream tells the daemon of an upstream, which it has just read.
func (n *node) putUpstream(id, software string) {
	n.proof.RecordRead(1, freshness.Now())
	n.watcher.PutUpstream(&catalog.Upstream{ID: id, Service: testService, Software: software})
}

// startNodes starts the Origins of n daemons that know each other.
func startNodes(t testing.TB, n int) []*node {
	t.Helper()
	nodes := make([]*node, n)
	streams := &fakeStreams{}
	var vms []fleet.VM
	for i := range nodes {
		server, err := peer.Listen("127.0.0.1:0", nil)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		pool := peer.NewPool(nil)
		logs := observe.NewLogs(io.Discard, "vm", "debug")
		t.Cleanup(func() { cancel(); pool.Close(); _ = logs.Close() })
		vm := fleet.VM{Name: fmt.Sprint("vm-", i), PeerAddress: server.Address(), State: fleet.Alive}
		watcher, proof := catalog.NewWatcher(), &freshness.Proof{}
		n := &node{vm: vm, watcher: watcher, proof: proof, stop: func() { cancel(); server.Stop() }, prove: func() error { return nil }}
		n.Origins = New(Options{
			Pool: pool, Self: vm.Name, Recorder: logs, View: func() fleet.View { return fleet.View{VMs: vms} },
			Watcher: watcher, Proof: proof, Prove: func(context.Context, freshness.Instant) error { return n.prove() },
			Store: &fakeStore{}, Streams: streams,
		})
		n.Register(server.Server)
		go func() { _ = server.Run(ctx) }()
		nodes[i] = n
		vms = append(vms, vm)
	}
	return nodes
}

// Each daemon must find the build of a stream that another one began, also after
// that one and all owners but one stopped.
func TestBuildIsFoundAtOtherDaemons(t *testing.T) {
	nodes := startNodes(t, 7)
	const build = catalog.Build(17)
	nodes[0].RecordBuild("a", build)
	nodes[0].sendPending(t.Context())
	stream := rendezvous.Hash("a")
	var live []fleet.VM
	for _, n := range nodes {
		live = append(live, n.vm)
	}
	writtenTo := owners(live, stream, ownersWritten)
	for _, n := range nodes {
		if !slices.Contains(writtenTo, n.vm) || n.vm == nodes[0].vm {
			continue
		}
		for began := time.Now(); n.known.get(stream) == 0; time.Sleep(time.Millisecond) {
			if time.Since(began) > 5*time.Second {
				t.Fatalf("%s did not get the record", n.vm.Name)
			}
		}
	}
	nodes[0].stop()
	survivor := slices.IndexFunc(writtenTo, func(vm fleet.VM) bool { return vm != nodes[0].vm })
	for _, n := range nodes[1:] {
		if slices.Contains(writtenTo, n.vm) && n.vm != writtenTo[survivor] {
			n.stop()
		}
	}
	for _, n := range nodes[1:] {
		if slices.Contains(writtenTo, n.vm) && n.vm != writtenTo[survivor] {
			continue
		}
		if b, err := n.find(t, "a"); b != build {
			t.Errorf("%s: build %d, %v", n.vm.Name, b, err)
		}
	}
}

// Without a record, the only build that upstreams ran may have begun a stream. It
// must be certain that it was the only one, and that nobody has a record.
func TestStreamWithoutARecord(t *testing.T) {
	v1 := catalog.BuildOf(testService, "v1")
	all := func(nodes []*node, id, software string) {
		for _, n := range nodes {
			n.putUpstream(id, software)
		}
	}
	for name, tc := range map[string]struct {
		prepare        func(nodes []*node)
		named, unnamed catalog.Build // found if the caller named the first attempt, and if not
	}{
		"one version": {func(nodes []*node) { all(nodes, "a", "v1"); time.Sleep(2 * testWindow) }, v1, v1},
		"two versions": {func(nodes []*node) {
			all(nodes, "a", "v1")
			all(nodes, "b", "v2")
			time.Sleep(2 * testWindow)
		}, 0, 0},
		"all daemons have just started": {func(nodes []*node) { all(nodes, "a", "v1") }, 0, 0},
		"this daemon has just started": {func(nodes []*node) {
			all(nodes[1:], "a", "v1")
			time.Sleep(2 * testWindow)
			nodes[0].putUpstream("a", "v1")
		}, v1, v1},
		"this daemon has just started and knows of another version": {func(nodes []*node) {
			all(nodes[1:], "a", "v1")
			time.Sleep(2 * testWindow)
			nodes[0].putUpstream("b", "v2")
		}, 0, 0},
		"another daemon knows a different version": {func(nodes []*node) {
			all(nodes[:4], "a", "v1")
			all(nodes[4:], "b", "v2")
			time.Sleep(2 * testWindow)
		}, 0, v1},
		"the others don't agree": {func(nodes []*node) {
			all(nodes[1:3], "a", "v1")
			all(nodes[3:], "b", "v2")
			time.Sleep(2 * testWindow)
		}, 0, 0},
		"the upstreams were read long ago": {func(nodes []*node) {
			all(nodes, "a", "v1")
			time.Sleep(2 * testWindow)
			for _, n := range nodes {
				*n.proof = freshness.Proof{}
				n.proof.RecordRead(1, freshness.Now().Add(-2*registryMaxAge))
			}
		}, 0, 0},
		"this daemon has not read yet of another version": {func(nodes []*node) {
			all(nodes, "a", "v1")
			time.Sleep(2 * testWindow)
			nodes[0].prove = func() error { nodes[0].putUpstream("b", "v2"); return nil }
		}, 0, 0},
		"this daemon can't read whether there is another version": {func(nodes []*node) {
			all(nodes, "a", "v1")
			time.Sleep(2 * testWindow)
			nodes[0].prove = func() error { return errors.New("the store does not answer") }
		}, 0, 0},
		"another daemon has seen two versions": {func(nodes []*node) {
			all(nodes, "a", "v1")
			time.Sleep(2 * testWindow)
			nodes[4].putUpstream("b", "v2")
			nodes[4].watcher.RemoveUpstream("b")
		}, 0, v1},
		"an owner does not answer": {func(nodes []*node) {
			all(nodes, "a", "v1")
			time.Sleep(2 * testWindow)
			nodes[3].stop()
		}, 0, v1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			nodes := startNodes(t, 5)
			tc.prepare(nodes)
			for attempt, want := range map[string]catalog.Build{"never-seen": tc.named, "": tc.unnamed} {
				began := time.Now()
				if got, err := nodes[0].find(t, attempt); got != want || (err == nil) != (want != 0) {
					t.Errorf("attempt %q: build %d, %v, want build %d", attempt, got, err, want)
				}
				if took := time.Since(began); took > 2*findTimeout {
					t.Errorf("attempt %q: took %v", attempt, took)
				}
			}
		})
	}
}

// A record must cost the same number of calls in a fleet of any size, and the
// owners that are asked must include those that were told, although some daemons
// stopped and others joined.
func TestOwnersInFleetsOfAnySize(t *testing.T) {
	for _, n := range []int{1, 2, 13, 48, 440} {
		var before []fleet.VM
		for i := range n {
			before = append(before, fleet.VM{Name: fmt.Sprint("vm-", i)})
		}
		after := append(slices.Clone(before[n/4:]), fleet.VM{Name: "new-1"}, fleet.VM{Name: "new-2"})
		for i := range 500 {
			stream := rendezvous.Hash(fmt.Sprint("s-", i))
			written, asked := owners(before, stream, ownersWritten), owners(after, stream, ownersAsked)
			if len(written) > ownersWritten || len(asked) > ownersAsked {
				t.Fatalf("%d daemons: %d told, %d asked", n, len(written), len(asked))
			}
			for _, vm := range written {
				if slices.Contains(after, vm) && !slices.Contains(asked, vm) {
					t.Fatalf("%d daemons: %s was told about stream %d and is not asked", n, vm.Name, i)
				}
			}
		}
	}
}

func TestTableForgetsTheOldest(t *testing.T) {
	var tab table
	now := time.Unix(1000, 0)
	tab.put(1, 11, now)
	tab.put(2, 12, now.Add(lifetime))
	if tab.get(1) != 11 || tab.get(2) != 12 {
		t.Error("a build is forgotten within its lifetime")
	}
	tab.put(3, 13, now.Add(2*lifetime))
	if tab.get(1) != 0 || tab.get(2) != 12 || tab.get(3) != 13 {
		t.Errorf("%d %d %d", tab.get(1), tab.get(2), tab.get(3))
	}
	for i := range uint64(3 * generationMax) {
		tab.put(i, 1, now.Add(2*lifetime))
	}
	if n := len(tab.newer) + len(tab.older); n > 2*generationMax {
		t.Errorf("%d builds are kept", n)
	}
}

// fakeStore is a BuildStore in memory.
type fakeStore struct {
	builds map[SavedBuild]bool
	saves  int
	err    error // of all calls
}

func (s *fakeStore) Load(context.Context) ([]SavedBuild, error) {
	return slices.Collect(maps.Keys(s.builds)), s.err
}

func (s *fakeStore) Save(_ context.Context, b SavedBuild, kept bool) error {
	if s.err != nil {
		return s.err
	}
	s.saves++
	if kept {
		s.builds[b] = true
	} else {
		delete(s.builds, b)
	}
	return nil
}

// One daemon must save each build once, save it again after some time, in case the
// store lost it, and delete it when no upstream has run it for long.
func TestBuildsAreSaved(t *testing.T) {
	nodes := startNodes(t, 4)
	shared := &fakeStore{builds: make(map[SavedBuild]bool)}
	for _, n := range nodes {
		n.history.saved.store = shared
		n.putUpstream("a", "v1")
		n.putUpstream("b", "v2")
	}
	now := time.Now()
	step := func(what string, after time.Duration, builds, saves int) {
		t.Helper()
		now = now.Add(after)
		shared.saves = 0
		for _, n := range nodes {
			n.history.saved.saveChanges(t.Context(), now)
		}
		if len(shared.builds) != builds || shared.saves != saves {
			t.Errorf("%s: %d builds after %d saves, want %d after %d", what, len(shared.builds), shared.saves, builds, saves)
		}
	}
	step("new", 0, 2, 2)
	step("saved before", time.Second, 2, 0)
	clear(shared.builds)
	step("lost by the store", saveAgain, 2, 2)
	for _, n := range nodes {
		n.watcher.RemoveUpstream("b")
	}
	shared.err = errors.New("the store is away")
	step("store away", saveAgain, 2, 0)
	shared.err = nil
	step("one without upstreams", time.Second, 2, 2)
	step("not for long enough", forgetAfter/2, 2, 2)
	step("for long", forgetAfter/2, 1, 2)
	step("deleted", time.Second, 1, 0)
}

// A new build must be known as kept at each daemon after one save, or after more if the
// daemon in charge doesn't answer, and not while the store does not save it.
func TestNewBuildIsKept(t *testing.T) {
	b := SavedBuild{testService, catalog.BuildOf(testService, "v1")}
	for name, tc := range map[string]struct {
		err         error // of the store
		inChargeOut bool  // the daemon in charge doesn't answer
		kept        bool
		saves       int
	}{
		"saved":                              {nil, false, true, 1},
		"the daemon in charge is away":       {nil, true, true, 3},
		"the store is away":                  {errors.New("away"), false, false, 0},
		"neither of them answers the others": {errors.New("away"), true, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			nodes := startNodes(t, 4)
			shared := &fakeStore{builds: make(map[SavedBuild]bool), err: tc.err}
			for _, n := range nodes {
				n.history.saved.store = shared
				n.putUpstream("a", "v1")
				if m := n.history.saved; tc.inChargeOut && m.isInCharge(m.view().Live(), b) {
					n.stop()
				}
			}
			for _, n := range nodes {
				m := n.history.saved
				if tc.inChargeOut && m.isInCharge(m.view().Live(), b) {
					continue
				}
				if all := m.keepAll(t.Context()); all != tc.kept || n.IsKept(b.Build) != tc.kept {
					t.Errorf("%s: kept %t, all %t", n.vm.Name, n.IsKept(b.Build), all)
				}
			}
			if shared.saves != tc.saves {
				t.Errorf("%d saves, want %d", shared.saves, tc.saves)
			}
		})
	}
}

// Guards against builds that are forgotten because the store was restored from a copy
// that doesn't have them.
func TestBuildsAreKeptAgainAfterARestore(t *testing.T) {
	nodes := startNodes(t, 3)
	shared := &fakeStore{builds: make(map[SavedBuild]bool)}
	for _, n := range nodes {
		n.history.saved.store = shared
		n.putUpstream("a", "v1")
		n.history.saved.keepAll(t.Context())
	}
	clear(shared.builds)
	shared.saves = 0
	for _, n := range nodes {
		n.history.saved.forgetKept()
	}
	b := catalog.BuildOf(testService, "v1")
	if nodes[0].IsKept(b) {
		t.Error("a build that the store has lost counts as kept")
	}
	for _, n := range nodes {
		n.history.saved.keepAll(t.Context())
		if !n.IsKept(b) {
			t.Errorf("%s: the build is not kept", n.vm.Name)
		}
	}
	if len(shared.builds) != 1 || shared.saves != 1 {
		t.Errorf("%d builds after %d saves, want 1 after 1", len(shared.builds), shared.saves)
	}
}

// A build that no upstream runs any more must not count as kept when it is deleted.
func TestDeletedBuildIsNotKept(t *testing.T) {
	n := startNodes(t, 1)[0]
	n.history.saved.store = &fakeStore{builds: make(map[SavedBuild]bool)}
	n.putUpstream("a", "v1")
	now := time.Now()
	n.history.saved.saveChanges(t.Context(), now)
	b := catalog.BuildOf(testService, "v1")
	if !n.IsKept(b) {
		t.Error("a saved build is not kept")
	}
	n.watcher.RemoveUpstream("a")
	n.history.saved.saveChanges(t.Context(), now.Add(keptFor))
	if n.IsKept(b) {
		t.Error("a build without upstreams is kept until it is deleted")
	}
}
