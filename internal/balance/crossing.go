package balance

import (
	"time"

	"currantpulley/internal/catalog"
	"currantpulley/internal/crossing"
)

// crossingDefault is the cost of leaving the data centre where no prices are set.
const crossingDefault = 2 * time.Millisecond

// crossings is what decides how much of the work leaves the data centre.
type crossings struct {
	meters     map[string]*crossing.Meter // of the work that arrives at this daemon, by service
	neighbours func() (daemons int, delay time.Duration)
}

func newCrossings() *crossings {
	return &crossings{
		meters:     make(map[string]*crossing.Meter),
		neighbours: func() (int, time.Duration) { return 1, 0 },
	}
}

// UseNeighbours sets the function that returns the number of daemons in this data centre,
// this one included, and the time until they see each other's work. It must be called before
// any other method.
func (b *Balancer) UseNeighbours(f func() (daemons int, delay time.Duration)) {
	b.crossings.neighbours = f
}

// meterOf returns the meter of a service's work and adds it when there is none.
func (c *crossings) meterOf(service string) *crossing.Meter {
	m, ok := c.meters[service]
	if !ok {
		m = &crossing.Meter{}
		c.meters[service] = m
	}
	return m
}

// crossingCost returns what it costs to send w to u in u's data centre.
func (b *Balancer) crossingCost(w *Work, u *catalog.Upstream) time.Duration {
	switch {
	case u.DataCentre == b.opts.DataCentre:
		return 0
	case !b.opts.Crossing.AreSet():
		return crossingDefault
	}
	return b.opts.Crossing.Request(w.Bytes)
}

// cacheCrossingCost returns what it costs that u fetches cache entries from an engine in
// another data centre.
func (b *Balancer) cacheCrossingCost(snap *catalog.Snapshot, w *Work, u *catalog.Upstream, r reuse) time.Duration {
	if b.opts.Crossing.PerCacheGB == 0 || r.fetched == 0 || snap.Config == nil {
		return 0
	}
	service := snap.Config.Services[w.Service]
	if service == nil || service.Engine == nil {
		return 0
	}
	source := snap.AtAddress(r.from)
	if source == nil || source.DataCentre == u.DataCentre {
		return 0
	}
	return b.opts.Crossing.Cache(float64(r.fetched) * float64(service.Engine.TokenBytes))
}

// ownedNear reports whether w's shared parts have an owner in each data centre rather than
// one in all: they are read again in less time than it costs to cross. all are the upstreams
// of w's service.
func (b *Balancer) ownedNear(w *Work, all []*catalog.Upstream) bool {
	if !b.opts.Crossing.AreSet() {
		return false
	}
	read := b.timingOf(w.Service).first.Prefill(float64(w.Prompt.sharedTokens()))
	if read >= b.opts.Crossing.Request(w.Bytes) {
		return false
	}
	for _, u := range all {
		if u.DataCentre == b.opts.DataCentre {
			return true
		}
	}
	return false
}

// sides holds the best candidates in this data centre and elsewhere, and how many take work.
type sides struct {
	here, elsewhere         *Pick
	openHere, openElsewhere int
}

// add adds a candidate and returns one that isn't used any more.
func (s *sides) add(c *Pick, here, open bool) *Pick {
	best, count := &s.elsewhere, &s.openElsewhere
	if here {
		best, count = &s.here, &s.openHere
	}
	if open {
		*count++
	}
	if !c.isBetter(*best) {
		return c
	}
	old := *best
	*best = c
	if old == nil {
		return &Pick{}
	}
	return old
}

// chooseSide returns the better of the candidates here and elsewhere, or nil. Of the
// requests that leave for a shorter wait only, it keeps as many here as levels the waits.
func (b *Balancer) chooseSide(s *sides, w *Work, now time.Time) *Pick {
	if s.elsewhere == nil || (s.here != nil && !s.elsewhere.isBetter(s.here)) {
		return s.here
	}
	if s.here == nil {
		s.elsewhere.Left = crossing.NoneHere
		return s.elsewhere
	}
	s.elsewhere.Left = crossing.Why(s.here.option(), s.elsewhere.option())
	if s.elsewhere.Left == crossing.Wait && s.here.Late == 0 && b.opts.Crossing.AreSet() && !b.leaves(s, w, now) {
		return s.here
	}
	return s.elsewhere
}

// option returns p as an option of its side.
func (p *Pick) option() crossing.Option {
	return crossing.Option{Available: !p.unavailable, InTime: p.Late == 0, Cost: p.score, Parts: p.partsCost}
}

// leaves reports whether w is among the requests that leave for a shorter wait.
func (b *Balancer) leaves(s *sides, w *Work, now time.Time) bool {
	daemons, delay := b.crossings.neighbours()
	part := crossing.Division{
		Gap: s.here.score - s.elsewhere.score, Here: s.openHere, Elsewhere: s.openElsewhere,
		Arriving: b.crossings.meterOf(w.Service).Rate(now) * float64(daemons), Delay: delay,
	}.Part()
	return crossing.IsInPart(part, w.Hash)
}

// meterWork records the work that a request brings, as p would do it.
func (b *Balancer) meterWork(w *Work, p *Pick, t *timing, now time.Time) {
	if b.opts.Crossing.AreSet() {
		b.crossings.meterOf(w.Service).Add(t.upstreamTime(p), now)
	}
}

// upstreamTime returns the time of a whole upstream that p's request takes: its part of a
// slot's time, and for a prompt the time in which the engine reads it.
func (t *timing) upstreamTime(p *Pick) time.Duration {
	slots := float64(max(1, p.Upstream.Slots))
	if p.prompt == nil {
		return duration(p.slow * t.call.Value() / slots)
	}
	read := t.first.Prefill(p.slow * float64(p.prefillTokens))
	return read + duration(p.slow*t.runOf(p.prompt.long()).Value()/slots)
}
