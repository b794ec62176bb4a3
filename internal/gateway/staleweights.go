package gateway

import (
	"context"
	"fmt"
	"sync"
	"time"

	"currantpulley/internal/balance"
	"currantpulley/internal/event"
	"currantpulley/internal/freshness"
)

// weightsWatch limits how long an attempt waits in an engine whose weights were
// replaced. It cancels the attempt at Options.StaleWeightsCut after the
// announcement of the first newer version, unless stop is called before.
type weightsWatch struct {
	gateway   *Gateway
	request   string // id
	model     string
	pick      *balance.Pick
	startedAt time.Time
	cancel    context.CancelCauseFunc // of the attempt

	mu      sync.Mutex
	timer   *time.Timer // nil until the first check
	stopped bool
	cut     error // why the attempt may not wait any longer; nil: it may, or its answer began
}

// staleWeightsError is the reason why an attempt may not wait any longer.
type staleWeightsError struct {
	version  uint64        // of the engine's weights
	age      time.Duration // since the announcement of the first newer version
	waited   time.Duration // since the request was sent
	expected time.Duration // wait until the first byte
}

// Error implements error.
func (e *staleWeightsError) Error() string {
	return fmt.Sprintf("the answer did not begin and the engine's weights are too old: weights %d, age %v, waited %v, expected %v",
		e.version, e.age.Round(time.Millisecond), e.waited.Round(time.Millisecond), e.expected.Round(time.Millisecond))
}

// watchWeights returns the context for sending a, and starts to watch the age of
// the engine's weights. It returns an error if they are too old already. Only
// attempts at engines have an expected version and are watched.
func (g *Gateway) watchWeights(q *request, a *attempt) (context.Context, error) {
	if g.opts.StaleWeightsCut <= 0 || a.pick.Version == 0 {
		return q.ctx, nil
	}
	ctx, cancel := context.WithCancelCause(q.ctx)
	a.watch = &weightsWatch{
		gateway: g, request: q.ID, model: q.Prompt.Model, pick: a.pick, startedAt: freshness.Time(), cancel: cancel,
	}
	return ctx, a.watch.check()
}

// check arms the timer for the next check. It returns an error if the attempt may
// not wait any longer.
func (w *weightsWatch) check() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return nil
	}
	delay, err := w.untilNext(freshness.Time())
	switch {
	case err != nil:
		w.stopped, w.cut = true, err
	case w.timer == nil:
		w.timer = time.AfterFunc(delay, w.fire)
	default:
		w.timer.Reset(delay)
	}
	return err
}

// fire checks the weights again and cancels the attempt if it may not wait any
// longer.
func (w *weightsWatch) fire() {
	err := w.check()
	if err == nil {
		return
	}
	w.gateway.opts.Recorder.Record(event.Event{
		ID: event.AttemptWithdrawn, Request: w.request, Upstream: w.pick.Upstream.ID, Step: "wait", Detail: err.Error(),
	})
	w.cancel(err)
}

// stop ends the watch because the answer began or the attempt ended. It returns
// the reason if the attempt was cancelled before. It may be called repeatedly,
// and on a nil watch.
func (w *weightsWatch) stop() error {
	if w == nil {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.stopped = true
		w.timer.Stop()
	}
	return w.cut
}

// untilNext returns the time until the next check, or an error if the weights are
// too old. The age is taken anew at each check, because timers don't count the
// time in suspend.
func (w *weightsWatch) untilNext(now time.Time) (time.Duration, error) {
	opts := &w.gateway.opts
	age, behind := opts.Watcher.Load().Weights[w.model].Behind(w.pick.Version, now)
	delay := untilTooOld(age, behind, opts.StaleWeightsCut)
	if delay > 0 {
		return delay, nil
	}
	return 0, &staleWeightsError{version: w.pick.Version, age: age, waited: now.Sub(w.startedAt), expected: w.pick.Wait}
}

// recheckShare is the share of the limit after which weights that are not behind
// are checked again: a newer version may be announced and not known here yet.
const recheckShare = 0.5

// untilTooOld returns the time until the next check of an engine's weights; 0 or
// less: they are older than limit allows.
func untilTooOld(age time.Duration, behind bool, limit time.Duration) time.Duration {
	if !behind {
		return time.Duration(recheckShare * float64(limit))
	}
	return limit - age
}
