package decide

import (
	"cmp"
	"math"
	"slices"
	"time"

	"currantpulley/internal/placement/holders"
	"currantpulley/internal/placement/owners"
)

const (
	ownerHitRatioStart = 0.6         // assumed until answers were seen
	timeInFlightStart  = time.Second // assumed until answers were seen
	candidatesMax      = ownersDepth + holders.PerPrefix
	// defaultLevel is the index of the piece whose owners are used while no
	// branch of the prompt is known.
	defaultLevel = 2
	// subtreeMax is the load of a subtree, in units of one upstream's share of
	// all requests, above which the subtree is split.
	subtreeMax = 1.0
	// ownerCapacity is the load of a prefix that one owner takes, in the same
	// unit.
	ownerCapacity = 0.75
	// backlogMax is the longest prefill time that may be queued in an engine
	// ahead of a request, however long its caller waits: enough to keep the engine
	// busy until a report of its load, half a second late, shows that it has room.
	// What waits at the daemon can still go elsewhere, or behind a caller with less
	// time.
	backlogMax = 600 * time.Millisecond
	// backlogShare is the fraction of the time to the deadline that a request
	// may spend queued in the engine. The rest is for its own prefill and for work
	// that comes before it meanwhile.
	backlogShare = 0.4
	// queuedAheadShare is the fraction of the tokens queued in an engine that
	// it prefills before a request. It is below 1 because engines serve
	// requests by priority.
	queuedAheadShare = 0.3
	// laterOwnerPenalty and nonOwnerPenalty are added to the score of owners
	// after the first and of all other upstreams. Load estimates lag behind, so
	// only a larger difference justifies another cached copy of the prefix.
	laterOwnerPenalty = 200 * time.Millisecond
	nonOwnerPenalty   = 2 * time.Second
)

// candidate is an upstream that is considered for a prompt.
type candidate struct {
	up          *upstream
	rank        int           // position among the owners; -1: not an owner
	rankKey     float64       // owners are ranked by it, in ascending order
	knownCached float64       // tokens known to be cached
	idle        time.Duration // time since the known cached tokens were last used
	cached      float64       // tokens expected to be cached
	score       time.Duration // expected ttft with penalties; the lowest wins
	ttft        time.Duration // expected time to first token if sent now
	hasRoom     bool          // below its limits on requests and queued prefill
}

// decision is the result of comparing the candidates for a prompt.
type decision struct {
	best       *candidate // nil: no upstream is eligible
	ownerCount int        // number of owners that share the prefix
	share      float64    // fraction of recent requests that have the prefix
	candidates []candidate
}

// choose scores the upstreams that are eligible for w and selects the best.
// tried names upstreams to leave out. buffer is storage for the candidates.
func (s *Scheduler) choose(w *work, tried []string, now time.Time, buffer []candidate) decision {
	d := decision{}
	all := buffer[:0]
	if len(w.pieces) > 0 {
		table := s.fleet.table(w.model)
		s.findLevel(w, table.Len(), now)
		d.share = s.heat.Share(w.ownerKey(), now)
		d.ownerCount = s.ownerCountFor(d.share, table.Len())
		all = s.addOwners(all, w, table.Top(w.ownerKey()), d.ownerCount, tried, now)
		all = s.addHolders(all, w, tried, now)
	}
	if len(all) == 0 {
		all = s.addLeastLoaded(all, w, tried, now)
	}
	d.candidates = all
	for i := range all {
		c := &all[i]
		s.score(c, w, d.ownerCount, now)
		if d.best == nil || c.score < d.best.score {
			d.best = c
		}
	}
	return d
}

// findLevel sets w.level to the piece after the first branch, which is the first
// piece that only the prompts of one subtree have. A subtree with more load than
// one upstream can take is split at its next branch.
func (s *Scheduler) findLevel(w *work, upstreams int, now time.Time) {
	last := len(w.pieces) - 1
	branch := s.branches.Next(w.pieces, 0)
	if branch < 0 {
		w.level = min(defaultLevel, last)
		return
	}
	for {
		w.level = min(branch+1, last)
		if w.level == last || s.heat.Share(w.ownerKey(), now)*float64(upstreams) <= subtreeMax {
			return
		}
		if branch = s.branches.Next(w.pieces, w.level); branch < 0 {
			return
		}
	}
}

// ownerCountFor returns the number of owners for a prefix that has the given
// share of all requests.
func (s *Scheduler) ownerCountFor(share float64, upstreams int) int {
	wanted := int(math.Ceil(share * float64(upstreams) / ownerCapacity))
	return max(1, min(wanted, s.fleet.snap.Config.Placement.OwnersMax, ownersDepth))
}

// addOwners adds the first eligible owners. The first ownerCount of them are
// ordered by the prompt's last piece, so that each serves its part of the prompts.
// When all of these exceed their load bound, further owners are added.
func (s *Scheduler) addOwners(all []candidate, w *work, ranked []int32, ownerCount int, tried []string, now time.Time) []candidate {
	for _, n := range ranked {
		if u := s.fleet.byNumber[n]; s.eligible(u, w, tried, now) {
			all = append(all, candidate{up: u, rankKey: owners.Score(u.snap.Hash, w.ownerKey(), u.weight)})
		}
	}
	slices.SortFunc(all, byRankKey)
	first := all[:min(ownerCount, len(all))]
	if len(first) > 1 {
		for i := range first {
			first[i].rankKey = owners.Score(first[i].up.snap.Hash, w.lastPiece(), 1)
		}
		slices.SortFunc(first, byRankKey)
	}
	for i := range all {
		all[i].rank = i
	}
	if !s.overBound(first, now) {
		return first
	}
	return all[:min(len(all), max(ownerCount+1, s.fleet.snap.Config.Placement.Owners))]
}

func byRankKey(a, b candidate) int { return cmp.Compare(a.rankKey, b.rankKey) }

// overBound reports whether every owner in first has more requests in flight
// than Placement.LoadBound times the mean.
func (s *Scheduler) overBound(first []candidate, now time.Time) bool {
	bound := s.fleet.snap.Config.Placement.LoadBound * max(1, s.fleet.averageInFlight(now))
	return !slices.ContainsFunc(first, func(c candidate) bool { return c.up.load.InFlight(s.fleet.growth(now), now) <= bound })
}

// addHolders sets the known cached tokens of the candidates, deepest pieces
// first. It also adds up to holders.PerPrefix upstreams that are not owners but
// have more of the prompt cached than the pieces up to w.level.
func (s *Scheduler) addHolders(all []candidate, w *work, tried []string, now time.Time) []candidate {
	added := 0
	for i := w.nLookups - 1; i >= 0; i-- {
		depth := float64(w.lookups[i]+1) * w.pieceSize
		for _, h := range s.holders.Find(w.pieces[w.lookups[i]]) {
			u := s.fleet.byNumber[h.Upstream]
			idle := now.Sub(h.At)
			if u == nil || u.epoch != h.Epoch || !u.retention.Holds(idle) {
				continue
			}
			if at := slices.IndexFunc(all, func(c candidate) bool { return c.up == u }); at >= 0 {
				all[at].noteCached(depth, idle)
				continue
			}
			if added < holders.PerPrefix && int(w.lookups[i]) > w.level && s.eligible(u, w, tried, now) {
				all = append(all, candidate{up: u, rank: -1, knownCached: depth, idle: idle})
				added++
			}
		}
	}
	return all
}

// noteCached records that depth tokens are cached, unless more are known to be.
func (c *candidate) noteCached(depth float64, idle time.Duration) {
	if depth > c.knownCached {
		c.knownCached, c.idle = depth, idle
	}
}

// addLeastLoaded adds the eligible upstream with the fewest requests in flight.
func (s *Scheduler) addLeastLoaded(all []candidate, w *work, tried []string, now time.Time) []candidate {
	var least *upstream
	for _, u := range s.fleet.engines {
		if !s.eligible(u, w, tried, now) {
			continue
		}
		if least == nil || u.load.InFlight(s.fleet.growth(now), now) < least.load.InFlight(s.fleet.growth(now), now) {
			least = u
		}
	}
	if least == nil {
		return all
	}
	return append(all, candidate{up: least, rank: -1})
}

// eligible reports whether u may get the work. A slow upstream gets short work
// only, as a probe.
func (s *Scheduler) eligible(u *upstream, w *work, tried []string, now time.Time) bool {
	if u == nil || !u.snap.AcceptsRequests() || !u.snap.Serves(w.model) || slices.Contains(tried, u.snap.Name) {
		return false
	}
	return !u.speed.Slow() || (!w.long && u.speed.ProbeDue(now))
}

// score estimates the time to first token at c and whether c has room.
func (s *Scheduler) score(c *candidate, w *work, ownerCount int, now time.Time) {
	c.cached = c.knownCached
	if c.rank == 0 {
		c.cached = max(c.knownCached, s.ownerHitRatio*w.cacheable())
	}
	ratio := 1.0
	if c.up.speed.Slow() {
		ratio = max(1, c.up.speed.Ratio())
	}
	size := c.up.window.Size()
	excess := c.up.load.InFlight(s.fleet.growth(now), now) + 1 - size
	waiting := c.up.load.Tokens(s.fleet.growth(now), now)
	queueDelay := scale(s.costs.Prefill(waiting), queuedAheadShare*ratio)
	c.ttft = queueDelay + scale(s.costs.Predict(w.promptTokens-c.cached), ratio)
	c.hasRoom = excess <= 0 && queueDelay <= backlogFor(w, now)
	if w.long {
		c.hasRoom = c.hasRoom && float64(c.up.long) < max(1, s.fleet.snap.Config.Admission.LongShare*size)
	}
	c.score = c.ttft + penalty(c.rank, ownerCount)
	if excess > 0 {
		c.score += scale(s.timeInFlight, excess/size)
	}
}

// backlogFor returns the longest prefill time that may be queued in an engine
// ahead of w.
func backlogFor(w *work, now time.Time) time.Duration {
	if w.deadline.IsZero() {
		return backlogMax
	}
	return min(backlogMax, scale(w.deadline.Sub(now), backlogShare))
}

// penalty returns the score penalty for an owner rank; -1 is a non-owner.
func penalty(rank, ownerCount int) time.Duration {
	switch {
	case rank == 0:
		return 0
	case rank > 0 && rank < ownerCount:
		return laterOwnerPenalty
	}
	return nonOwnerPenalty
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
