package orders

import (
	"context"
	"fmt"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"currantpulley/internal/config"
	"currantpulley/internal/control/lease"
	"currantpulley/internal/control/loop"
	"currantpulley/internal/event"
	"currantpulley/internal/fake/fakeengine"
	"currantpulley/internal/fake/memlog"
	"currantpulley/internal/fleet"
	"currantpulley/internal/snapshot"
	"currantpulley/internal/upstream"
)

// TestEnginesReachTheConfiguredState checks that three daemons bring the engines
// of two groups to new weights, an adapter and a role over HTTP, within the limit
// of concurrent loads.
func TestEnginesReachTheConfiguredState(t *testing.T) {
	const engines, loads = 6, 2
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	store := &fakeengine.WeightStore{Limit: loads}
	c := &config.Config{Site: "s", Upstreams: make(map[string]*config.Upstream)}
	c.Models = map[string]*config.Model{"m": {Name: "m", Weights: "w2", Adapters: []string{"a"}}}
	c.Orders = config.Orders{ConcurrentLoads: loads, KeepShare: 0.5, Lease: config.Duration(10 * time.Second), Delivery: config.Duration(time.Second)}
	snap := &snapshot.Snapshot{Version: 2, Config: c}
	for i := range engines {
		name := fmt.Sprint("engine-", i)
		server := httptest.NewServer(fakeengine.New(fakeengine.Options{
			Name: name, Weights: map[string]string{"m": "w1"}, ChecksFencing: i%2 == 0, LoadTime: 50 * time.Millisecond, Store: store,
		}))
		defer server.Close()
		c.Upstreams[name] = &config.Upstream{
			Name: name, Kind: config.KindEngine, Address: strings.TrimPrefix(server.URL, "http://"), Models: []string{"m"},
			ChecksFencing: i%2 == 0, Group: fmt.Sprint("group-", i%2), Role: "mixed",
		}
	}
	for i := range 3 {
		snap.View.VMs = append(snap.View.VMs, fleet.VM{Name: fmt.Sprint("vm-", i), Site: "s"})
	}
	log, adapter := memlog.New(nil), upstream.NewHTTPEngine(upstream.NewTransport())
	for _, vm := range snap.View.VMs {
		l := loop.New()
		leases := lease.New(lease.Options{Loop: l, Log: log, Self: vm.Name, Recorder: event.Discard{}})
		o := New(Options{
			Loop: l, Leases: leases, Engine: adapter, Self: vm.Name, Recorder: event.Discard{},
			Snapshot: func() *snapshot.Snapshot { return snap },
		})
		go l.Run(ctx)
		go leases.Run(ctx)
		go o.Run(ctx)
	}
	for _, u := range c.Upstreams {
		waitFor(ctx, t, adapter, u)
	}
	if most := store.MaxConcurrentLoads(); most > loads {
		t.Errorf("%d loads at once, want at most %d", most, loads)
	}
}

// waitFor polls an engine until its state is the configured one.
func waitFor(ctx context.Context, t *testing.T, e Engine, u *config.Upstream) {
	t.Helper()
	for {
		s, err := e.State(ctx, u.Address)
		if err != nil {
			t.Fatalf("%s: %v", u.Name, err)
		}
		if s.Weights["m"] == "w2" && s.Role == "mixed" && slices.Contains(s.Adapters, "a") {
			return
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
			t.Fatalf("%s: %+v", u.Name, s)
		}
	}
}
