// Package pace estimates the pace of each upstream: the time that work takes there,
// relative to the other upstreams of its service. One daemon sees few answers of an
// upstream, so the daemons share what they see as claims, and each pools all of them.
//
// Evidence counts half after halfLife. So a spell in which an upstream is slow is noticed
// while it lasts, and an upstream without answers soon has the usual pace again.
package pace

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// Max bounds a pace, and its inverse.
	Max = 4.0
	// halfLife is the age at which evidence counts half.
	halfLife = 1500 * time.Millisecond
	// ratioMax bounds a single ratio of an observed to an expected time, and its inverse.
	ratioMax = 8.0
	// weightMax bounds the evidence of one daemon about one upstream, in answers.
	weightMax = 16.0
	// weightMin is the evidence that is worth keeping, in answers.
	weightMin = 0.05
	// usualWeight is the evidence, in answers, that an upstream has the usual pace.
	usualWeight = 1.0
	// fullTime is the expected time from which an answer counts more than half: what is
	// shorter mostly shows how long the upstream's step lasted.
	fullTime = 50 * time.Millisecond
	// rounding is what a claim's logarithm may have gained on its way.
	rounding = 0.02
	// sweepInterval is the time between two removals of what has decayed.
	sweepInterval = 10 * time.Second
)

// Claim is what the answers that one daemon saw lately show of an upstream's pace.
type Claim struct {
	Upstream uint32  // catalog.Key.ShortID
	Log      float64 // mean logarithm of the ratios of observed to expected times
	Weight   float64 // of the evidence, in answers
}

// check returns an error if the claim can't be true.
func (c Claim) check() error {
	if !(math.Abs(c.Log) <= math.Log(ratioMax)+rounding) || !(c.Weight > 0 && c.Weight <= weightMax) {
		return fmt.Errorf("upstream %08x: log ratio %g of weight %g, at most %.2f of %g is possible", c.Upstream, c.Log, c.Weight, math.Log(ratioMax), weightMax)
	}
	return nil
}

// evidence is a sum over answers, which decays.
type evidence struct {
	sum    float64 // of the answers' logarithms, times their weights
	weight float64
	at     time.Time // at which the sums hold
	seenAt time.Time // of the latest answer
}

// at returns e as it counts at now. A clock that went back makes nothing older.
func (e evidence) decayed(now time.Time) evidence {
	age := max(0, now.Sub(e.at))
	factor := math.Exp2(-age.Seconds() / halfLife.Seconds())
	e.sum, e.weight, e.at = e.sum*factor, e.weight*factor, now
	return e
}

// plus returns e with further evidence, as it counts at now.
func (e evidence) plus(sum, weight float64, now time.Time) evidence {
	e = e.decayed(now)
	e.sum += sum
	e.weight += weight
	if e.weight < weightMin {
		return evidence{at: now, seenAt: e.seenAt}
	}
	return e
}

// bounded returns e with a weight of weightMax at most.
func (e evidence) bounded() evidence {
	if e.weight > weightMax {
		e.sum, e.weight = e.sum*weightMax/e.weight, weightMax
	}
	return e
}

// Table pools the evidence of all daemons. It is not safe for concurrent use.
type Table struct {
	own    map[uint32]evidence            // of this daemon, by upstream
	claims map[string]map[uint32]evidence // of other daemons, by VM and upstream
	pool   map[uint32]evidence            // of all daemons, by upstream

	sweptAt time.Time
}

// New returns a Table without evidence.
func New() *Table {
	return &Table{own: make(map[uint32]evidence), claims: make(map[string]map[uint32]evidence), pool: make(map[uint32]evidence)}
}

// Observe records that work which takes expected at the usual pace took the upstream
// observed.
func (t *Table) Observe(upstream uint32, observed, expected time.Duration, now time.Time) {
	if observed <= 0 || expected <= 0 {
		return
	}
	ratio := min(ratioMax, max(1/ratioMax, observed.Seconds()/expected.Seconds()))
	weight := expected.Seconds() / (expected + fullTime).Seconds()
	old := t.own[upstream].decayed(now)
	e := old.plus(weight*math.Log(ratio), weight, now).bounded()
	e.seenAt = now
	t.own[upstream] = e
	t.replace(upstream, old, e, now)
}

// replace replaces a daemon's evidence in the pool.
func (t *Table) replace(upstream uint32, old, e evidence, now time.Time) {
	old = old.decayed(now)
	t.pool[upstream] = t.pool[upstream].plus(e.sum-old.sum, e.weight-old.weight, now)
}

// Claims returns what this daemon's answers show of the upstreams that answered within
// the last window, of at most limit of them, the latest first.
func (t *Table) Claims(window time.Duration, limit int, now time.Time) []Claim {
	maps.DeleteFunc(t.own, func(_ uint32, e evidence) bool { return e.decayed(now).weight < weightMin })
	var recent []uint32
	for upstream, e := range t.own {
		if now.Sub(e.seenAt) <= window {
			recent = append(recent, upstream)
		}
	}
	slices.SortFunc(recent, func(a, b uint32) int {
		return cmp.Or(t.own[b].seenAt.Compare(t.own[a].seenAt), cmp.Compare(a, b))
	})
	out := make([]Claim, 0, min(limit, len(recent)))
	for _, upstream := range recent[:min(limit, len(recent))] {
		e := t.own[upstream].decayed(now)
		out = append(out, Claim{upstream, e.sum / e.weight, e.weight})
	}
	return out
}

// Merge replaces what the daemon on vm claimed before of the same upstreams. It returns an
// error if a claim can't be true; what the daemon claimed before of that upstream stays.
func (t *Table) Merge(vm string, claims []Claim, now time.Time) error {
	var failed error
	t.sweep(now)
	known := t.claims[vm]
	if known == nil {
		known = make(map[uint32]evidence, len(claims))
		t.claims[vm] = known
	}
	for _, c := range claims {
		if err := c.check(); err != nil {
			failed = cmp.Or(failed, err)
			continue
		}
		e := evidence{sum: c.Log * c.Weight, weight: c.Weight, at: now}
		t.replace(c.Upstream, known[c.Upstream], e, now)
		known[c.Upstream] = e
	}
	return failed
}

// sweep forgets claims that hardly count any more.
func (t *Table) sweep(now time.Time) {
	if now.Sub(t.sweptAt) < sweepInterval {
		return
	}
	t.sweptAt = now
	maps.DeleteFunc(t.claims, func(_ string, known map[uint32]evidence) bool {
		maps.DeleteFunc(known, func(_ uint32, e evidence) bool { return e.decayed(now).weight < weightMin })
		return len(known) == 0
	})
	maps.DeleteFunc(t.pool, func(_ uint32, e evidence) bool { return e.decayed(now).weight < weightMin })
}

// Paces returns the paces of the upstreams of one service. They are relative to the mean
// of the upstreams, so that what all of them have in common is left to the expected times.
func (t *Table) Paces(upstreams []uint32, now time.Time) []float64 {
	pooled := make([]evidence, len(upstreams))
	mean, weights := 0.0, 0.0
	for i, upstream := range upstreams {
		e := t.pool[upstream].decayed(now)
		if e.weight < weightMin {
			continue
		}
		pooled[i] = e
		trust := e.weight / (e.weight + usualWeight)
		mean += trust * e.sum / e.weight
		weights += trust
	}
	if weights > 0 {
		mean /= weights
	}
	out := make([]float64, len(upstreams))
	for i, e := range pooled {
		log := (e.sum - mean*e.weight) / (e.weight + usualWeight)
		out[i] = min(Max, max(1/Max, math.Exp(log)))
	}
	return out
}
