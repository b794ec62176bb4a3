// Package dispatch is the filter that sends a request to the upstreams picked for
// it, with retries and hedges, and relays the answer to the caller.
package dispatch

import (
	"context"
	"errors"
	"net/http"
	"time"

	"currantpulley/internal/event"
	"currantpulley/internal/pipe"
	"currantpulley/internal/refusal"
	"currantpulley/internal/upstream"
)

// cancelTimeout is the timeout for asking an engine to cancel a request.
const cancelTimeout = 2 * time.Second

// Budget limits the rate of further attempts, like a token bucket.
type Budget interface {
	// Deposit adds the given fraction of an attempt. It is called once per request, and
	// with a whole attempt for one that was allowed and not made.
	Deposit(share float64)
	// Allow takes one attempt from the budget and reports whether there was one.
	Allow() bool
}

// Options holds the dependencies of the filter.
type Options struct {
	Engine   upstream.Engine
	Service  *upstream.Service
	Retries  Budget
	Hedges   Budget
	Recorder event.Recorder
}

// Filter is the last filter of the pipe. It sends requests to upstreams.
type Filter struct{ Options }

// New returns a filter with the options o.
func New(o Options) *Filter { return &Filter{Options: o} }

// Request implements pipe.Filter. It sends the request and relays the answer.
func (f *Filter) Request(x *pipe.Exchange) error {
	if x.Picker == nil {
		return refusal.New(refusal.NoUpstream, "no upstream can take the request")
	}
	f.Retries.Deposit(x.Snap.Config.Retry.Budget)
	f.Hedges.Deposit(x.Snap.Config.Retry.HedgeBudget)
	if x.Route != nil {
		return f.call(x)
	}
	return f.generate(x)
}

// Response implements pipe.Filter.
func (f *Filter) Response(*pipe.Exchange) {}

func notifyStarted(x *pipe.Exchange, a *pipe.Attempt) {
	a.SentAt = time.Now()
	for _, o := range x.Observers {
		o.Started(a)
	}
}

func notifyFirstToken(x *pipe.Exchange, a *pipe.Attempt) {
	a.FirstTokenAt = time.Now()
	for _, o := range x.Observers {
		o.FirstToken(a)
	}
}

func notifyFinished(x *pipe.Exchange, a *pipe.Attempt, err error) {
	a.Err = err
	a.EndedAt = time.Now()
	for _, o := range x.Observers {
		o.Finished(a)
	}
}

// mayRetry reports whether another attempt may follow attempt number before ctx ends.
// If so, it takes one from the retry budget.
func (f *Filter) mayRetry(ctx context.Context, x *pipe.Exchange, number int) bool {
	return ctx.Err() == nil && number < x.Snap.Config.Retry.AttemptsMax && f.Retries.Allow()
}

// returnRetry gives a retry that was taken from the budget, if charged, back to it,
// since it is not made.
func (f *Filter) returnRetry(charged bool) {
	if charged {
		f.Retries.Deposit(1)
	}
}

// failureRefusal converts the error of the last attempt into a refusal. Its effect
// is not-run only when every attempt is known not to have run.
func failureRefusal(x *pipe.Exchange, err error) error {
	if x.Ctx.Err() != nil {
		return x.Ctx.Err()
	}
	code, message := refusal.UpstreamFailed, "no upstream answered in full"
	if errors.Is(err, errAnswerDeadline) {
		code, message = refusal.DeadlineExceeded, "no token came within the deadline"
	}
	r := refusal.NewUnknown(code, err, "%s", message)
	if noneRan(x.Attempts) {
		r.Effect = refusal.NotRun
	}
	return r
}

// noneRan reports whether all attempts are known not to have run. None may be in
// flight.
func noneRan(attempts []*pipe.Attempt) bool {
	for _, a := range attempts {
		if !a.NotRun {
			return false
		}
	}
	return true
}

// pickNext picks the upstream of the next attempt. When none is left, it returns
// the failure of the previous attempt, which tells the caller more.
func pickNext(ctx context.Context, x *pipe.Exchange, tried []string, lastErr error) (pipe.Choice, error) {
	c, err := x.Picker.Pick(ctx, x, tried)
	if err != nil && lastErr != nil {
		return c, failureRefusal(x, lastErr)
	}
	return c, err
}

func (f *Filter) record(id event.ID, a *pipe.Attempt, err error) {
	f.Recorder.Record(event.Event{ID: id, Request: a.Exchange.ID, Upstream: a.Choice.Upstream.Name, Step: "dispatch", Err: err})
}

func setAnswerHeader(x *pipe.Exchange, contentType string) {
	h := x.Writer.Header()
	h.Set("Content-Type", contentType)
	h.Set(upstream.HeaderRequestID, x.VisibleID())
}

// writeStatus sends the status line and the headers.
func writeStatus(x *pipe.Exchange, status int) {
	x.Answered = true
	x.Writer.WriteHeader(status)
}

// passThrough reports whether an engine's answer with this status is relayed
// unchanged, since another engine would give the same answer.
func passThrough(status int) bool {
	return status < http.StatusInternalServerError && status != http.StatusPreconditionFailed && !refusal.PromisesNotRun(status)
}
