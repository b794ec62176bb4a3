package gateway

import (
	"fmt"
	"time"

	"currantpulley/internal/balance"
	"currantpulley/internal/event"
	"currantpulley/internal/fairness"
	"currantpulley/internal/metrics"
	"currantpulley/internal/rendezvous"
)

// hasShare reports whether the request takes part in the division of its service's room
// over workspaces. Operators who state quotas want workspaces kept apart; without any,
// urgency alone orders the requests.
func (q *request) hasShare() bool {
	return q.snap.Config.HasQuotas && q.workspace != nil && q.Prompt != nil && q.service.Engine != nil
}

// flow returns the work that the request belongs to.
func (q *request) flow() fairness.Flow { return fairness.NewFlow(q.service.Name, q.workspace.Name) }

// setUrgency sets the urgency of the request's next send: that of its rank, or one step
// behind it if its workspace has more than its fair share while room is short. The step
// doesn't reach beyond the next rank.
func (g *Gateway) setUrgency(q *request, now time.Time) {
	q.urgency = urgency(q.route, q.workspace)
	if !q.hasShare() {
		return
	}
	place := g.opts.Shares.Place(q.flow(), q.urgency, rendezvous.Hash(q.ID), now)
	g.opts.Metrics.Placed(q.service.Name, placing(place))
	q.applyPlace(place)
	if place.Begins {
		g.opts.Recorder.Record(event.Event{
			ID: event.WorkspaceOverShare, Request: q.ID, Workspace: q.workspace.Name, Step: "share",
			Detail: fmt.Sprintf("%.0f tokens in progress at %s, the share is %.0f", place.Asked, q.service.Name, place.Level),
		})
	}
}

// applyPlace puts the request one step behind its rank if its place is there.
func (q *request) applyPlace(p fairness.Place) {
	if p.Behind {
		q.urgency = min(q.urgency+1, maxUrgency)
	}
}

// placing returns the name of p in the metrics.
func placing(p fairness.Place) metrics.Placing {
	switch {
	case p.Behind:
		return metrics.PlacedBehind
	case p.Level > 0:
		return metrics.PlacedWithin
	}
	return metrics.PlacedFreely
}

// observeWait records how long the request, which is about to be sent, is expected to wait
// at p and be served. One that is refused takes no room and doesn't count.
func (g *Gateway) observeWait(q *request, p *balance.Pick, now time.Time) {
	if q.hasShare() {
		g.opts.Shares.Observe(fairness.ServiceID(q.service.Name), urgency(q.route, q.workspace), p.Ahead, p.Served(), now)
	}
}

// beginShare counts the request as work in progress of its workspace until the returned
// function is called.
func (g *Gateway) beginShare(q *request) (end func()) {
	if !q.hasShare() {
		return func() {}
	}
	return g.opts.Shares.Begin(q.flow(), q.Prompt.Tokens+max(0, q.Prompt.Output))
}
