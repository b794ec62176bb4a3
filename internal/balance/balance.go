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
}

// state is what is known of one upstream.
type state struct {
	inFlight    int     // own requests
	tokens      int     // of own prompts whose answer has not begun
	others      float64 // requests of other daemons, as last reported
	reportedAt  time.Time
	slowdown    float64
	weights     map[string]uint64 // versions that answers told
	pausedUntil time.Time
	failures    int // in a row
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
	best.state.inFlight++
	best.state.tokens += best.tokens
	best.state.usedAt = now
	return best
}

// choose returns the candidate with the least expected wait. One that is
// paused is only taken when all are.
func (b *Balancer) choose(snap *catalog.Snapshot, w *Work, now time.Time) *Pick {
	var best *Pick
	var bestScore time.Duration
	owner := b.owner(snap, w, now)
	for _, u := range snap.Of(w.Service) {
		if u.Leaving || w.tried(u.Key()) {
			continue
		}
		c, score := b.weigh(snap, w, u, u == owner, now)
		if c == nil {
			continue
		}
		if best == nil || score < bestScore {
			best, bestScore = c, score
		}
	}
	return best
}

// owner returns the engine that the prompt's shared parts belong to.
func (b *Balancer) owner(snap *catalog.Snapshot, w *Work, now time.Time) *catalog.Upstream {
	if w.Prompt == nil {
		return nil
	}
	key := rendezvous.Hash(w.Prompt.group())
	var best *catalog.Upstream
	var most uint64
	for _, u := range snap.Of(w.Service) {
		if u.Leaving || now.Before(b.of(u.Key(), now).pausedUntil) {
			continue
		}
		if weight := rendezvous.Weight(rendezvous.Hash(u.ID), key); best == nil || weight > most {
			best, most = u, weight
		}
	}
	return best
}

// weigh returns u as a candidate with its score: the expected wait and what
// else speaks against it.
func (b *Balancer) weigh(snap *catalog.Snapshot, w *Work, u *catalog.Upstream, owner bool, now time.Time) (*Pick, time.Duration) {
	s := b.of(u.Key(), now)
	p := &Pick{Upstream: u, state: s}
	score := time.Duration(0)
	if paused := s.pausedUntil.Sub(now); paused > 0 {
		score += paused + pauseMax
	}
	if u.DataCentre != b.opts.DataCentre {
		score += farCost
	}
	slow := max(1, s.slowdown)
	busy := float64(s.inFlight) + s.othersAt(now)
	if w.Prompt == nil {
		p.Wait = scale(callCost, slow*busy/float64(max(1, u.Slots)))
		return p, score + p.Wait
	}
	p.Version = s.version(u, w.Prompt.Model)
	wanted, named := snap.Weights[w.Prompt.Model]
	if named && p.Version != 0 && p.Version < wanted.Version {
		age := now.Sub(wanted.Since)
		if b.opts.StaleRefused > 0 && age > b.opts.StaleRefused {
			return nil, 0
		}
		if age > staleAfter {
			score += staleCost
		}
	}
	p.tokens = uncached(w.Prompt, owner)
	p.Wait = scale(requestCost, slow*busy) + prefill(float64(s.tokens+p.tokens)*slow)
	return p, score + p.Wait
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
