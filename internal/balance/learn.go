package balance

import (
	"slices"
	"time"
)

// reviewInterval is the time between two looks at the open requests.
const reviewInterval = 20 * time.Millisecond

// observeFirst records that the answer to p's request began. A request that waited for a
// slot shows how long others ran, not how long its own prompt took.
func (t *timing) observeFirst(p *Pick, took time.Duration) {
	if p.prompt == nil {
		return
	}
	if !p.queued {
		t.first.Observe(p.first, longTokens, scale(took-p.transfer, 1/p.pace))
	}
	t.observeWait(p, took)
}

// observeGivenUp records that p's request was given up after it had taken so long without
// a whole answer. That shows how long such work takes at least; a shorter time than
// expected shows nothing. Without it, only those that were answered in time would be seen.
func (t *timing) observeGivenUp(p *Pick, now time.Time) {
	took := now.Sub(p.pickedAt)
	switch {
	case p.prompt != nil && !p.beganAt.IsZero():
		t.observeLongAnswer(p, now)
	case took <= p.medianWait:
	case p.prompt == nil:
		t.call.ObserveAtLeast(took.Seconds() / p.slow / p.rounds)
		t.observeLongWait(p, took)
	case p.Ahead > 0:
		t.observeLongWait(p, took)
	default:
		t.first.Observe(p.first, longTokens, scale(took-p.transfer, 1/p.pace))
	}
}

// observeLongWait records that p's request has waited for longer than was allowed for,
// without an answer. How long it will wait in all isn't known. It counts once.
func (t *timing) observeLongWait(p *Pick, waited time.Duration) {
	spread := t.spreadOf(p.urgency)
	if p.overdue || p.Ahead <= 0 || p.ratio(waited) <= spread {
		return
	}
	p.overdue = true
	if spread < spreadMax {
		t.spread[p.urgency].ObserveAtLeast(p.ratio(waited))
	}
}

// observeLongAnswer records that p's answer has taken longer from its first token on than
// was allowed for and isn't whole. It counts once.
func (t *timing) observeLongAnswer(p *Pick, now time.Time) {
	if p.prompt == nil || p.output == 0 || p.endOverdue || now.Sub(p.beganAt) <= t.decodeTime(p) {
		return
	}
	p.endOverdue = true
	t.answersTo(p.prompt.long()).token.ObserveAtLeast(p.perToken(now))
}

// ratio returns a time to the first token, or to a call's answer, relative to the median.
func (p *Pick) ratio(took time.Duration) float64 { return took.Seconds() / p.medianWait.Seconds() }

// observeWait records the time to the first token of p's answer, or to a call's answer.
func (t *timing) observeWait(p *Pick, took time.Duration) {
	t.observeLongWait(p, took)
	if p.Ahead > 0 && !p.overdue {
		t.spread[p.urgency].Observe(p.ratio(took))
	}
}

// start adds p to the open requests.
func (t *timing) start(p *Pick) { t.open = append(t.open, p) }

// end removes p from the open requests.
func (t *timing) end(p *Pick) {
	if i := slices.Index(t.open, p); i >= 0 {
		t.open = slices.Delete(t.open, i, i+1)
	}
}

// reviewOpen observes the open requests that already take longer than was allowed for.
// When they end it is too late: in a sudden burst, as many callers would be sent to wait in
// vain as come until the first of them leaves.
func (t *timing) reviewOpen(now time.Time) {
	if now.Sub(t.reviewedAt) < reviewInterval {
		return
	}
	t.reviewedAt = now
	for _, p := range t.open {
		if p.beganAt.IsZero() {
			t.observeLongWait(p, now.Sub(p.pickedAt))
		} else {
			t.observeLongAnswer(p, now)
		}
	}
}

// observeWhole records that p's request was answered in full. An answer that did not begin
// as a success shows no time.
func (t *timing) observeWhole(p *Pick, now time.Time) {
	if p.beganAt.IsZero() {
		return
	}
	took := now.Sub(p.pickedAt).Seconds() / p.slow
	if p.prompt == nil {
		t.call.Observe(took / p.rounds)
		t.observeWait(p, now.Sub(p.pickedAt))
		return
	}
	seen := t.answersTo(p.prompt.long())
	if !p.queued {
		seen.run.Observe(took)
	}
	if p.output > 0 && !p.endOverdue {
		seen.token.Observe(p.perToken(now))
	}
	if p.output > 0 {
		seen.usualToken.Observe(p.perToken(now))
	}
}
