package balance

import (
	"math"
	"time"

	"currantpulley/internal/catalog"
)

// scoreUpstream returns u as a candidate with its score: the expected wait plus
// penalties. It returns nil when u may not take the request because its weights
// are too old.
func (b *Balancer) scoreUpstream(snap *catalog.Snapshot, w *Work, u *catalog.Upstream, aff affinity, now time.Time) (*Pick, time.Duration) {
	s := b.stateOf(u.Key(), now)
	p := &Pick{Upstream: u, state: s}
	score := time.Duration(0)
	if closed := s.unavailableFor(now); closed > 0 {
		score += closed + backoffMax
	}
	if u.DataCentre != b.opts.DataCentre {
		score += crossDataCentreCost
	}
	if s.isFailing(now) {
		score += failingCost
	}
	slow := max(1, s.slowdown)
	requests, tokens := b.load(s, now)
	if w.Prompt == nil {
		p.Wait = scale(callCost, slow*requests/float64(max(1, u.Slots)))
		return p, score + p.Wait
	}
	p.Version = s.version(u, w.Prompt.Model)
	score += aff.cost(w.Prompt, u)
	r := b.reuse(snap, w, u, p.Version, aff, now)
	p.Fetch, p.Held, p.Fetched = r.from, r.held, r.fetched
	p.prefillTokens = max(0, w.Prompt.Tokens-r.held-r.fetched)
	p.Ahead = scale(requestCost, slow*requests) + queueingTime(requests, u.Slots, b.runTimes.average(!aff.short[u.ID])) + prefillTime(tokens*slow)
	p.Wait = p.Ahead + prefillTime(float64(p.prefillTokens)*slow) + r.transfer
	stale, ok := b.stalenessCost(snap, w, p, now)
	if !ok {
		return nil, 0
	}
	return p, score + stale + p.Wait + copyCost(r.fetched)
}

// cost returns the part of u's score that keeps long and short work on separate
// engines and sends prompts with the same parts to their owner.
func (aff *affinity) cost(p *Prompt, u *catalog.Upstream) time.Duration {
	cost := time.Duration(0)
	switch {
	case p.long() && aff.short[u.ID]:
		cost = longInShortCost
	case !p.long() && !aff.short[u.ID]:
		cost = shortInLongCost
	}
	if u == aff.owner {
		cost -= ownerBonus
	}
	return cost
}

// queueingTime returns the wait for a slot of an engine whose requests take run
// on average.
func queueingTime(requests float64, slots int, run time.Duration) time.Duration {
	if slots <= 0 || requests < float64(slots) {
		return 0
	}
	return scale(run, (requests-float64(slots)+1)/float64(slots))
}

// load returns the requests of all daemons at an upstream and the tokens that
// wait for prefill there. Without recent reports of other daemons it counts
// their requests from the loads that answers carried, and no tokens of theirs.
func (b *Balancer) load(s *upstreamState, now time.Time) (requests, tokens float64) {
	if now.Sub(b.peerReportAt) > peerReportMaxAge {
		return float64(s.own.Requests) + s.otherRequestsAt(now), float64(s.own.Tokens)
	}
	all := s.own.plus(s.peerTotal(now))
	return float64(all.Requests), float64(all.Tokens)
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
	if age > staleAfter {
		return staleCost, true
	}
	return 0, true
}

// prefillTime returns the time that an engine takes to compute tokens.
func prefillTime(tokens float64) time.Duration {
	return time.Duration(tokens / prefillRate * float64(time.Millisecond))
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
