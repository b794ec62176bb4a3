// Package decide combines placement, admission and rate limits in one
// scheduler that the filters of the request pipe share.
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

// Sizes of the scheduler's tables, in entries.
const (
	holdersMax  = 1 << 16 // prefixes with known cached copies
	branchesMax = 1 << 16 // pieces after which prompts diverge
	heatMax     = 1 << 14 // prefixes whose share of requests is counted
	rankingsMax = 1 << 14 // prefixes per model whose owners are cached
)

// unqueuedQuantile is the quantile of the observed times to first token that is taken as
// free of waiting: most requests also wait behind others that this daemon does not see.
const unqueuedQuantile = 0.25

// ageingThreshold is the time in the queue after which a request goes before
// all requests that are not aged: fairness between workspaces holds none up for longer.
const ageingThreshold = 2 * time.Second

// Scheduler is the scheduling state that the filters of one daemon share. It is
// safe for concurrent use. Its lock is held while one decision is computed and
// never during a blocking operation.
type Scheduler struct {
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

// New returns a scheduler. current returns the newest snapshot, so that changes
// reach requests that already wait; it is usually (*snapshot.Holder).Load.
func New(recorder event.Recorder, clock func() time.Time, current func() *snapshot.Snapshot) *Scheduler {
	return &Scheduler{
		recorder:      recorder,
		clock:         clock,
		current:       current,
		retries:       retry.NewBudget(clock),
		hedges:        retry.NewBudget(clock),
		fleet:         newFleetState(),
		costs:         cost.New(cost.Options{Quantile: unqueuedQuantile}),
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
func (s *Scheduler) Limits() pipe.Filter { return filterlimits.New(s) }

// Classify returns the filter that classifies requests as short or long.
func (s *Scheduler) Classify() pipe.Filter { return classify.New(s) }

// Admit returns the filter that queues requests until an upstream has capacity.
func (s *Scheduler) Admit() pipe.Filter { return admit.New(s) }

// Place returns the filter that sets the Picker of exchanges.
func (s *Scheduler) Place() pipe.Filter { return place.New(s) }

// Retries returns the retry budget. The dispatch filter calls Deposit with
// Config.Retry.Budget for each request and Allow before each retry.
func (s *Scheduler) Retries() *retry.Budget { return s.retries }

// Hedges returns the budget for hedged attempts. The dispatch filter calls
// Deposit with Config.Retry.HedgeBudget for each request and Allow before each hedge.
func (s *Scheduler) Hedges() *retry.Budget { return s.hedges }

// Branches returns up to limit facts about branching prefixes that this daemon
// has learned and not returned before. They are to be sent to the other daemons.
func (s *Scheduler) Branches(limit int) []branches.Fact {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.branches.TakeUnshared(limit)
}

// KnownBranches returns up to limit branches, most recently used first. A
// daemon that starts fetches them from another one.
func (s *Scheduler) KnownBranches(limit int) []branches.Fact {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.branches.Known(limit)
}

// MergeBranches adds facts that other daemons have learned.
func (s *Scheduler) MergeBranches(facts []branches.Fact) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.branches.Merge(facts)
}

// syncSnapshot updates the scheduler to the newest snapshot known, which may be
// newer than own, the snapshot of the request. A snapshot older than the present
// one is ignored.
func (s *Scheduler) syncSnapshot(own *snapshot.Snapshot, now time.Time) {
	if s.current != nil {
		if snap := s.current(); snap != nil {
			own = snap
		}
	}
	if own == nil || own == s.fleet.snap {
		return
	}
	if s.fleet.snap != nil && own.BuiltAt.Before(s.fleet.snap.BuiltAt) {
		return
	}
	for _, name := range s.fleet.sync(own, now) {
		s.recordCacheDropped(name, now)
	}
}

func (s *Scheduler) recordCacheDropped(upstream string, now time.Time) {
	s.recorder.Record(event.Event{ID: event.CacheEntriesDropped, At: now, Upstream: upstream})
}
