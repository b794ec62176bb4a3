package balance

import (
	"time"

	"currantpulley/internal/catalog"
	"currantpulley/internal/holdoff"
)

// Restart sets when p's request is sent, if something else was awaited since the pick:
// that time isn't the upstream's.
func (b *Balancer) Restart(p *Pick, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p.pickedAt = now
}

// Began records that the answer to p's request began: its prompt is computed, and
// the engine and the store at p.Save hold its leading parts.
func (b *Balancer) Began(p *Pick, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recordComputed(p.Upstream.ShortID(), p.prefixes, false, now)
	if p.Save != "" {
		b.recordComputed(p.storeID, p.prefixes, false, now)
	}
	p.beganAt = now
	b.recordNewTokens(p, p.prefillTokens+p.Fetched, now)
	b.observePace(p, now)
	b.timingOf(p.Upstream.Service).observeFirst(p, now.Sub(p.pickedAt))
	p.finishPrefill()
}

// finishPrefill removes the prompt's tokens from those that wait at the upstream.
func (p *Pick) finishPrefill() {
	p.state.own.add(p, 0, -p.prefillTokens)
	p.prefillTokens = 0
}

// Outcome is the way in which an attempt ended.
type Outcome uint8

// Outcomes of attempts.
const (
	Served    Outcome = iota
	Failed            // did not answer, or violated the protocol
	Busy              // refused the request without running it
	Cancelled         // ended by this side: by the caller, its deadline or the age of the weights
)

// String returns the outcome's name in metrics.
func (o Outcome) String() string {
	switch o {
	case Served:
		return "served"
	case Failed:
		return "failed"
	case Busy:
		return "busy"
	case Cancelled:
		return "cancelled"
	}
	return "unknown"
}

// Done records that p's attempt ended with outcome o. It must be called once for
// each Pick.
func (b *Balancer) Done(p *Pick, o Outcome, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p.finishPrefill()
	t := b.timingOf(p.Upstream.Service)
	t.end(p)
	s := p.state
	s.own.add(p, -1, 0)
	s.usedAt = now
	switch o {
	case Served:
		s.failures = 0
		b.recordNewTokens(p, p.output, now)
		b.observeEndPace(t, p, now)
		t.observeWhole(p, now)
	case Busy:
		s.backOff(now, busyBackoff)
		s.fullUntil = now.Add(fullFor)
	case Failed:
		s.failures++
		s.backOff(now, min(backoffMax, backoffMin<<min(s.failures-1, 8)))
		b.recordEnded(p.Upstream, now)
	case Cancelled:
		t.observeGivenUp(p, now)
	}
	b.sweep(now)
}

// backOff keeps work from the upstream for d, unless it already is in backoff
// for longer.
func (s *upstreamState) backOff(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(s.backoffUntil) {
		s.backoffUntil = until
	}
}

// RecordLoad records the load that an answer carried.
func (b *Balancer) RecordLoad(k catalog.Key, l Load, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stateOf(k, now)
	s.otherRequests = float64(max(0, l.Running+l.Waiting-s.own.Requests))
	s.reportedAt = now
	if full := now.Add(waitingFor); l.Waiting > 0 && full.After(s.fullUntil) {
		s.fullUntil = full
	}
	s.slowdown = l.Slowdown
}

// RecordVersion records the weights version that an upstream reported to serve.
func (b *Balancer) RecordVersion(k catalog.Key, model string, version uint64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stateOf(k, now)
	if s.weights == nil {
		s.weights = make(map[string]uint64, 1)
	}
	s.weights[model] = max(s.weights[model], version)
}

// RecordLimit records what an upstream's answer, which came now to a request that was
// sent at sentAt, states of the requests a second that the upstream takes from all
// daemons; nil: it states no limit.
func (b *Balancer) RecordLimit(u *catalog.Upstream, rate *float64, sentAt, now time.Time) {
	b.limits.Observe(u.ShortID(), rate, sentAt, now)
}

// RecordHoldoff records that an upstream asked for no requests.
func (b *Balancer) RecordHoldoff(n holdoff.Notice, now time.Time) { b.holdoffs.Record(n, now) }

// MalformedPause records that an upstream asked for a pause that can't be understood,
// and reports whether it did so for the first time.
func (b *Balancer) MalformedPause(k catalog.Key) (first bool) {
	return b.holdoffs.Malformed(k.ShortID())
}

// MaySend reports whether an upstream may get requests of this daemon, and of others
// through it: it did not ask for a pause and does not shut down.
func (b *Balancer) MaySend(u *catalog.Upstream, now time.Time) bool {
	state, _ := b.holdoffs.State(u.ShortID(), now)
	return !u.Leaving && state == holdoff.Open
}

// Limited returns the number of upstreams that state a limit.
func (b *Balancer) Limited() int { return b.limits.Limited() }

// Version returns the weights version that u is known to serve; 0: unknown.
func (b *Balancer) Version(u *catalog.Upstream, model string, now time.Time) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stateOf(u.Key(), now).version(u, model)
}

// sweep removes the states of upstreams that have no requests and were not used
// for stateTTL.
func (b *Balancer) sweep(now time.Time) {
	if now.Sub(b.sweptAt) < stateTTL {
		return
	}
	b.sweptAt = now
	for k, s := range b.upstreams {
		if s.own.Requests == 0 && now.Sub(s.usedAt) > stateTTL {
			delete(b.upstreams, k)
		}
	}
}
