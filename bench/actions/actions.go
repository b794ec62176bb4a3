// Package actions measures calls that must not repeat: daemons over real
// connections share a log with a limit, some stop without warning, the log has
// outages, replies are lost and callers retry through other daemons. A ledger
// stand-in counts what really ran.
package actions

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"currantpulley/internal/control/calls"
	"currantpulley/internal/control/calls/callspb"
	"currantpulley/internal/refusal"
)

const (
	callRate     = 200 // calls per second
	runTime      = 30 * time.Second
	settleDelay  = time.Second // before the first call
	callTimeout  = 6 * time.Second
	serviceTime  = 2 * time.Millisecond // of the ledger
	lostShare    = 0.03                 // replies lost after the call ran
	retriesMax   = 3
	retryDelay   = 200 * time.Millisecond
	doubledShare = 0.05 // calls that are sent through two daemons at once
	maxMicros    = int64(time.Minute / time.Microsecond)
)

// Result is one run's figures.
type Result struct {
	Scenario       string  `json:"scenario"`
	Seed           uint64  `json:"seed"`
	Calls          int64   `json:"calls"` // keys
	Requests       int64   `json:"requests"`
	Answered       int64   `json:"answered"` // requests that ran, or got the first run's outcome
	Runs           int     `json:"runs"`     // at the ledger
	Doubles        int     `json:"doubles"`
	FalseRefusals  int64   `json:"false_refusals"`
	NotRun         int64   `json:"not_run"`
	Unknowns       int64   `json:"unknowns"`
	AddedP50MS     float64 `json:"added_p50_ms"`
	AddedP99MS     float64 `json:"added_p99_ms"`
	LogRoundTripMS float64 `json:"log_round_trip_ms"` // median, as measured
	AppendsPerS    float64 `json:"appends_per_s"`
	AppendsRefused int64   `json:"appends_refused"` // for the log's limit
	Stopped        int64   `json:"stopped"`         // daemons stopped without warning
}

// bench is one run.
type runner struct {
	cluster *cluster
	ledger  *ledger
	random  *lockedRand

	requests, answered, falseRefusals, notRun, unknowns, stopped atomic.Int64

	mu    sync.Mutex
	added *hdrhistogram.Histogram // microseconds
}

// Run runs the scenario once; it takes less than 45 s.
func Run(ctx context.Context, seed uint64) (Result, error) {
	log := newLimitedLog()
	c, err := newCluster(log)
	if err != nil {
		return Result{}, fmt.Errorf("start daemons: %w", err)
	}
	defer c.close()
	r := &runner{
		cluster: c, ledger: newLedger(), random: newLockedRand(seed),
		added: hdrhistogram.New(1, maxMicros, 3),
	}
	if !sleep(ctx, settleDelay) {
		return Result{}, ctx.Err()
	}
	before, started := log.appended.Load(), time.Now()
	n, err := r.generateLoad(ctx)
	if err != nil {
		return Result{}, err
	}
	elapsed := time.Since(started)
	return Result{
		Scenario: "actions", Seed: seed, Calls: n, Requests: r.requests.Load(), Answered: r.answered.Load(),
		Runs: r.ledger.total, Doubles: r.ledger.doubles(), FalseRefusals: r.falseRefusals.Load(),
		NotRun: r.notRun.Load(), Unknowns: r.unknowns.Load(),
		AddedP50MS: milliseconds(r.added.ValueAtQuantile(50)), AddedP99MS: milliseconds(r.added.ValueAtQuantile(99)),
		LogRoundTripMS: milliseconds(log.medianAppendTime()),
		AppendsPerS:    float64(log.appended.Load()-before) / elapsed.Seconds(),
		AppendsRefused: log.refused.Load(), Stopped: r.stopped.Load(),
	}, nil
}

func milliseconds(us int64) float64 { return float64(us) / 1000 }

// load makes calls at a steady rate while the faults go on.
func (r *runner) generateLoad(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, runTime+callTimeout)
	defer cancel()
	var work sync.WaitGroup
	faults := make(chan error, 1)
	go func() { faults <- r.injectFaults(ctx) }()
	ticker := time.NewTicker(time.Second / callRate)
	defer ticker.Stop()
	end := time.Now().Add(runTime)
	var n int64
	for time.Now().Before(end) {
		select {
		case <-ticker.C:
			n++
			key := fmt.Sprintf("call-%d", n)
			work.Go(func() { r.makeCall(ctx, key) })
		case <-ctx.Done():
			return n, ctx.Err()
		}
	}
	work.Wait()
	return n, <-faults
}

// faults stops daemons without warning and lets the log fail, once a part of
// the run each.
func (r *runner) injectFaults(ctx context.Context) error {
	for _, step := range []struct {
		after  time.Duration
		outage time.Duration // zero: a daemon stops
	}{
		{3 * time.Second, 0},
		{time.Second, 2 * time.Second},
		{2 * time.Second, 0},
		{time.Second, 0},
		{time.Second, time.Second},
		{time.Second, 0},
	} {
		if !sleep(ctx, step.after) {
			return nil
		}
		if step.outage > 0 {
			r.cluster.log.setDown(true)
			sleep(ctx, step.outage)
			r.cluster.log.setDown(false)
			continue
		}
		r.stopped.Add(1)
		if err := r.cluster.replace(ctx, r.random.intN(daemonCount)); err != nil {
			return err
		}
	}
	return nil
}

// call is a caller with one call to make: it retries through other daemons
// until it knows the call's end.
func (r *runner) makeCall(ctx context.Context, key string) {
	if r.random.float() < doubledShare {
		var duplicate sync.WaitGroup
		defer duplicate.Wait()
		duplicate.Go(func() { r.sendRequest(ctx, key) })
	}
	for range retriesMax {
		if r.sendRequest(ctx, key) {
			return
		}
		sleep(ctx, retryDelay)
	}
}

// request makes one request through a daemon and reports whether the caller
// got an answer.
func (r *runner) sendRequest(ctx context.Context, key string) bool {
	id, arrived := r.requests.Add(1), time.Now()
	d := r.cluster.daemon(r.random.intN(daemonCount))
	if d.ctx.Err() != nil {
		return false // no connection
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	defer context.AfterFunc(d.ctx, cancel)()
	call, outcome, err := d.calls.Begin(ctx, calls.Request{Workspace: "w", Key: key, Body: []byte(key)})
	switch {
	case d.ctx.Err() != nil:
		return false // the daemon is gone, and its answer with it
	case err != nil:
		r.recordRefusal(key, id, arrived, refusal.From(err))
		return false
	case outcome != nil:
		return r.recordRepeat(outcome)
	}
	if err := call.Clear(ctx, false); err != nil {
		call.Void()
		r.recordRefusal(key, id, arrived, refusal.From(err))
		return false
	}
	r.recordAdded(time.Since(arrived))
	r.ledger.run(key, id)
	sleep(ctx, serviceTime)
	if r.random.float() < lostShare {
		call.Finish(&calls.Outcome{Result: callspb.Result_RESULT_UNKNOWN})
		r.unknowns.Add(1)
		return false
	}
	call.Finish(&calls.Outcome{Result: callspb.Result_RESULT_ANSWERED, Status: 200, Body: []byte(key)})
	r.answered.Add(1)
	return true
}

func (r *runner) recordRepeat(o *calls.Outcome) bool {
	if o.Result != callspb.Result_RESULT_ANSWERED {
		r.unknowns.Add(1)
		return false
	}
	r.answered.Add(1)
	return true
}

func (r *runner) recordRefusal(key string, id int64, arrived time.Time, e *refusal.Error) {
	if e.Effect == refusal.Unknown {
		r.unknowns.Add(1)
		return
	}
	r.notRun.Add(1)
	if r.ledger.isFalseRefusal(key, id, arrived) {
		r.falseRefusals.Add(1)
	}
}

func (r *runner) recordAdded(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.added.RecordValue(min(d.Microseconds(), maxMicros))
}

// lockedRand is a seeded source for many goroutines.
type lockedRand struct {
	mu sync.Mutex
	r  *rand.Rand
}

func newLockedRand(seed uint64) *lockedRand {
	return &lockedRand{r: rand.New(rand.NewPCG(seed, seed))}
}

func (l *lockedRand) intN(n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.r.IntN(n)
}

func (l *lockedRand) float() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.r.Float64()
}
