package gateway

import (
	"fmt"
	"net/http"
	"time"

	"currantpulley/internal/balance"
	"currantpulley/internal/event"
	"currantpulley/internal/freshness"
	"currantpulley/internal/holdoff"
	"currantpulley/internal/refusal"
)

// unknownRetryAfter is the retry delay given when no upstream can take the request and
// nothing tells when one can.
const unknownRetryAfter = 400 * time.Millisecond

// minRetryAfter is the least retry delay, so that callers that are refused at the same moment
// return spread over some time; see jitter.
const minRetryAfter = 50 * time.Millisecond

// recordHead reports what the head of a's response says about its upstream to the
// balancer. The response must be that of the request.
func (g *Gateway) recordHead(q *request, a *attempt) {
	now := freshness.Time()
	key := a.pick.Upstream.Key()
	if a.head.Load != nil {
		g.opts.Balancer.RecordLoad(key, *a.head.Load, now)
	}
	if a.head.Version != 0 && q.Prompt != nil {
		g.opts.Balancer.RecordVersion(key, q.Prompt.Model, a.head.Version, now)
	}
	if a.response.StatusCode == http.StatusMisdirectedRequest { // which another upstream at the address sends
		return
	}
	g.opts.Balancer.RecordLimit(a.pick.Upstream, a.head.Limit, a.sentAt, now)
	g.opts.Balancer.RecordBrittle(a.pick.Upstream, a.head.Brittle, a.sentAt, now)
	g.recordHoldoff(q, a, now)
}

// recordHoldoff records that the upstream wants no requests, for a time or any more. A
// daemon that carried the request is told, too: to the upstream, the request came from
// that one.
func (g *Gateway) recordHoldoff(q *request, a *attempt, now time.Time) {
	u := a.pick.Upstream
	if a.head.PauseErr != nil && g.opts.Balancer.MalformedPause(u.Key()) {
		g.opts.Recorder.Record(event.Event{ID: event.PauseIgnored, Request: q.ID, Upstream: u.ID, Step: "head", Err: a.head.PauseErr})
	}
	if !a.head.Leaving && a.head.Pause <= 0 {
		return
	}
	n := holdoff.Notice{Upstream: u.ShortID(), Leaving: a.head.Leaving, Pause: a.head.Pause}
	g.opts.Balancer.RecordHoldoff(n, now)
	if g.opts.TellCarrier != nil {
		g.opts.TellCarrier(a.response.Conn(), n)
	}
}

// noUpstream returns the refusal of a request that no upstream may get now.
func (g *Gateway) noUpstream(w *balance.Work) *refusal.Error {
	now := freshness.Time()
	barred := g.opts.Balancer.WhyBarred(g.opts.Watcher.Load(), w, now)
	return refusal.New(refusal.NoUpstream, "no upstream of the service can take the request").
		WithRetryAfter(untilRoom(barred)).WithCause(fmt.Errorf("%v", barred))
}

// retryAfter returns the time after which the caller of a refused request should retry.
func (g *Gateway) retryAfter(q *request) time.Duration {
	now := freshness.Time()
	w := q.work()
	w.Tried, w.Reached = nil, nil // a retry may go to any upstream
	return untilRoom(g.opts.Balancer.WhyBarred(q.snap, w, now))
}

// untilRoom returns the time until the first upstream may take a request.
func untilRoom(b *balance.Barred) time.Duration {
	if d, ok := b.RoomIn(); ok {
		return max(d, minRetryAfter)
	}
	return unknownRetryAfter
}

// stated describes for the log the limit, the rejections that end the upstream, and that
// it wants no requests, as far as the response's head states them.
func (a *attempt) stated() string {
	text := ""
	if a.head.Limit != nil {
		text = fmt.Sprintf(", limit %g/s", *a.head.Limit)
	}
	if a.head.Brittle != nil {
		text += fmt.Sprintf(", ends beyond %g rejections/s", *a.head.Brittle)
	}
	if a.head.Pause > 0 {
		text += fmt.Sprintf(", wants no requests for %v", a.head.Pause)
	}
	if a.head.Leaving {
		text += ", leaves"
	}
	return text
}
