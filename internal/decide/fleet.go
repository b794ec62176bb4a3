package decide

import (
	"math"
	"time"

	"currantpulley/internal/config"
	"currantpulley/internal/placement/load"
	"currantpulley/internal/placement/owners"
	"currantpulley/internal/placement/retention"
	"currantpulley/internal/placement/slowness"
	"currantpulley/internal/placement/window"
	"currantpulley/internal/rendezvous"
	"currantpulley/internal/snapshot"
)

const (
	ownersDepth = 16      // owners that are ranked for a prefix
	weightMin   = 1.0 / 3 // smallest weight; the largest is 1/weightMin
	// weightExponent sets how strongly weights follow the load. At 1 a short
	// burst moved more prefixes than it justified.
	weightExponent    = 0.5
	busyAveragingTime = 12 * time.Second      // time constant of the load average behind the weights
	meanMaxAge        = 10 * time.Millisecond // age at which the mean load is computed again
	// signatureFactor is the FNV-1a prime, used to hash upstreams into a
	// signature of the membership.
	signatureFactor = 1099511628211
)

// upstream is the state that the daemon has learned about one upstream. It is
// kept across snapshots.
type upstream struct {
	number      int32
	snap        *snapshot.Upstream
	incarnation string
	previous    string            // previous incarnation, which late reports may still carry
	weights     map[string]string // reported versions, by model
	epoch       uint32            // incremented whenever the known cache entries become invalid
	reportAt    time.Time         // of the last load report
	busy        float64           // moving average of the reported requests
	weight      float64           // weight in the ranking of owners
	long        int               // this daemon's long requests in flight
	load        load.Estimate
	window      window.Window
	speed       slowness.Meter
	retention   retention.Age
}

// engineChanged records the incarnation and the weights that an engine reported.
// Empty values are ignored. It reports whether the known cache entries became
// invalid.
func (u *upstream) engineChanged(incarnation, model, weights string) bool {
	changed := false
	if incarnation != "" && incarnation != u.incarnation {
		changed = u.incarnation != ""
		u.previous, u.incarnation = u.incarnation, incarnation
	}
	if model != "" && weights != "" {
		old, known := u.weights[model]
		changed = changed || (known && old != weights)
		u.weights[model] = weights
	}
	if changed {
		u.epoch++
	}
	return changed
}

// applyReport takes the engine's reported state from the snapshot. A late report
// from the incarnation before the current one is ignored. It reports whether the
// known cache entries became invalid.
func (u *upstream) applyReport(su *snapshot.Upstream, now time.Time) bool {
	late := su.Incarnation != "" && su.Incarnation == u.previous
	if late || !su.Load.At.After(u.reportAt) {
		return false
	}
	u.averageBusy(float64(su.Load.Running+su.Load.Queued), su.Load.At)
	u.load.Reported(su.Load, now)
	changed := u.engineChanged(su.Incarnation, "", "")
	for model, weights := range su.Weights {
		changed = u.engineChanged("", model, weights) || changed
	}
	return changed
}

func (u *upstream) averageBusy(requests float64, at time.Time) {
	keep := 0.0
	if !u.reportAt.IsZero() {
		keep = math.Exp(-at.Sub(u.reportAt).Seconds() / busyAveragingTime.Seconds())
	}
	u.busy = requests + keep*(u.busy-requests)
	u.reportAt = at
}

type tableKey struct{ model, weights string }

// fleetState is the scheduler's view of the upstreams in the newest snapshot.
type fleetState struct {
	snap         *snapshot.Snapshot
	liveDaemons  int // live daemons, this one included
	byName       map[string]*upstream
	byNumber     []*upstream // nil: removed
	signature    uint64
	tables       map[tableKey]*owners.Table
	engines      []*upstream
	meanInFlight float64 // mean requests in flight at engines that accept requests
	meanAt       time.Time
	ownGrowth    load.Growth // of this daemon's requests in flight
}

// growth returns the factor by which the other daemons' requests are assumed to
// have grown over their average: the growth of this daemon's own.
func (f *fleetState) growth(now time.Time) float64 {
	if f.liveDaemons == 1 {
		return 1
	}
	return f.ownGrowth.Factor(now)
}

func newFleetState() fleetState {
	return fleetState{byName: make(map[string]*upstream), tables: make(map[tableKey]*owners.Table)}
}

// sync applies a newer snapshot and returns the names of the upstreams whose known
// cache entries became invalid.
func (f *fleetState) sync(s *snapshot.Snapshot, now time.Time) (invalidated []string) {
	f.snap = s
	f.liveDaemons = max(1, len(s.View.Live()))
	f.engines = f.engines[:0]
	for _, su := range s.Upstreams {
		u := f.upstreamFor(su)
		u.snap = su
		if su.Kind != config.KindEngine {
			continue
		}
		f.engines = append(f.engines, u)
		if u.applyReport(su, now) {
			invalidated = append(invalidated, su.Name)
		}
	}
	f.removeMissing(s)
	f.updateWeights()
	if sig := signature(s); sig != f.signature {
		f.signature = sig
		clear(f.tables)
	}
	return invalidated
}

func (f *fleetState) upstreamFor(su *snapshot.Upstream) *upstream {
	if u, ok := f.byName[su.Name]; ok {
		return u
	}
	u := &upstream{
		number:    int32(len(f.byNumber)),
		weights:   make(map[string]string),
		weight:    1,
		window:    window.New(f.snap.Config.Admission.WindowStart, su.Concurrency),
		retention: retention.New(),
	}
	f.byName[su.Name] = u
	f.byNumber = append(f.byNumber, u)
	return u
}

func (f *fleetState) removeMissing(s *snapshot.Snapshot) {
	if len(f.byName) == len(s.Upstreams) {
		return
	}
	present := make(map[string]bool, len(s.Upstreams))
	for _, su := range s.Upstreams {
		present[su.Name] = true
	}
	for name, u := range f.byName {
		if !present[name] {
			f.byNumber[u.number] = nil
			delete(f.byName, name)
		}
	}
}

// updateWeights sets the weights of the engines in the ranking of owners. Engines
// that were reported busier than the mean get less. All daemons receive the same
// reports, so their weights are nearly the same.
func (f *fleetState) updateWeights() {
	sum := 0.0
	for _, u := range f.engines {
		sum += u.busy
	}
	mean := sum / float64(max(1, len(f.engines)))
	for _, u := range f.engines {
		u.weight = min(1/weightMin, max(weightMin, math.Pow((mean+1)/(u.busy+1), weightExponent)))
	}
}

// signature returns a hash of everything that owners depend on: the upstreams and
// the weights that they serve. Health and load are not part of it.
func signature(s *snapshot.Snapshot) uint64 {
	sig := uint64(len(s.Upstreams))
	for _, model := range s.Config.Models {
		part := rendezvous.Hash(model.Name) ^ rendezvous.Hash(model.Weights)
		for _, su := range s.Upstreams {
			if su.Serves(model) {
				part = (part ^ su.Hash) * signatureFactor
			}
		}
		sig += part // a sum, since the order of maps is random
	}
	return sig
}

// table returns the owner rankings of the engines that serve model.
func (f *fleetState) table(model *config.Model) *owners.Table {
	key := tableKey{model.Name, model.Weights}
	if t, ok := f.tables[key]; ok {
		return t
	}
	members := make([]owners.Member, 0, len(f.engines))
	for _, u := range f.engines {
		if u.snap.Serves(model) {
			members = append(members, owners.Member{Hash: u.snap.Hash, Number: u.number})
		}
	}
	t := owners.New(members, ownersDepth, rankingsMax)
	f.tables[key] = t
	return t
}

// averageInFlight returns the mean estimated requests in flight of the engines
// that accept requests. The value is cached for meanMaxAge.
func (f *fleetState) averageInFlight(now time.Time) float64 {
	if now.Sub(f.meanAt) < meanMaxAge {
		return f.meanInFlight
	}
	sum, n := 0.0, 0
	for _, u := range f.engines {
		if u.snap.AcceptsRequests() {
			sum += u.load.InFlight(f.growth(now), now)
			n++
		}
	}
	f.meanInFlight, f.meanAt = sum/float64(max(1, n)), now
	return f.meanInFlight
}

// meters returns the speed meters of the engines, in the order of f.engines.
func (f *fleetState) meters() []*slowness.Meter {
	meters := make([]*slowness.Meter, len(f.engines))
	for i, u := range f.engines {
		meters[i] = &u.speed
	}
	return meters
}
