package gateway

import (
	"strings"
	"testing"
	"time"

	"currantpulley/internal/admin"
	"currantpulley/internal/balance"
	"currantpulley/internal/catalog"
	"currantpulley/internal/event"
	"currantpulley/internal/freshness"
	"currantpulley/internal/refusal"
	"currantpulley/internal/rendezvous"
)

// explainTest returns a gateway in data centre a with a service of one upstream there, whose
// calls take a second, and one in b.
func explainTest(t *testing.T) (*Gateway, *balance.Balancer) {
	t.Helper()
	w := catalog.NewWatcher()
	c := &catalog.Config{Version: 7, Services: map[string]*catalog.Service{"s": {Name: "s"}}, Routes: make(map[string][]*catalog.Route)}
	c.Workspaces = map[string]*catalog.Workspace{"key": {Name: "ws", Rank: catalog.RankUnset}}
	c.AddRoute(&catalog.Route{
		Name: "r", Host: "h.example", Prefix: "/p/", Timeout: 30 * time.Second, MaxAttempts: 1,
		Shares: []catalog.Share{{Service: "s", Weight: 1}},
	})
	w.SetConfig(c)
	for id, dataCentre := range map[string]string{"here": "a", "there": "b"} {
		w.PutUpstream(&catalog.Upstream{ID: id, Service: "s", Address: id + ":1", DataCentre: dataCentre, Slots: 1})
	}
	b := balance.New(balance.Options{DataCentre: "a"})
	now := freshness.Time()
	p := b.Pick(w.Load(), &balance.Work{Service: "s"}, now)
	b.Began(p, now.Add(time.Second))
	b.Done(p, balance.Served, now.Add(time.Second))
	return New(Options{Watcher: w, Balancer: b, Recorder: event.Discard{}, Proof: new(freshness.Proof)}), b
}

func explainCall(wait time.Duration) *admin.RouteRequest {
	return &admin.RouteRequest{Host: "H.example", Path: "/p/x", Workspace: "ws", MaxWait: wait}
}

// The explanation follows a request: it stays, leaves the data centre, or is refused since
// the answer would be late, as the work before it grows.
func TestExplainFollowsTheLoad(t *testing.T) {
	g, b := explainTest(t)
	x := g.Explain(explainCall(time.Minute))
	if x.Picked != "here" || x.Left != "" || x.Refusal != nil || x.Route != "r" || x.Version != 7 || len(x.Candidates) != 2 {
		t.Errorf("without work: %+v", x)
	}
	snap, now := g.opts.Watcher.Load(), freshness.Time()
	b.Pick(snap, &balance.Work{Service: "s"}, now)
	if x = g.Explain(explainCall(time.Minute)); x.Picked != "there" || x.Left != "wait" {
		t.Errorf("with work here: %+v", x)
	}
	for range 10 {
		b.Pick(snap, &balance.Work{Service: "s"}, now)
	}
	x = g.Explain(explainCall(500 * time.Millisecond))
	if x.Refusal == nil || x.Refusal.Code != string(refusal.DeadlineUnmeetable) || x.Refusal.RetryAfter <= 0 {
		t.Errorf("with a wait that is too short: %+v", x)
	}
	if x = g.Explain(explainCall(time.Minute)); x.Refusal != nil {
		t.Errorf("with a long wait: %+v", x.Refusal)
	}
}

// A request that can't be resolved gets its refusal.
func TestExplainRefusals(t *testing.T) {
	g, _ := explainTest(t)
	noRoute, noWorkspace := explainCall(0), explainCall(0)
	noRoute.Host = "other.example"
	noWorkspace.Workspace = "other"
	for _, asked := range []*admin.RouteRequest{noRoute, noWorkspace} {
		if x := g.Explain(asked); x.Refusal == nil || x.Picked != "" {
			t.Errorf("%+v: %+v", asked, x)
		}
	}
	g.opts.Watcher = catalog.NewWatcher()
	if x := g.Explain(explainCall(0)); x.Refusal == nil || x.Refusal.Code != string(refusal.NoConfiguration) {
		t.Errorf("without a configuration: %+v", x)
	}
}

// Where room is short, the explanation tells the workspace's share; asking begins no episode.
func TestExplainTellsTheShare(t *testing.T) {
	g, _ := explainTest(t)
	g.beginShare(shareRequest("small", 0))
	for range 100 {
		g.beginShare(shareRequest("hot", 0))
	}
	q, now := shareRequest("hot", 0), time.Unix(10, 0)
	g.opts.Shares.Observe(q.flow().Service, 0, 3*time.Second, time.Second, now)
	q.ID = beyondShare(q)
	if got := describeShare(g.peekPlace(q, now)); !strings.HasPrefix(got, "behind") || q.urgency != 1 {
		t.Errorf("share %q, urgency %d", got, q.urgency)
	}
	if !g.opts.Shares.Place(q.flow(), 0, rendezvous.Hash(q.ID), now).Begins {
		t.Error("the first request that is sent begins no episode")
	}
}
