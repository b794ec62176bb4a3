// Package actions measures calls that must run at most once. Daemons that
// communicate over real connections share a rate-limited log. During a run,
// daemons are stopped abruptly, the log has outages, replies are lost and callers
// retry through other daemons. A stand-in of the called service records which
// calls really ran.
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
	serviceTime  = 2 * time.Millisecond // of one call at the ledger
	lostShare    = 0.03                 // of calls, whose reply is lost after they ran
	retriesMax   = 3
	retryDelay   = 200 * time.Millisecond
	doubledShare = 0.05 // of calls, which are sent through two daemons at once
	maxMicros    = int64(time.Minute / time.Microsecond)
)

// Result holds the figures of one run.
type Result struct {
	Scenario       string  `json:"scenario"`
	Seed           uint64  `json:"seed"`
	Calls          int64   `json:"calls"` // distinct idempotency keys
	Requests       int64   `json:"requests"`
	Answered       int64   `json:"answered"`       // requests that ran or got the recorded outcome
	Runs           int     `json:"runs"`           // calls run by the ledger, repeats included
	Doubles        int     `json:"doubles"`        // runs beyond the first of a call
	FalseRefusals  int64   `json:"false_refusals"` // refused as not run, although the call had run
	NotRun         int64   `json:"not_run"`
	Unknowns       int64   `json:"unknowns"`
	AddedP50MS     float64 `json:"added_p50_ms"`
	AddedP99MS     float64 `json:"added_p99_ms"`
	LogRoundTripMS float64 `json:"log_round_trip_ms"` // measured median
	AppendsPerS    float64 `json:"appends_per_s"`
	AppendsRefused int64   `json:"appends_refused"` // by the rate limit of the log
	Stopped        int64   `json:"stopped"`         // daemons stopped abruptly
}

// runner is the state of one run.
type runner struct {
	cluster *cluster
	ledger  *ledger
	random  *lockedRand

	requests, answered, falseRefusals, notRun, unknowns, stopped atomic.Int64

	mu    sync.Mutex
	added *hdrhistogram.Histogram // latency added before a call is sent, in microseconds
}

// Run runs the scenario once, which takes less than 45 s.
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

// milliseconds converts from microseconds.
func milliseconds(us int64) float64 { return float64(us) / 1000 }

// generateLoad makes calls at a constant rate while faults are injected and
// returns the number of calls.
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

// injectFaults runs a fixed sequence of faults: daemons are stopped abruptly and
// the log has outages, one fault at a time.
func (r *runner) injectFaults(ctx context.Context) error {
	for _, step := range []struct {
		after  time.Duration
		outage time.Duration // of the log; zero stops a daemon instead
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

// makeCall acts as a caller: it retries a call through random daemons until it
// gets an answer or has made retriesMax attempts. A share of the calls is sent a
// second time in parallel.
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

// sendRequest makes one request through a random daemon and reports whether the
// caller got an answer.
func (r *runner) sendRequest(ctx context.Context, key string) bool {
	id, arrived := r.requests.Add(1), time.Now()
	d := r.cluster.daemon(r.random.intN(daemonCount))
	if d.ctx.Err() != nil {
		return false // connection refused
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	defer context.AfterFunc(d.ctx, cancel)()
	call, outcome, err := d.calls.Begin(ctx, calls.Request{Workspace: "w", Key: key, Body: []byte(key)})
	switch {
	case d.ctx.Err() != nil:
		return false // the daemon stopped, so its answer is lost
	case err != nil:
		r.recordRefusal(key, id, arrived, refusal.From(err))
		return false
	case outcome != nil:
		return r.recordRepeat(outcome)
	}
	if err := call.CheckSend(ctx, false); err != nil {
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

// recordRepeat counts a request that got the outcome of an earlier one with the
// same key, and reports whether that outcome is an answer.
func (r *runner) recordRepeat(o *calls.Outcome) bool {
	if o.Result != callspb.Result_RESULT_ANSWERED {
		r.unknowns.Add(1)
		return false
	}
	r.answered.Add(1)
	return true
}

// recordRefusal counts a refusal: as unknown, or as not run and possibly false.
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

// recordAdded records the latency that the daemon added to a call.
func (r *runner) recordAdded(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.added.RecordValue(min(d.Microseconds(), maxMicros))
}

// lockedRand is a seeded random source that is safe for concurrent use.
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
