package gateway

import (
	"fmt"
	"time"

	"currantpulley/internal/balance"
	"currantpulley/internal/crossing"
	"currantpulley/internal/event"
)

const (
	// crossingSalt keeps the choice of requests that leave the data centre apart from other
	// choices by the hash of their id.
	crossingSalt = 0x1ea5
	// tokenBytes is about what a token of a streamed answer takes with its event.
	tokenBytes = 64
)

// bytes returns about what the request and its answer carry.
func (q *request) bytes() int {
	n := len(q.body)
	if q.Prompt != nil {
		n += tokenBytes * max(0, q.Prompt.Output)
	}
	return n
}

// countCrossing updates the metrics if the request is about to leave the data centre. It
// records an event unless that is for parts of its prompt, as it is for many.
func (g *Gateway) countCrossing(q *request, p *balance.Pick) {
	if p.Left == crossing.Stays {
		return
	}
	g.opts.Metrics.LeftDataCentre(q.service.Name, p.Left.String(), q.bytes())
	if p.Left == crossing.Parts {
		return
	}
	g.opts.Recorder.Record(event.Event{
		ID: event.LeftDataCentre, Request: q.ID, Upstream: p.Upstream.ID, Step: "pick",
		Detail: fmt.Sprintf("%s, to %s, expected wait %v", p.Left, p.Upstream.DataCentre, p.Wait.Round(time.Millisecond)),
	})
}
