package calls

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"currantpulley/internal/config"
	"currantpulley/internal/control/loop"
	"currantpulley/internal/event"
	"currantpulley/internal/fake/memlog"
	"currantpulley/internal/fleet"
	"currantpulley/internal/peer"
	"currantpulley/internal/refusal"
)

// cluster is a set of daemons' Calls, connected over gRPC, that share one log.
type cluster struct {
	log   *memlog.Log
	calls []*Calls
	stops []context.CancelFunc
	view  atomic.Pointer[fleet.View]
}

func newCluster(t *testing.T, n int, cfg config.Calls) *cluster {
	t.Helper()
	g := &cluster{log: memlog.New(nil)}
	conf := &config.Config{Calls: cfg}
	view := fleet.View{}
	var start []func()
	for i := range n {
		ctx, stop := context.WithCancel(context.Background())
		server, err := peer.Listen("127.0.0.1:0", nil)
		if err != nil {
			t.Fatal(err)
		}
		l, pool := loop.New(), peer.NewPool(nil)
		name := fmt.Sprintf("vm-%02d", i)
		c := New(Options{
			Loop: l, Log: g.log, Pool: pool, Self: name, Recorder: event.Discard{},
			View: func() fleet.View { return *g.view.Load() }, Config: func() *config.Config { return conf },
		})
		c.Register(server.Server)
		g.calls, g.stops = append(g.calls, c), append(g.stops, stop)
		view.VMs = append(view.VMs, fleet.VM{Name: name, PeerAddress: server.Address(), DataCentre: "dc"})
		start = append(start, func() {
			var done sync.WaitGroup
			done.Go(func() { l.Run(ctx) })
			done.Go(func() { _ = server.Run(ctx) })
			done.Go(func() { c.Run(ctx) })
			t.Cleanup(func() {
				stop()
				done.Wait()
				pool.Close()
			})
		})
	}
	g.view.Store(&view)
	for _, f := range start {
		f()
	}
	return g
}

// waitForContact waits until each stream was read to its end by its first
// candidate after all daemons had started.
func (g *cluster) waitForContact(t *testing.T) {
	t.Helper()
	started := time.Now()
	for n := range streamCount(g.calls[0].Config()) {
		first := candidates(g.view.Load().Live(), n)[0].Name
		for _, c := range g.calls {
			for ok := c.Self != first; !ok; {
				_ = c.Loop.Do(t.Context(), func(time.Time) { s := c.streams[n]; ok = s != nil && s.lastContact.After(started) })
			}
		}
	}
}

func (g *cluster) begin(t *testing.T, at int, key, body string) (*Call, *Outcome, *refusal.Error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	call, outcome, err := g.calls[at].Begin(ctx, Request{Workspace: "w", Key: key, Body: []byte(body)})
	if err != nil {
		return nil, nil, refusal.From(err)
	}
	return call, outcome, nil
}

func TestCallsOverPeers(t *testing.T) {
	g := newCluster(t, 3, config.Calls{Streams: 2, Wait: config.Duration(100 * time.Millisecond)})
	call, _, refused := g.begin(t, 0, "k", "a")
	if refused != nil || call == nil {
		t.Fatalf("first: %v", refused)
	}
	if _, _, refused = g.begin(t, 1, "k", "b"); refused == nil || refused.Code != refusal.KeyConflict {
		t.Fatalf("other body: %v", refused)
	}
	if _, _, refused = g.begin(t, 1, "k", "a"); refused == nil || refused.Code != refusal.OutcomeUnknown || refused.Effect != refusal.Unknown {
		t.Fatalf("in flight: %v", refused)
	}
	call.Finish(&Outcome{Result: 1, Status: 201, Body: []byte("done")})
	if err := g.calls[0].Drain(t.Context()); err != nil {
		t.Fatal(err)
	}
	for at := range 3 {
		_, outcome, refused := g.begin(t, at, "k", "a")
		if refused != nil || outcome.Status != 201 || string(outcome.Body) != "done" {
			t.Fatalf("repeat at %d: %v, %v", at, outcome, refused)
		}
	}
	g.waitForContact(t)
	g.log.SetDown(true)
	for at := range 3 {
		if _, _, refused = g.begin(t, at, "fresh", "a"); refused == nil || refused.Code != refusal.LogUnavailable || refused.Effect != refusal.NotRun {
			t.Fatalf("log down at %d: %v", at, refused)
		}
		if _, outcome, refused := g.begin(t, at, "k", "a"); outcome == nil {
			t.Fatalf("known outcome while the log is down: %v", refused)
		}
	}
}

func TestStreamsCannotChange(t *testing.T) {
	with := func(n int) *config.Config { return &config.Config{Calls: config.Calls{Streams: n}} }
	for _, c := range []struct {
		from, to *config.Config
		refused  bool
	}{
		{nil, with(4), false},
		{with(4), with(4), false},
		{with(0), with(streamsDefault), false},
		{with(4), with(8), true},
		{with(4), with(2), true},
	} {
		if err := ValidateChange(c.from, c.to); (err != nil) != c.refused {
			t.Errorf("from %v to %v: %v", c.from, c.to, err)
		}
	}
}

func TestKeyAge(t *testing.T) {
	const horizon = time.Hour
	made := time.UnixMilli(0x018bcfe56800)
	key := "018bcfe5-6800-7abc-8def-0123456789ab"
	for name, c := range map[string]struct {
		key    string
		now    time.Time
		effect refusal.Effect // empty: accepted
	}{
		"fresh":                 {key, made.Add(time.Minute), ""},
		"older than remembered": {key, made.Add(horizon), refusal.Unknown},
		"from the future":       {key, made.Add(-horizon), refusal.NotRun},
		"no date":               {"booking-1", made.Add(horizon), ""},
		"random UUID":           {"018bcfe5-6800-4abc-8def-0123456789ab", made.Add(horizon), ""},
	} {
		err := checkKeyAge(c.now, c.key, horizon)
		if (err == nil) != (c.effect == "") || (err != nil && refusal.From(err).Effect != c.effect) {
			t.Errorf("%s: %v", name, err)
		}
	}
}
