package loads

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"currantpulley/internal/config"
	"currantpulley/internal/control/loop"
	"currantpulley/internal/fleet"
	"currantpulley/internal/peer"
	"currantpulley/internal/snapshot"
)

const waitTimeout = 20 * time.Second

// fakePoller answers each poll with the report that was last set.
type fakePoller struct {
	mu     sync.Mutex
	report Report
}

func (p *fakePoller) set(r Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.report = r
}

func (p *fakePoller) Poll(context.Context, *config.Upstream) (Report, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.report, nil
}

func TestDaemonsOverLoopback(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	poller := &fakePoller{report: Report{Incarnation: "1"}}
	const daemons = 4
	var view fleet.View
	var servers []*peer.Server
	for i := range daemons {
		server, err := peer.Listen("127.0.0.1:0", nil)
		if err != nil {
			t.Fatal(err)
		}
		servers = append(servers, server)
		view.VMs = append(view.VMs, fleet.VM{Name: fmt.Sprintf("vm-%d", i), PeerAddress: server.Address(), Site: "s"})
	}
	updates := make([]chan []State, daemons)
	for i, server := range servers {
		updates[i] = make(chan []State, 1024)
		pool := peer.NewPool(nil)
		defer pool.Close()
		controlLoop := loop.New()
		l := New(Options{
			Loop: controlLoop, Pool: pool, Poller: poller, Self: view.VMs[i].Name,
			OnUpdate: func(s []State) { updates[i] <- s }, Cycle: 100 * time.Millisecond, PullPeriod: 200 * time.Millisecond,
		})
		l.Register(server.Server)
		go controlLoop.Run(ctx)
		go func() { _ = server.Run(ctx) }()
		own := fleet.View{Self: view.VMs[i].Name, VMs: view.VMs}
		controlLoop.Post(func(now time.Time) {
			l.SetView(own)
			l.SetUpstreams(now, engines(5))
		})
		go l.Run(ctx)
	}
	awaitAll(t, updates, func(s State) bool { return s.Health == snapshot.Up && s.Incarnation == "1" })
	poller.set(Report{Incarnation: "2", Loading: true})
	awaitAll(t, updates, func(s State) bool { return s.Health == snapshot.Loading && s.Incarnation == "2" })
	poller.set(Report{Incarnation: "2", Load: snapshot.Load{Running: 9}})
	awaitAll(t, updates, func(s State) bool { return s.Health == snapshot.Up && s.Load.Running == 9 })
}

// awaitAll waits until holds is true of every engine's state at every daemon.
func awaitAll(t *testing.T, updates []chan []State, holds func(State) bool) {
	t.Helper()
	deadline := time.After(waitTimeout)
	for i := range updates {
		for done := false; !done; {
			select {
			case states := <-updates[i]:
				done = len(states) > 0
				for _, s := range states {
					done = done && holds(s)
				}
			case <-deadline:
				t.Fatalf("daemon %d did not get the expected states", i)
			}
		}
	}
}
