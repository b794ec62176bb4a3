package peers

import (
	"fmt"
	"slices"
	"time"

	"currantpulley/internal/balance"
	"currantpulley/internal/event"
	"currantpulley/internal/failure"
	"currantpulley/internal/freshness"
	"currantpulley/internal/placement/pace"
)

// paces returns what answers within the last window show of up to limit upstreams' paces.
func (p *Peers) paces(window time.Duration, limit int) []pace.Claim {
	return p.opts.Balancer.PaceClaims(window, limit, freshness.Time())
}

// onPaces applies what the answers to another daemon show of the upstreams known here.
func (p *Peers) onPaces(vm string, claims []pace.Claim) {
	snap := p.opts.Watcher.Load()
	claims = slices.DeleteFunc(claims, func(c pace.Claim) bool { return snap.ByShortID(c.Upstream) == nil })
	if err := p.opts.Balancer.MergePaces(vm, claims, freshness.Time()); err != nil {
		p.opts.Recorder.Record(event.Event{ID: event.PaceClaimDropped, Peer: vm, Step: "merge paces", Err: failure.At("merge paces", vm, err)})
	}
}

// recordPace records an event when an upstream's pace falls or is about the usual one
// again.
func (p *Peers) recordPace(c balance.PaceChange) {
	id := event.PaceRecovered
	if c.Fell {
		id = event.PaceFell
	}
	p.opts.Recorder.Record(event.Event{ID: id, Upstream: c.Upstream.ID, Step: "pace", Detail: fmt.Sprintf("takes %.2f times the usual time", c.Pace)})
}
