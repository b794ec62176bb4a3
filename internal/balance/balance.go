package balance

import (
	"math"
	"sync"
	"time"

	"currantpulley/internal/catalog"
	"currantpulley/internal/rendezvous"
)

const (
	// prefillRate is the number of prompt tokens that an engine computes in a
	// millisecond.
	prefillRate = 49.6
	// requestCost is the time by which one request in an engine delays the
	// first token of the next one.
	requestCost = 12 * time.Millisecond
	// callCost is the same for a plain service with all slots in use.
	callCost = 60 * time.Millisecond
	// farCost is added for an upstream in another data centre.
	farCost = 2 * time.Millisecond
	// reportHalfLife is the age at which a reported load counts half.
	reportHalfLife = 1500 * time.Millisecond
	// pauseMin and pauseMax bound the time for which an upstream that failed
	// gets no work, doubling with each failure in a row.
	pauseMin = 250 * time.Millisecond
	pauseMax = 3 * time.Second
	// busyPause follows a refusal by an upstream that is full or loads weights.
	busyPause = 200 * time.Millisecond
	// staleAfter is how long older weights are as good as the newest ones.
	staleAfter = 1200 * time.Millisecond
	// staleCost is the delay that an answer on the newest weights is worth.
	staleCost = 250 * time.Millisecond
	// longTokens is the size of a prompt from which on it is long work.
	longTokens = 2000
	// shortLane is the part of the engines that long work leaves to short work
	// while it can.
	shortLane = 0.25
	// laneCost is the delay that keeping short and long work apart is worth.
	laneCost = 150 * time.Millisecond
	// fetchMin is the number of shared tokens from which on moving their cache
	// entries takes less time than computing them.
	fetchMin = 256
	// sharedMax is the time without word of any other daemon after which loads
	// that answers carry are used instead.
	sharedMax = time.Second
	// forgetAfter is how long the state of an upstream without requests is kept.
	forgetAfter = 30 * time.Second
)

// Options of a Balancer.
type Options struct {
	DataCentre   string
	StaleRefused time.Duration // after a version was named, older weights get no work; 0: never
}

// Balancer knows what this daemon has learned of upstreams. It is safe for
// concurrent use.
type Balancer struct {
	opts Options

	mu        sync.Mutex
	upstreams map[catalog.Key]*state
	sharedAt  time.Time // when another daemon last told of its work
	sweptAt   time.Time
}

// state is what is known of one upstream.
type state struct {
	own         Use                // of this daemon
	peers       map[string]peerUse // of the others, by VM
	others      float64            // requests of other daemons, as an answer told
	reportedAt  time.Time
	slowdown    float64
	weights     map[string]uint64 // versions that answers told
	pausedUntil time.Time
	closedUntil time.Time // it is about to load weights, or does
	failures    int       // in a row
	usedAt      time.Time
}

// New returns a balancer that knows no upstream.
func New(opts Options) *Balancer {
	return &Balancer{opts: opts, upstreams: make(map[catalog.Key]*state)}
}

// Pick chooses an upstream for w and counts the request there. It returns nil
// when none may take it.
func (b *Balancer) Pick(snap *catalog.Snapshot, w *Work, now time.Time) *Pick {
	b.mu.Lock()
	defer b.mu.Unlock()
	best := b.choose(snap, w, now)
	if best == nil {
		return nil
	}
	best.fixed = !w.Movable
	best.state.own.Requests++
	best.state.own.Tokens += best.tokens
	if best.fixed {
		best.state.own.Fixed++
	}
	best.state.usedAt = now
	return best
}

// choose returns the candidate with the least score. One that is paused is
// only taken when all are.
func (b *Balancer) choose(snap *catalog.Snapshot, w *Work, now time.Time) *Pick {
	var best *Pick
	var bestScore time.Duration
	all := snap.Of(w.Service)
	place := b.place(all, w, now)
	for _, u := range all {
		if u.Leaving || w.tried(u.Key()) {
			continue
		}
		c, score := b.weigh(snap, w, u, place, now)
		if c == nil {
			continue
		}
		if best == nil || score < bestScore {
			best, bestScore = c, score
		}
	}
	return best
}

// place is where a prompt belongs, the same at every daemon.
type place struct {
	owner *catalog.Upstream // engine of the prompt's shared parts
	short map[string]bool   // ids of the engines that are kept for short work
}

func (b *Balancer) place(all []*catalog.Upstream, w *Work, now time.Time) place {
	if w.Prompt == nil {
		return place{}
	}
	p := place{short: lane(all)}
	key := rendezvous.Hash(w.Prompt.group())
	var most uint64
	for _, u := range all {
		s := b.of(u.Key(), now)
		if u.Leaving || now.Before(s.pausedUntil) || now.Before(s.closedUntil) || p.short[u.ID] == w.Prompt.long() {
			continue
		}
		if weight := rendezvous.Weight(rendezvous.Hash(u.ID), key); p.owner == nil || weight > most {
			p.owner, most = u, weight
		}
	}
	return p
}

// lane returns the engines that are kept for short work.
func lane(all []*catalog.Upstream) map[string]bool {
	names := make([]uint64, len(all))
	for i, u := range all {
		names[i] = rendezvous.Hash(u.ID)
	}
	short := make(map[string]bool)
	for _, i := range rendezvous.Top(names, 0, int(shortLane*float64(len(all)))) {
		short[all[i].ID] = true
	}
	return short
}

// weigh returns u as a candidate with its score: the expected wait and what
// else speaks against it.
func (b *Balancer) weigh(snap *catalog.Snapshot, w *Work, u *catalog.Upstream, at place, now time.Time) (*Pick, time.Duration) {
	s := b.of(u.Key(), now)
	p := &Pick{Upstream: u, state: s}
	score := time.Duration(0)
	if paused := max(s.pausedUntil.Sub(now), s.closedUntil.Sub(now)); paused > 0 {
		score += paused + pauseMax
	}
	if u.DataCentre != b.opts.DataCentre {
		score += farCost
	}
	slow := max(1, s.slowdown)
	requests, tokens := b.work(s, now)
	if w.Prompt == nil {
		p.Wait = scale(callCost, slow*requests/float64(max(1, u.Slots)))
		return p, score + p.Wait
	}
	stale, ok := b.stale(snap, s, u, w.Prompt.Model, now)
	if !ok {
		return nil, 0
	}
	if at.short[u.ID] == w.Prompt.long() {
		score += laneCost
	}
	p.Version = s.version(u, w.Prompt.Model)
	p.tokens = uncached(w.Prompt, u == at.owner)
	p.Fetch = b.source(w.Prompt, u, at.owner, p.Version, now)
	p.Wait = scale(requestCost, slow*requests) + prefill((tokens+float64(p.tokens))*slow)
	return p, score + stale + p.Wait
}

// source returns the address that u should fetch the prompt's parts from: that
// of their owner, where it is another engine with the same weights.
func (b *Balancer) source(p *Prompt, u, owner *catalog.Upstream, version uint64, now time.Time) string {
	if owner == nil || owner == u || version == 0 {
		return ""
	}
	if b.of(owner.Key(), now).version(owner, p.Model) != version {
		return ""
	}
	if group, before := p.shared(); group+before < fetchMin {
		return ""
	}
	return owner.Address
}

// work returns the requests at an upstream and the tokens that wait in it.
func (b *Balancer) work(s *state, now time.Time) (requests, tokens float64) {
	requests, tokens = float64(s.own.Requests), float64(s.own.Tokens)
	if now.Sub(b.sharedAt) > sharedMax {
		return requests + s.othersAt(now), tokens
	}
	others := s.fromPeers(now)
	return requests + float64(others.Requests), tokens + float64(others.Tokens)
}

// stale returns what speaks against u's weights, and false when they are too old.
func (b *Balancer) stale(snap *catalog.Snapshot, s *state, u *catalog.Upstream, model string, now time.Time) (time.Duration, bool) {
	version := s.version(u, model)
	age, behind := snap.Weights[model].Behind(version, now)
	if !behind || version == 0 {
		return 0, true
	}
	if b.opts.StaleRefused > 0 && age > b.opts.StaleRefused {
		return 0, false
	}
	if age > staleAfter {
		return staleCost, true
	}
	return 0, true
}

// uncached returns the tokens of the prompt that an engine presumably has to
// compute: its owner holds all shared parts, the others those that come before
// the group's own part, which all groups share.
func uncached(p *Prompt, owner bool) int {
	group, before := p.shared()
	tokens := p.Tokens - before
	if owner {
		tokens -= group
	}
	return max(0, tokens)
}

func prefill(tokens float64) time.Duration {
	return time.Duration(tokens / prefillRate * float64(time.Millisecond))
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

func (b *Balancer) of(k catalog.Key, now time.Time) *state {
	s, ok := b.upstreams[k]
	if !ok {
		s = &state{usedAt: now}
		b.upstreams[k] = s
	}
	return s
}

// othersAt returns the estimated requests of other daemons.
func (s *state) othersAt(now time.Time) float64 {
	if s.reportedAt.IsZero() {
		return 0
	}
	age := now.Sub(s.reportedAt).Seconds() / reportHalfLife.Seconds()
	return s.others * math.Exp2(-age)
}

// version returns the weights version that u serves: the newest that it was
// heard of, since versions of one incarnation only grow.
func (s *state) version(u *catalog.Upstream, model string) uint64 {
	return max(u.Weights[model], s.weights[model])
}
