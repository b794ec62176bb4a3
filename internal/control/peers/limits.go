package peers

import (
	"context"
	"fmt"
	"strconv"

	"currantpulley/internal/control/exchange"
	"currantpulley/internal/event"
	"currantpulley/internal/fleet"
	"currantpulley/internal/freshness"
	"currantpulley/internal/ratelimit"
)

// newLimits returns the table of the limits that upstreams state, which all daemons
// share until ctx ends.
func (p *Peers) newLimits(ctx context.Context) *ratelimit.Table {
	return ratelimit.New(ratelimit.Options{
		Part:     p.opts.Part,
		Turn:     p.hasSlot,
		Known:    func(upstream uint32) bool { return p.opts.Watcher.Load().ByShortID(upstream) != nil },
		Announce: func(s ratelimit.Statement) { p.exchange.Announce(ctx, exchange.Notice{Limit: &s}) },
		OnChange: p.recordLimit,
	})
}

// Limits returns the limits that upstreams state, as all daemons know them.
func (p *Peers) Limits() *ratelimit.Table { return p.limits }

// hasSlot reports whether this daemon has the numbered slot of an upstream's limit.
func (p *Peers) hasSlot(upstream uint32, slot int64) bool {
	return p.ownsFirst(strconv.FormatUint(uint64(upstream), 16) + "/" + strconv.FormatInt(slot, 10))
}

// ownsFirst reports whether this daemon is the first owner of a key of all that may
// serve.
func (p *Peers) ownsFirst(key string) bool {
	first := fleet.Owners(p.View().Live(), key, 1)
	return len(first) == 1 && first[0].Name == p.opts.Settings.VM
}

// limit returns the limit of an upstream for the exchange.
func (p *Peers) limit() (ratelimit.Statement, bool) { return p.limits.Share(freshness.Time()) }

// recordLimit records an event when an upstream begins or ceases to state a limit.
func (p *Peers) recordLimit(s ratelimit.Statement) {
	e := event.Event{ID: event.UpstreamLimited, Step: "limit", Detail: fmt.Sprintf("%g requests a second from all daemons", s.Rate.PerSecond())}
	if !s.Limited {
		e.ID, e.Detail = event.UpstreamUnlimited, ""
	}
	if u := p.opts.Watcher.Load().ByShortID(s.Upstream); u != nil {
		e.Upstream = u.ID
	}
	p.opts.Recorder.Record(e)
}
