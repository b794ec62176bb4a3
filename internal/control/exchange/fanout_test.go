package exchange

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"

	"currantpulley/internal/balance"
	"currantpulley/internal/control/loop"
	"currantpulley/internal/fleet"
	"currantpulley/internal/freshness"
	"currantpulley/internal/observe"
	"currantpulley/internal/peer"
)

// member is one daemon of a test fleet.
type member struct {
	*Exchange
	calls atomic.Int64 // sent by this daemon

	mu       sync.Mutex
	received []Notice
}

// startFleet starts n daemons that only talk when they announce something.
func startFleet(t *testing.T, n int) []*member {
	t.Helper()
	logs := observe.NewLogs(io.Discard, "test", "error")
	t.Cleanup(func() { _ = logs.Close() })
	vms := view(n)
	servers := make([]*peer.Server, n)
	for i := range vms {
		s, err := peer.Listen("127.0.0.1:0", nil)
		if err != nil {
			t.Fatal(err)
		}
		servers[i], vms[i].PeerAddress = s, s.Address()
	}
	members := make([]*member, n)
	for i := range vms {
		m := &member{}
		count := func(ctx context.Context, method string, req, reply any, cc *grpc.ClientConn, invoke grpc.UnaryInvoker, opts ...grpc.CallOption) error {
			m.calls.Add(1)
			return invoke(ctx, method, req, reply, cc, opts...)
		}
		pool := peer.NewPool(nil, grpc.WithUnaryInterceptor(count))
		t.Cleanup(pool.Close)
		m.Exchange = New(Options{
			Loop: loop.New(), Pool: pool, Self: vms[i].Name, Recorder: logs,
			View:               func() fleet.View { return fleet.View{Self: vms[i].Name, VMs: vms} },
			Collect:            func() []Use { return nil },
			Apply:              func(string, []Use, time.Duration) {},
			ComputedPrefixes:   func(time.Duration, int) []balance.Held { return nil },
			OnComputedPrefixes: func([]balance.Held) {},
			Announcements:      func() []Announcement { return nil },
			OnAnnouncement:     func(Announcement) {},
			Proof:              func() (int64, time.Duration, bool) { return 0, 0, false },
			OnProof:            func(int64, freshness.Instant) {},
			OnNotice:           m.receive,
		})
		m.Register(servers[i].Server)
		go m.opts.Loop.Run(t.Context())
		go func() { _ = servers[i].Run(t.Context()) }()
		members[i] = m
	}
	return members
}

func (m *member) receive(n Notice) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.received = append(m.received, n)
}

// knows reports whether the daemon received a notice about an upstream.
func (m *member) knows(upstream uint32) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, n := range m.received {
		if n.Upstream == upstream {
			return true
		}
	}
	return false
}

// TestAnnouncedOrdersDoNotExhaustOneDaemon checks that an announcement reaches all
// daemons although its origin calls only a few of them: a rollout announces two
// notices for each engine.
func TestAnnouncedOrdersDoNotExhaustOneDaemon(t *testing.T) {
	const (
		daemons    = 48
		originMost = 12 // calls of the origin, twice the depth of a binary tree
		fleetMost  = 3 * daemons
	)
	members := startFleet(t, daemons)
	members[0].Announce(t.Context(), Notice{Upstream: 7, Closed: true, TTL: 3 * time.Second, Token: 2})
	waitUntil(t, "all daemons know the notice", func() bool {
		for _, m := range members[1:] {
			if !m.knows(7) {
				return false
			}
		}
		return true
	})
	if members[0].knows(7) {
		t.Error("the origin applied its own notice as another daemon's")
	}
	total := int64(0)
	for _, m := range members {
		total += m.calls.Load()
	}
	if origin := members[0].calls.Load(); origin > originMost || total > fleetMost {
		t.Errorf("%d daemons: the origin of an announcement sends %d calls (at most %d), all daemons %d (at most %d)",
			daemons, origin, originMost, total, fleetMost)
	}
}

func waitUntil(t *testing.T, what string, f func() bool) {
	t.Helper()
	for range 500 {
		if f() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal(fmt.Sprint("not within 5 s: ", what))
}
