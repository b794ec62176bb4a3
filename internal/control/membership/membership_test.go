package membership

import (
	"context"
	"fmt"
	"testing"
	"time"

	"currantpulley/internal/backing"
	"currantpulley/internal/control/loop"
	"currantpulley/internal/fleet"
	"currantpulley/internal/peer"
)

const waitTimeout = 20 * time.Second

// node runs one daemon's Membership on the loopback interface.
type node struct {
	*Membership
	views  chan fleet.View
	server *peer.Server
	stop   context.CancelFunc
	loop   *loop.Loop
}

func startNode(t *testing.T, name, centre string, seeds []backing.ListedVM) (*node, backing.ListedVM) {
	t.Helper()
	server, err := peer.Listen("127.0.0.1:0", nil)
	if err != nil {
		t.Fatal(err)
	}
	return startNodeOn(t, server, name, centre, seeds)
}

func startNodeOn(t *testing.T, server *peer.Server, name, centre string, seeds []backing.ListedVM) (*node, backing.ListedVM) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{views: make(chan fleet.View, 1024), server: server, stop: cancel, loop: loop.New()}
	pool := peer.NewPool(nil)
	n.Membership = New(Options{
		Loop: n.loop, Pool: pool, Seeds: seeds,
		Self:        fleet.VM{Name: name, PeerAddress: server.Address(), DataCentre: centre},
		Version:     func() uint64 { return 42 },
		OnView:      func(v fleet.View) { n.views <- v },
		ProbePeriod: 20 * time.Millisecond, ProbeTimeout: 200 * time.Millisecond,
		SuspicionTimeout: 300 * time.Millisecond, SyncPeriod: 50 * time.Millisecond,
	})
	n.Register(server.Server)
	go n.loop.Run(ctx)
	go func() { _ = server.Run(ctx) }()
	go n.Run(ctx)
	t.Cleanup(func() { cancel(); pool.Close() })
	return n, backing.ListedVM{Name: name, PeerAddress: server.Address(), DataCentre: centre}
}

// await waits for a view in which vm has announced itself and has the state.
func (n *node) await(t *testing.T, vm string, state fleet.State) {
	t.Helper()
	deadline := time.After(waitTimeout)
	for {
		if got, ok := n.View().Find(vm); ok && got.State == state && got.Incarnation > 0 {
			return
		}
		select {
		case <-n.views:
		case <-deadline:
			t.Fatalf("%s never became %v: %+v", vm, state, n.View())
		}
	}
}

func TestDaemonsOverLoopback(t *testing.T) {
	var seeds []backing.ListedVM
	var nodes []*node
	for i := range 5 {
		n, listed := startNode(t, fmt.Sprintf("vm-%d", i), fmt.Sprintf("dc-%d", i%2), seeds)
		if _, ok := n.View().Find(listed.Name); !ok || len(n.View().VMs) != len(seeds)+1 {
			t.Fatalf("the first view must hold self and the seeds at once: %+v", n.View())
		}
		nodes, seeds = append(nodes, n), append(seeds, listed)
	}
	for _, n := range nodes {
		for _, vm := range seeds {
			n.await(t, vm.Name, fleet.Alive)
		}
		if n.LastContact().IsZero() {
			t.Error("LastContact is zero on a daemon that has peers")
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	if err := nodes[4].Leave(ctx); err != nil {
		t.Fatal(err)
	}
	for _, n := range nodes[:4] {
		n.await(t, "vm-4", fleet.Leaving)
	}
	nodes[3].stop()
	for _, n := range nodes[:3] {
		n.await(t, "vm-3", fleet.Dead)
	}
}

// TestProbeForAnotherVMFails checks that a VM which got the address of another
// one doesn't answer probes in its place.
func TestProbeForAnotherVMFails(t *testing.T) {
	n, listed := startNode(t, "new", "dc", nil)
	replaced := backing.ListedVM{Name: "old", PeerAddress: listed.PeerAddress, DataCentre: "dc"}
	observer, _ := startNode(t, "observer", "dc", []backing.ListedVM{replaced})
	deadline := time.After(waitTimeout)
	for {
		if vm, ok := observer.View().Find("old"); ok && vm.State == fleet.Dead {
			break
		}
		select {
		case <-observer.views:
		case <-deadline:
			t.Fatalf("a VM whose address was reused by %s is not dead: %+v", n.opts.Self.Name, observer.View())
		}
	}
}

// TestRestartedVMIsFoundAgain checks that the others probe a dead VM again: one
// that restarts at its old address without seeds can't find them itself.
func TestRestartedVMIsFoundAgain(t *testing.T) {
	victim, listed := startNode(t, "victim", "dc", nil)
	observer, _ := startNode(t, "observer", "dc", []backing.ListedVM{listed})
	observer.await(t, "victim", fleet.Alive)
	victim.stop()
	observer.await(t, "victim", fleet.Dead)
	server, err := peer.Listen(listed.PeerAddress, nil)
	if err != nil {
		t.Fatal(err)
	}
	startNodeOn(t, server, "victim", "dc", nil)
	observer.await(t, "victim", fleet.Alive)
}
