// Package decide combines placement, admission and rate limits in one engine
// that the filters of the request pipe share.
package decide

import (
	"sync"
	"time"

	"currantpulley/internal/admission"
	"currantpulley/internal/event"
	"currantpulley/internal/filter/admit"
	"currantpulley/internal/filter/classify"
	filterlimits "currantpulley/internal/filter/limits"
	"currantpulley/internal/filter/place"
	"currantpulley/internal/limits"
	"currantpulley/internal/pipe"
	"currantpulley/internal/placement/branches"
	"currantpulley/internal/placement/cost"
	"currantpulley/internal/placement/heat"
	"currantpulley/internal/placement/holders"
	"currantpulley/internal/placement/quantile"
	"currantpulley/internal/retry"
	"currantpulley/internal/snapshot"
)

// Sizes of the engine's tables, in entries.
const (
	holdersMax  = 1 << 16 // prefixes with known cached copies
	branchesMax = 1 << 16 // pieces after which prompts diverge
	heatMax     = 1 << 14 // prefixes whose share of requests is counted
	rankingsMax = 1 << 14 // prefixes per model whose owners are cached
)

// ageingThreshold is the time in the queue after which a request goes before
// all requests that are not aged.
const ageingThreshold = 2 * time.Second

// Engine is the scheduling state that the filters of one daemon share. It is
// safe for concurrent use. Its lock is held while one decision is computed and
// never during a blocking operation.
type Engine struct {
	recorder event.Recorder
	clock    func() time.Time
	current  func() *snapshot.Snapshot
	retries  *retry.Budget
	hedges   *retry.Budget

	mu            sync.Mutex
	fleet         fleetState
	costs         *cost.Model
	heat          *heat.Tracker
	holders       *holders.Table
	branches      *branches.Tracker
	queue         *admission.Queue[*ticket]
	ledger        *limits.Ledger
	attempts      map[*pipe.Attempt]*attemptState
	ownerHitRatio float64 // moving average of the share of a prompt that its first owner had cached
	meanOutput    map[string]float64
	reviewedAt    time.Time
	queueServedAt time.Time
	tokenInterval quantile.Tracker // seconds between two output tokens
	ttft          quantile.Tracker // time to first token in seconds, high quantile
	ttftWhileSlow quantile.Tracker // the same at a lower quantile, used while upstreams are slow
	slowAt        time.Time        // when an upstream was last marked slow
	timeInFlight  time.Duration    // mean duration of a request at an upstream
}

// New returns an engine. current returns the newest snapshot, so that changes
// reach requests that already wait; it is usually (*snapshot.Holder).Load.
func New(recorder event.Recorder, clock func() time.Time, current func() *snapshot.Snapshot) *Engine {
	return &Engine{
		recorder:      recorder,
		clock:         clock,
		current:       current,
		retries:       retry.NewBudget(clock),
		hedges:        retry.NewBudget(clock),
		fleet:         newFleetState(),
		costs:         cost.New(),
		heat:          heat.New(heatMax),
		holders:       holders.New(holdersMax),
		branches:      branches.New(branchesMax),
		queue:         admission.New[*ticket](ageingThreshold),
		ledger:        limits.NewLedger(),
		attempts:      make(map[*pipe.Attempt]*attemptState),
		ownerHitRatio: ownerHitRatioStart,
		meanOutput:    make(map[string]float64),
		tokenInterval: quantile.New(typicalQuantile, tokenIntervalStart.Seconds()),
		ttft:          quantile.New(tailQuantile, ttftStart.Seconds()),
		ttftWhileSlow: quantile.New(tailQuantileWhileSlow, ttftStart.Seconds()),
		timeInFlight:  timeInFlightStart,
	}
}

// Limits returns the filter that enforces the rate limits of workspaces.
func (e *Engine) Limits() pipe.Filter { return filterlimits.New(e) }

// Classify returns the filter that classifies requests as short or long.
func (e *Engine) Classify() pipe.Filter { return classify.New(e) }

// Admit returns the filter that queues requests until an upstream has capacity.
func (e *Engine) Admit() pipe.Filter { return admit.New(e) }

// Place returns the filter that sets the Picker of exchanges.
func (e *Engine) Place() pipe.Filter { return place.New(e) }

// Retries returns the retry budget. The dispatch filter calls Deposit with
// Config.Retry.Budget for each request and Allow before each retry.
func (e *Engine) Retries() *retry.Budget { return e.retries }

// Hedges returns the budget for hedged attempts. The dispatch filter calls
// Deposit with Config.Retry.HedgeBudget for each request and Allow before each hedge.
func (e *Engine) Hedges() *retry.Budget { return e.hedges }

// Branches returns up to limit facts about branching prefixes that this daemon
// has learned and not returned before. They are to be sent to the other daemons.
func (e *Engine) Branches(limit int) []branches.Fact {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.branches.TakeUnshared(limit)
}

// KnownBranches returns up to limit branches, most recently used first. A
// daemon that starts fetches them from another one.
func (e *Engine) KnownBranches(limit int) []branches.Fact {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.branches.Known(limit)
}

// MergeBranches adds facts that other daemons have learned.
func (e *Engine) MergeBranches(facts []branches.Fact) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.branches.Merge(facts)
}

// syncSnapshot updates the engine to the newest snapshot known, which may be
// newer than own, the snapshot of the request. A snapshot older than the present
// one is ignored.
func (e *Engine) syncSnapshot(own *snapshot.Snapshot, now time.Time) {
	if e.current != nil {
		if s := e.current(); s != nil {
			own = s
		}
	}
	if own == nil || own == e.fleet.snap {
		return
	}
	if e.fleet.snap != nil && own.BuiltAt.Before(e.fleet.snap.BuiltAt) {
		return
	}
	for _, name := range e.fleet.sync(own, now) {
		e.recordCacheDropped(name, now)
	}
}

func (e *Engine) recordCacheDropped(upstream string, now time.Time) {
	e.recorder.Record(event.Event{ID: event.CacheEntriesDropped, At: now, Upstream: upstream})
}
