package balance

import (
	"math"
	"time"

	"currantpulley/internal/catalog"
)

// scoreUpstream makes p the candidate u and returns its score: the expected wait plus
// penalties. It returns false when u may not take the request because its weights are too
// old.
func (b *Balancer) scoreUpstream(p *Pick, snap *catalog.Snapshot, w *Work, u *catalog.Upstream, t *timing, aff affinity, now time.Time) (time.Duration, bool) {
	s := b.stateOf(u.Key(), now)
	*p = Pick{Upstream: u, state: s, prompt: w.Prompt, output: w.output(), urgency: w.urgency(), pace: b.paceOf(s)}
	p.slow = max(1, s.slowdown) * p.pace
	score := scale(b.unseenWork(now), p.slow)
	if closed := s.unavailableFor(now); closed > 0 {
		p.unavailable = true
		score += closed
	}
	score += b.crossingCost(w, u)
	if s.isFailing(now) {
		score += failingCost
	}
	work := b.workAt(s, p.urgency, now)
	if w.Prompt == nil {
		t.expectCall(p, work)
		return score + p.evenedWait(), true
	}
	p.Version = s.version(u, w.Prompt.Model)
	r := b.reuse(snap, w, u, p.Version, aff, now)
	p.Fetch, p.Held, p.Fetched, p.transfer = r.from, r.held, r.fetched, r.transfer
	p.prefillTokens = max(0, w.Prompt.Tokens-r.held-r.fetched)
	t.expectAnswer(p, work, !aff.short[u.ID])
	p.partsCost = aff.cost(w.Prompt, u) + t.first.Prefill(p.slow*float64(p.prefillTokens)) + p.transfer + t.copyCost(r.fetched)
	score += b.cacheCrossingCost(snap, w, u, r) + aff.cost(w.Prompt, u) + t.delay(p, work, aff.short[u.ID])
	stale, ok := b.stalenessCost(snap, w, p, now)
	if !ok {
		return 0, false
	}
	return score + stale + p.evenedWait() + t.copyCost(r.fetched), true
}

// cost returns the part of u's score that keeps long and short work on separate
// engines and sends prompts with the same parts to their owner.
func (aff *affinity) cost(p *Prompt, u *catalog.Upstream) time.Duration {
	cost := time.Duration(0)
	if p.long() == aff.short[u.ID] {
		cost = otherLaneCost
	}
	if u == aff.owner {
		cost -= ownerBonus
	}
	return cost
}

// workAt returns the work of all daemons at an upstream, as a request of the given urgency
// sees it. Without recent reports of other daemons it counts their requests from the loads
// that answers carried, as if all of them went before the request, and no tokens of theirs.
func (b *Balancer) workAt(s *upstreamState, urgency int, now time.Time) upstreamWork {
	out := upstreamWork{}
	out.add(&s.own, urgency)
	if now.Sub(b.peerReportAt) > peerReportMaxAge {
		others := s.otherRequestsAt(now)
		out.requests += others
		out.requestsBefore += others
		return out
	}
	out.add(s.peerTotal(now), urgency)
	return out
}

// stalenessCost returns the penalty for the weights that p's engine serves. It
// returns false when they would be older than Options.StaleWeightsMax by the time
// the request may begin.
func (b *Balancer) stalenessCost(snap *catalog.Snapshot, w *Work, p *Pick, now time.Time) (time.Duration, bool) {
	age, behind := snap.Weights[w.Prompt.Model].Behind(p.Version, now)
	if !behind || p.Version == 0 {
		return 0, true
	}
	if b.opts.StaleWeightsMax > 0 && age+scale(p.Wait, staleWaitFactor) > b.opts.StaleWeightsMax {
		return 0, false
	}
	return olderWeightsCost, true
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

// otherRequestsAt returns the requests of other daemons estimated from the last
// load that an answer carried, which decays by reportHalfLife.
func (s *upstreamState) otherRequestsAt(now time.Time) float64 {
	if s.reportedAt.IsZero() {
		return 0
	}
	age := now.Sub(s.reportedAt).Seconds() / reportHalfLife.Seconds()
	return s.otherRequests * math.Exp2(-age)
}

// version returns the newest weights version that u is known to serve. Versions
// only grow while an upstream runs.
func (s *upstreamState) version(u *catalog.Upstream, model string) uint64 {
	return max(u.Weights[model], s.weights[model])
}
