package balance

import (
	"cmp"
	"slices"
	"time"

	"currantpulley/internal/catalog"
)

// Candidate is what the balancer thinks of one upstream for a request.
type Candidate struct {
	Upstream *catalog.Upstream
	Bar      Bar           // why it may not get the request; NoBar: it may
	Closed   time.Duration // for which it is closed or in backoff; 0: it isn't
	Version  uint64        // of its weights
	Owner    bool          // of the prompt's shared parts
	Held     int           // tokens of the prompt that it probably holds
	Fetched  int           // further tokens that it would fetch
	Expected Expected      // when the answer comes
	Late     time.Duration // by how much that is later than the caller waits

	// Score is what candidates are compared by, less is better. Wait, Crossing and Affinity
	// are parts of it; the rest is for copies of cache entries, delays of other answers, old
	// weights, closed and failing upstreams.
	Score    time.Duration
	Wait     time.Duration // until the first byte
	Ahead    time.Duration // part of Wait behind other work
	Crossing time.Duration // for leaving the data centre
	Affinity time.Duration // for lane and owner
}

// Explanation tells where a request would go now and why.
type Explanation struct {
	Picked     *Pick       // nil: no upstream may take the request
	Candidates []Candidate // those that may take the request first, the best score first
}

// Explain returns the choice that Pick would make for w, and what it is made of. It reserves
// nothing and counts no request.
func (b *Balancer) Explain(snap *catalog.Snapshot, w *Work, now time.Time) Explanation {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.timingOf(w.Service)
	out := Explanation{Picked: b.choose(snap, w, t, now)}
	all := snap.UpstreamsOf(w.Service)
	aff := b.affinity(snap, all, w, now)
	for _, u := range all {
		out.Candidates = append(out.Candidates, b.explain(snap, w, u, t, aff, now))
	}
	slices.SortStableFunc(out.Candidates, func(x, y Candidate) int {
		return cmp.Or(cmp.Compare(x.Bar, y.Bar), cmp.Compare(x.Score, y.Score), cmp.Compare(x.Upstream.ID, y.Upstream.ID))
	})
	return out
}

// explain returns what the balancer thinks of u for w.
func (b *Balancer) explain(snap *catalog.Snapshot, w *Work, u *catalog.Upstream, t *timing, aff affinity, now time.Time) Candidate {
	s := b.stateOf(u.Key(), now)
	c := Candidate{Upstream: u, Closed: max(0, s.unavailableFor(now))}
	c.Bar, _, _ = b.filter(snap, w, u, s, now)
	p := &Pick{}
	score, ok := b.scoreUpstream(p, snap, w, u, t, aff, now)
	if !ok && c.Bar == NoBar {
		c.Bar = Outdated
	}
	c.Version, c.Held, c.Fetched = p.Version, p.Held, p.Fetched
	c.Expected, c.Late = p.Expected, p.excess(w.Left)
	c.Score, c.Wait, c.Ahead, c.Crossing = score, p.Wait, p.Ahead, b.crossingCost(w, u)
	if w.Prompt != nil {
		c.Owner, c.Affinity = u == aff.owner, aff.cost(w.Prompt, u)
	}
	return c
}
