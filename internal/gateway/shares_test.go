package gateway

import (
	"testing"
	"time"

	"currantpulley/internal/balance"
	"currantpulley/internal/catalog"
	"currantpulley/internal/event"
	"currantpulley/internal/rendezvous"
)

// shareRequest returns a request of a workspace for an engine, on a route of the given rank.
func shareRequest(workspace string, rank int) *request {
	return &request{
		snap:      &catalog.Snapshot{Config: &catalog.Config{HasQuotas: true}},
		Call:      Call{ID: "id", Prompt: &balance.Prompt{Tokens: 1000, Output: 10}},
		route:     &catalog.Route{Rank: rank},
		service:   &catalog.Service{Name: "engines", Engine: &catalog.Engine{}},
		workspace: &catalog.Workspace{Name: workspace, Rank: catalog.RankUnset},
	}
}

// A workspace beyond its share goes one step behind others of its rank while requests
// wait, never behind a less urgent rank, and other workspaces keep theirs.
func TestWorkspaceBeyondItsShareGoesOneStepBehind(t *testing.T) {
	g := New(Options{Recorder: event.Discard{}})
	now := time.Unix(10, 0)
	g.beginShare(shareRequest("small", 0))
	for range 100 {
		g.beginShare(shareRequest("hot", 0))
	}
	for rank := range 4 {
		q := shareRequest("hot", rank)
		q.ID = beyondShare(q)
		g.setUrgency(q, now)
		own := urgency(q.route, q.workspace)
		if q.urgency != own {
			t.Errorf("rank %d: urgency %d with room, want %d", rank, q.urgency, own)
		}
		g.opts.Shares.Observe(q.flow().Service, own, 3*time.Second, time.Second, now)
		g.setUrgency(q, now)
		next := urgency(&catalog.Route{Rank: rank + 1}, q.workspace)
		if q.urgency != min(own+1, maxUrgency) || q.urgency > next {
			t.Errorf("rank %d: urgency %d beyond the share, want a step behind %d and not behind %d", rank, q.urgency, own, next)
		}
		small := shareRequest("small", rank)
		if g.setUrgency(small, now); small.urgency != own {
			t.Errorf("rank %d: urgency %d within the share, want %d", rank, small.urgency, own)
		}
	}
}

// beyondShare returns an id whose request is beyond a share of three quarters or less.
func beyondShare(q *request) string {
	id := "x"
	for rendezvous.Weight(uint64(q.flow().Workspace), rendezvous.Hash(id))>>62 != 3 {
		id += "x"
	}
	return id
}

// Requests without a workspace or a prompt have no share, nor have any where no workspace
// has a quota.
func TestRequestsWithoutAShare(t *testing.T) {
	g := New(Options{Recorder: event.Discard{}})
	public, call, unlimited := shareRequest("a", 1), shareRequest("a", 1), shareRequest("a", 1)
	public.workspace = nil
	call.Prompt = nil
	unlimited.snap.Config.HasQuotas = false
	for _, q := range []*request{public, call, unlimited} {
		g.beginShare(q)()
		g.observeWait(q, &balance.Pick{}, time.Unix(10, 0))
		if g.setUrgency(q, time.Unix(10, 0)); q.urgency != urgency(q.route, q.workspace) {
			t.Errorf("urgency %d", q.urgency)
		}
	}
	if own := g.opts.Shares.Own(); len(own) != 0 {
		t.Errorf("work in progress %v", own)
	}
}
