package balance

import (
	"math"
	"time"

	"currantpulley/internal/catalog"
	"currantpulley/internal/placement/pace"
)

const (
	// paceInterval is the time between two updates of the paces of a service's upstreams.
	paceInterval = 100 * time.Millisecond
	// paceOverdue is the time to the first token, relative to the usual one, after which a
	// request that still waits shows a slow upstream.
	paceOverdue = 2
	// paceTokens is the least number of tokens of an answer that shows a pace: fewer come in
	// an event or two.
	paceTokens = 16
	// paceFell is the pace from which an upstream counts as slow, and paceUsual the one to
	// which it has to return.
	paceFell, paceUsual = 1.5, 1.2
)

// paceOf returns the pace that counts in expected times: the usual one if paces aren't
// used, and until the upstream's is known.
func (b *Balancer) paceOf(s *upstreamState) float64 {
	if !b.opts.UsePaces || s.pace == 0 {
		return 1
	}
	return s.pace
}

// evenedWait returns the wait at p's upstream as it counts in the score: with half of the
// pace's logarithm. All daemons know the same paces, so with the whole of them they would
// pile work up at the fastest upstreams and leave the slow ones idle.
func (p *Pick) evenedWait() time.Duration {
	return scale(p.Wait, 1/math.Sqrt(p.pace))
}

// updatePaces sets the paces of a service's upstreams.
func (b *Balancer) updatePaces(t *timing, all []*catalog.Upstream, now time.Time) {
	if since := now.Sub(t.pacedAt); !b.opts.UsePaces || since >= 0 && since < paceInterval {
		return
	}
	t.pacedAt = now
	b.observeOverdue(t, now)
	ids := make([]uint32, len(all))
	for i, u := range all {
		ids[i] = u.ShortID()
	}
	for i, value := range b.paces.Paces(ids, now) {
		s := b.stateOf(all[i].Key(), now)
		s.pace = value
		b.tellPace(s, all[i])
	}
}

// PaceChange tells that the pace of an upstream fell or is about the usual one again.
type PaceChange struct {
	Upstream *catalog.Upstream
	Pace     float64 // time that work takes, relative to the usual
	Fell     bool
}

// UsePaceChanges sets the function that is called when an upstream's pace falls or is
// about the usual one again. It must not call the Balancer. UsePaceChanges must be called
// before any other method.
func (b *Balancer) UsePaceChanges(onPace func(PaceChange)) { b.onPace = onPace }

// tellPace tells of a change of an upstream's pace.
func (b *Balancer) tellPace(s *upstreamState, u *catalog.Upstream) {
	fell := s.pace >= paceFell || (s.paceFell && s.pace > paceUsual)
	if fell == s.paceFell {
		return
	}
	s.paceFell = fell
	b.onPace(PaceChange{u, s.pace, fell})
}

// Paces returns the paces of the upstreams whose answers showed them, by id.
func (b *Balancer) Paces() map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]float64)
	for k, s := range b.upstreams {
		if s.pace != 0 && s.pace != 1 {
			out[k.ID] = s.pace
		}
	}
	return out
}

// observePace records what the beginning of p's answer shows of its upstream's pace. A
// request that waited for a slot shows how long others ran.
func (b *Balancer) observePace(p *Pick, now time.Time) {
	t := b.timingOf(p.Upstream.Service)
	if !b.opts.UsePaces || p.prompt == nil || p.queued || p.overPace || !t.first.Seen(p.first, longTokens) {
		return
	}
	took := now.Sub(p.pickedAt) - p.transfer
	b.paces.Observe(p.Upstream.ShortID(), took, p.usualFirst(), now)
}

// usualFirst returns the expected time to the first token at the usual pace.
func (p *Pick) usualFirst() time.Duration { return scale(p.medianWait-p.transfer, 1/p.pace) }

// observeEndPace records what the end of p's answer shows of its upstream's pace.
func (b *Balancer) observeEndPace(t *timing, p *Pick, now time.Time) {
	if !b.opts.UsePaces || p.beganAt.IsZero() {
		return
	}
	id, stated := p.Upstream.ShortID(), p.slow/p.pace
	if p.prompt == nil {
		if t.call.Seen() {
			b.paces.Observe(id, now.Sub(p.pickedAt), duration(stated*t.call.Value()*p.rounds), now)
		}
		return
	}
	if usual := t.answersTo(p.prompt.long()).usualToken; usual.Seen() && p.output >= paceTokens {
		b.paces.Observe(id, now.Sub(p.beganAt), duration(stated*usual.Value()*float64(p.output)), now)
	}
}

// observeOverdue records that open requests take much longer than usual to begin. Without
// it, an upstream that hardly answers would have the usual pace. Each counts once.
func (b *Balancer) observeOverdue(t *timing, now time.Time) {
	for _, p := range t.open {
		if p.prompt == nil || p.queued || p.overPace || !p.beganAt.IsZero() || !t.first.Seen(p.first, longTokens) {
			continue
		}
		waited := now.Sub(p.pickedAt) - p.transfer
		if usual := p.usualFirst(); waited > paceOverdue*usual {
			p.overPace = true
			b.paces.Observe(p.Upstream.ShortID(), waited, usual, now)
		}
	}
}

// PaceClaims returns what this daemon's answers show of the upstreams that answered within
// the last window, of at most limit of them.
func (b *Balancer) PaceClaims(window time.Duration, limit int, now time.Time) []pace.Claim {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.opts.UsePaces {
		return nil
	}
	return b.paces.Claims(window, limit, now)
}

// MergePaces takes in what the answers to the daemon on vm show. It returns an error if a
// claim can't be true; that claim is ignored.
func (b *Balancer) MergePaces(vm string, claims []pace.Claim, now time.Time) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.paces.Merge(vm, claims, now)
}
