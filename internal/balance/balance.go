// Package balance picks the upstream for a request from the replicas of a
// service. A prompt goes to the engine that rendezvous hashing assigns to its
// shared parts, the same at every daemon, unless another engine is expected to
// answer sooner. A plain call goes to the replica with the least work.
//
// The package does no I/O and reads no clock. Callers pass the current time,
// always from the clock that counts time in suspend; see freshness.Time.
package balance

import (
	"math/rand/v2"
	"sync"
	"time"

	"currantpulley/internal/catalog"
	"currantpulley/internal/crossing"
	"currantpulley/internal/holdoff"
	"currantpulley/internal/placement/holders"
	"currantpulley/internal/placement/pace"
	"currantpulley/internal/ratelimit"
	"currantpulley/internal/rendezvous"
)

const (
	// ownerBonus is subtracted from the score of the owner, so that prompts with
	// the same parts go to one engine when the scores are otherwise close.
	ownerBonus = 40 * time.Millisecond
	// reportHalfLife is the age at which a reported load counts half.
	reportHalfLife = 1500 * time.Millisecond
	// backoffMin and backoffMax bound the time for which a failed upstream gets
	// no work. It doubles with each consecutive failure.
	backoffMin = 250 * time.Millisecond
	backoffMax = 3 * time.Second
	// busyBackoff is the backoff after an upstream refused a request because it
	// is full or loads weights.
	busyBackoff = 200 * time.Millisecond
	// olderWeightsCost is added to the score of an engine with older weights than the
	// announced ones: the operator wants answers from those, also of prompts that others
	// own, and callers hardly notice such a wait.
	olderWeightsCost = 2 * ownerBonus
	// peerReportMaxAge is the time without a report from any other daemon after
	// which the loads carried by answers are used instead.
	peerReportMaxAge = time.Second
	// staleWaitFactor allows for requests that wait longer in an engine than
	// expected: the wait is multiplied by it before StaleWeightsMax is checked.
	staleWaitFactor = 2
	// failingQuorum is the number of daemons that must report an upstream as
	// failing; a single one may have lost its own network link.
	failingQuorum = 2
	// failingCost is added to the score of an upstream reported as failing.
	failingCost = 2 * time.Second
	// stateTTL is how long the state of an upstream without requests is kept.
	stateTTL = 30 * time.Second
)

// Options configures a Balancer.
type Options struct {
	DataCentre      string               // of this daemon
	StaleWeightsMax time.Duration        // time since a newer version was announced after which older weights get no work; 0: never
	OnHoldoff       func(holdoff.Change) // called when an upstream asks for no requests; nil: not called
	// UsePaces lets expected times and scores take the paces of upstreams, and spreads the
	// scores; see pace.go and unseen.go. Without it paces are neither told nor shown.
	UsePaces bool
	Crossing crossing.Prices // of leaving the data centre; not set: a fixed small cost
}

// Balancer chooses upstreams by what this daemon has learned of their load,
// their weights and the prompt parts that they hold. It is safe for concurrent
// use.
type Balancer struct {
	opts     Options
	limits   *ratelimit.Table // that upstreams state
	risks    *ratelimit.Table // requests that brittle upstreams may reject
	holdoffs *holdoff.Table   // upstreams that asked for no requests
	isKept   func(catalog.Build) bool

	mu           sync.Mutex
	upstreams    map[catalog.Key]*upstreamState
	held         *holders.Table         // by prefix
	pending      *holders.Table         // by prefix: engines that are about to compute it
	computed     []computedPrefix       // to share with other daemons, oldest first
	peerReportAt time.Time              // when another daemon last reported its work
	sweptAt      time.Time              // last removal of unused states
	lanes        map[string]lane        // by service
	timings      map[string]*timing     // by service
	memories     map[string]*memory     // by service
	part         float64                // of the work of all daemons that is this one's, as last known
	stores       map[uint32]storeState  // by catalog.CacheStore.ShortID
	brittle      map[string]brittleness // by service
	reports      reports                // of other daemons
	random       func() float64         // from 0 to 1
	crossings    *crossings
	paces        *pace.Table // of upstreams, as the answers to all daemons show
	onPace       func(PaceChange)
}

// upstreamState is what this daemon knows of one upstream.
type upstreamState struct {
	own           Use               // of this daemon
	peers         peerReports       // of the other daemons
	otherRequests float64           // of other daemons, from the last answer that carried a load
	reportedAt    time.Time         // of that answer
	slowdown      float64           // see Load.Slowdown
	pace          float64           // see package pace; 0: not known yet
	paceFell      bool              // see PaceChange
	weights       map[string]uint64 // newest version that responses reported, by model
	backoffUntil  time.Time         // after a failure or a refusal
	closedUntil   time.Time         // while it loads weights or is about to
	fullUntil     time.Time         // see fullFor
	failures      int               // consecutive
	usedAt        time.Time
}

// New returns a Balancer without any upstream state.
func New(opts Options) *Balancer {
	return &Balancer{
		opts: opts, holdoffs: holdoff.New(opts.OnHoldoff),
		limits: ratelimit.New(ratelimit.Options{}), risks: ratelimit.New(ratelimit.Options{}), part: 1,
		brittle: make(map[string]brittleness), timings: make(map[string]*timing), memories: make(map[string]*memory),
		upstreams: make(map[catalog.Key]*upstreamState), lanes: make(map[string]lane), stores: make(map[uint32]storeState),
		crossings: newCrossings(), paces: pace.New(), onPace: func(PaceChange) {}, held: holders.New(heldMax), pending: holders.New(pendingMax), isKept: func(catalog.Build) bool { return true },
		reports: reports{last: make(map[string]time.Time)}, random: rand.Float64,
	}
}

// UseLimits replaces the limits that upstreams state by t, which all daemons share. It
// must be called before any other method.
func (b *Balancer) UseLimits(t *ratelimit.Table) { b.limits, b.risks = t, t.Sibling() }

// UseKept sets the function that tells whether the daemons remember that a build served
// even if all of them restart. It must be called before any other method.
func (b *Balancer) UseKept(isKept func(catalog.Build) bool) { b.isKept = isKept }

// Pick chooses an upstream for w and counts the request as running there until
// Done. It returns nil when no upstream may take the request.
func (b *Balancer) Pick(snap *catalog.Snapshot, w *Work, now time.Time) *Pick {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.timingOf(w.Service)
	t.reviewOpen(now)
	best := b.choose(snap, w, t, now)
	if best == nil {
		return nil
	}
	t.start(best)
	b.meterWork(w, best, t, now)
	best.pickedAt = now
	best.notResumable = !w.Resumable
	b.recordComputed(best.Upstream.ShortID(), best.prefixes, true, now)
	best.state.own.add(best, 1, best.prefillTokens)
	best.state.usedAt = now
	b.limits.Take(best.Upstream.ShortID(), now)
	if best.risky {
		b.risks.Take(best.Upstream.ShortID(), now)
	}
	return best
}

// choose returns the best candidate, see Pick.isBetter, or nil. An upstream that
// is closed or in backoff is chosen only when all are, one that filter bars never.
func (b *Balancer) choose(snap *catalog.Snapshot, w *Work, t *timing, now time.Time) *Pick {
	var found sides
	c := &Pick{} // the candidate; the one that is worse is used again
	var opensIn time.Duration
	all := snap.UpstreamsOf(w.Service)
	b.updatePaces(t, all, now)
	aff := b.affinity(snap, all, w, now)
	for _, u := range all {
		bar, _, risky := b.filter(snap, w, u, b.stateOf(u.Key(), now), now)
		if bar != NoBar {
			continue
		}
		score, ok := b.scoreUpstream(c, snap, w, u, t, aff, now)
		if !ok {
			continue
		}
		c.Late = c.excess(w.Left)
		if closed := c.state.closedUntil.Sub(now); closed > 0 && c.Late == 0 && (opensIn == 0 || closed < opensIn) {
			opensIn = closed
		}
		c.risky = risky
		if risky {
			score += backoffMax
		}
		c.unkept = w.needsOrigin() && !b.isKept(u.Build())
		c.score = score
		c = found.add(c, u.DataCentre == b.opts.DataCentre, !c.unavailable)
	}
	best := b.chooseSide(&found, w, now)
	if best == nil {
		return nil
	}
	best.engines, best.capacity = len(all), aff.capacity
	best.RetryAfter = t.workedOff(best)
	if opensIn > 0 {
		best.RetryAfter = min(best.RetryAfter, opensIn)
	}
	if w.Prompt != nil {
		found := b.lookUp(w, best.Version, aff, now)
		best.prefixes = found.prefixes
		b.setSaveTarget(w, best, aff.store, found)
	}
	return best
}

// affinity holds the upstreams that hashing assigns to a prompt, the same at
// every daemon, and the results of prefix lookups for it.
type affinity struct {
	owner   *catalog.Upstream       // engine assigned to the prompt's shared parts
	short   map[string]bool         // ids of the engines reserved for short work
	store   *catalog.CacheStore     // assigned to its parts; nil: none
	lookups map[uint64]prefixLookup // by weights version
	// capacity is the number of tokens that an engine has room for; 0: not known.
	capacity float64
	// keptSince and surelyKeptSince are the times since which engines probably and surely
	// keep what they used.
	keptSince, surelyKeptSince time.Time
}

// affinity assigns an owner and a cache store to w's prompt. It is empty for a
// plain call.
func (b *Balancer) affinity(snap *catalog.Snapshot, all []*catalog.Upstream, w *Work, now time.Time) affinity {
	if w.Prompt == nil {
		return affinity{}
	}
	a := affinity{
		short: b.shortLane(w.Service, all), store: b.assignedStore(snap, w.Prompt, now),
		lookups: make(map[uint64]prefixLookup, 2), capacity: capacity(snap, w.Service),
	}
	if a.capacity > 0 {
		m := b.memoryOf(w.Service)
		a.keptSince, a.surelyKeptSince = m.since(a.capacity), m.since(sureShare*a.capacity)
	}
	key := rendezvous.Hash(w.Prompt.group())
	near := b.ownedNear(w, all)
	var most uint64
	for _, u := range all {
		if near && u.DataCentre != b.opts.DataCentre {
			continue
		}
		s := b.stateOf(u.Key(), now)
		if s.unavailableFor(now) > 0 || a.short[u.ID] == w.Prompt.long() {
			continue
		}
		if bar, _ := b.barFor(snap, w, u, now); bar != NoBar {
			continue
		}
		if weight := rendezvous.Weight(rendezvous.Hash(u.ID), key); a.owner == nil || weight > most {
			a.owner, most = u, weight
		}
	}
	return a
}

// unavailableFor returns how long the upstream gets no work from now on because
// it is in backoff or closed. It is 0 or less when the upstream gets work.
func (s *upstreamState) unavailableFor(now time.Time) time.Duration {
	return max(s.backoffUntil.Sub(now), s.closedUntil.Sub(now))
}

// stateOf returns the state of an upstream and adds it when there is none.
func (b *Balancer) stateOf(k catalog.Key, now time.Time) *upstreamState {
	s, ok := b.upstreams[k]
	if !ok {
		s = &upstreamState{usedAt: now}
		b.upstreams[k] = s
	}
	return s
}
