package origins

import (
	"context"
	"fmt"
	"io"
	"slices"
	"testing"
	"time"

	"currantpulley/internal/catalog"
	"currantpulley/internal/fleet"
	"currantpulley/internal/observe"
	"currantpulley/internal/peer"
	"currantpulley/internal/rendezvous"
)

// node is the Origins of one daemon with its server.
type node struct {
	*Origins
	vm   fleet.VM
	stop func() // ends the daemon
}

// startNodes starts the Origins of n daemons that know each other.
func startNodes(t *testing.T, n int) []*node {
	t.Helper()
	nodes := make([]*node, n)
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
		o := New(Options{Pool: pool, Self: vm.Name, Recorder: logs, View: func() fleet.View { return fleet.View{VMs: vms} }})
		o.Register(server.Server)
		go func() { _ = server.Run(ctx) }()
		nodes[i] = &node{o, vm, func() { cancel(); server.Stop() }}
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
		if b, err := n.FindBuild(t.Context(), "a"); b != build {
			t.Errorf("%s: build %d, %v", n.vm.Name, b, err)
		}
	}
}

// A stream that nobody recorded is not known. If an owner does not answer, that is
// an error, since the owner may know it.
func TestUnknownStream(t *testing.T) {
	nodes := startNodes(t, 4)
	if b, err := nodes[0].FindBuild(t.Context(), "b"); b != 0 || err != nil {
		t.Errorf("build %d, %v", b, err)
	}
	nodes[2].stop()
	began := time.Now()
	if b, err := nodes[0].FindBuild(t.Context(), "b"); b != 0 || err == nil {
		t.Errorf("build %d, %v with an owner that is down", b, err)
	}
	if took := time.Since(began); took > 2*findTimeout {
		t.Errorf("took %v", took)
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
