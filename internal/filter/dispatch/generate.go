package dispatch

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"currantpulley/internal/event"
	"currantpulley/internal/failure"
	"currantpulley/internal/pipe"
	"currantpulley/internal/upstream"
)

// errAnswerDeadline is the cancellation cause of an attempt whose answer did not
// begin by its answerDeadline.
var errAnswerDeadline = errors.New("the deadline for the first token passed")

// openedAttempt is an attempt whose answer has begun, or that failed before.
type openedAttempt struct {
	attempt    *pipe.Attempt
	response   *upstream.Response
	firstEvent upstream.Event // of a stream; already read
	cancel     context.CancelCauseFunc
	ctx        context.Context
	err        error
}

// generate runs a model request. It makes attempts until an answer begins and then
// relays that answer.
func (f *Filter) generate(x *pipe.Exchange) error {
	var tried []string
	var lastErr error
	var stale staleRetry
	charged := false // a retry was taken from the budget and not made yet
	for number := 1; ; number++ {
		choice, err := pickNext(x.Ctx, x, tried, lastErr)
		if err != nil {
			if stale.wait(x) {
				tried = nil
				continue
			}
			f.returnRetry(charged)
			return err
		}
		firstIndex := len(x.Attempts)
		o := f.race(x, choice, tried, number)
		if o.err == nil {
			return f.relay(x, o)
		}
		failed := x.Attempts[firstIndex:]
		for _, a := range failed {
			tried = append(tried, a.Choice.Upstream.Name)
		}
		lastErr = o.err
		if stale.observe(lastErr, failed) {
			continue
		}
		charged = !errors.Is(lastErr, errAnswerDeadline) && f.mayRetry(x.Ctx, x, number)
		if !charged {
			return failureRefusal(x, lastErr)
		}
		f.record(event.AttemptRetried, o.attempt, lastErr)
	}
}

// race starts an attempt at choice. When no answer begins within
// choice.HedgeAfter, it starts a hedged second attempt. The attempt that begins
// its answer first wins and the other is cancelled.
func (f *Filter) race(x *pipe.Exchange, choice pipe.Choice, tried []string, number int) *openedAttempt {
	results := make(chan *openedAttempt, 2)
	first := f.launch(x, choice, number, false, results)
	if choice.HedgeAfter <= 0 {
		return <-results
	}
	timer := time.NewTimer(choice.HedgeAfter)
	defer timer.Stop()
	select {
	case o := <-results:
		return o
	case <-timer.C:
	}
	second := f.hedge(x, append(tried, choice.Upstream.Name), number, results)
	o := <-results
	if second == nil {
		return o
	}
	if o.err != nil {
		return <-results
	}
	loser := first
	if o.attempt == first.attempt {
		loser = second
	}
	loser.cancel(context.Canceled)
	go f.discardLoser(x, results)
	return o
}

// hedge launches a second attempt if the budget and the picker allow it, and
// returns nil otherwise.
func (f *Filter) hedge(x *pipe.Exchange, tried []string, number int, results chan *openedAttempt) *openedAttempt {
	if !f.Hedges.Allow() {
		return nil
	}
	ctx, cancel := context.WithTimeout(x.Ctx, hedgePickTimeout)
	defer cancel()
	choice, err := x.Picker.Pick(ctx, x, tried)
	if err != nil {
		f.Hedges.Deposit(1) // the hedge that was allowed is not made
		return nil
	}
	o := f.launch(x, choice, number, true, results)
	f.record(event.AttemptHedged, o.attempt, nil)
	return o
}

// hedgePickTimeout bounds the pick of a hedge, so that a hedge never queues for
// capacity.
const hedgePickTimeout = time.Millisecond

// discardLoser waits for the losing attempt of a race, closes its answer and
// cancels it at its engine.
func (f *Filter) discardLoser(x *pipe.Exchange, results chan *openedAttempt) {
	o := <-results
	if o.err == nil {
		o.response.Close()
		notifyFinished(x, o.attempt, context.Canceled)
	}
	f.cancelAtEngine(o.attempt)
}

// cancelAtEngine asks the engine to cancel a request whose answer is no longer
// needed. Errors are ignored.
func (f *Filter) cancelAtEngine(a *pipe.Attempt) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = f.Engine.Cancel(ctx, a.Choice.Upstream.Address, a.RequestID)
}

// launch starts an attempt and sends it on results once its answer has begun or it
// has failed.
func (f *Filter) launch(x *pipe.Exchange, choice pipe.Choice, number int, hedge bool, results chan *openedAttempt) *openedAttempt {
	a := &pipe.Attempt{Exchange: x, Choice: choice, Number: number, Hedge: hedge, RequestID: attemptID(x, number, hedge)}
	x.Attempts = append(x.Attempts, a)
	ctx, cancel := context.WithCancelCause(x.Ctx)
	o := &openedAttempt{attempt: a, ctx: ctx, cancel: cancel}
	x.Sent = true
	notifyStarted(x, a)
	go func() {
		f.openAttempt(x, o)
		results <- o
	}()
	return o
}

// answerDeadline returns the time by which the answer must begin. An answer that is
// not a stream begins only after its last token, so the deadline for the first
// token does not apply to it and Caller.DeadlineMax does.
func answerDeadline(x *pipe.Exchange) time.Time {
	if x.Prompt.Stream {
		return x.Deadline
	}
	return x.Arrived.Add(x.Snap.Config.Caller.DeadlineMax.Std())
}

// openAttempt sends the request and waits until its answer begins. It sets o.err
// when the attempt fails.
func (f *Filter) openAttempt(x *pipe.Exchange, o *openedAttempt) {
	timer := time.AfterFunc(time.Until(answerDeadline(x)), func() { o.cancel(errAnswerDeadline) })
	defer timer.Stop()
	o.err = f.awaitAnswer(x, o)
	if o.err == nil {
		if o.response.Events != nil {
			notifyFirstToken(x, o.attempt)
		}
		return
	}
	if cause := context.Cause(o.ctx); cause != nil {
		o.err = cause
		go f.cancelAtEngine(o.attempt)
	}
	if o.response != nil {
		o.response.Close()
	}
	o.cancel(o.err)
	o.err = failure.At("open answer", o.attempt.Choice.Upstream.Name, o.err)
	notifyFinished(x, o.attempt, o.err)
	if x.Ctx.Err() == nil && !errors.Is(o.err, context.Canceled) {
		f.record(event.AttemptFailed, o.attempt, o.err)
	}
}

// awaitAnswer sends the request and returns when the answer has begun: after the
// first event of a stream, or after the header of any other answer.
func (f *Filter) awaitAnswer(x *pipe.Exchange, o *openedAttempt) error {
	a := o.attempt
	response, err := f.Engine.Open(upstream.WithRoom(o.ctx, roomOf(x.Writer)), a.Choice.Upstream.Address, upstream.Request{
		ID:       a.RequestID,
		Path:     x.Path,
		Body:     x.Body,
		Salt:     x.Workspace.Name,
		Weights:  cmp.Or(a.Choice.Weights, x.Model.Weights),
		Priority: a.Choice.Priority,
	})
	if err != nil {
		a.NotRun = !upstream.Sent(err)
		return err
	}
	o.response = response
	a.Incarnation, a.Weights, a.Load = response.Incarnation, response.Weights, response.Load
	a.NotRun = response.NotRun
	if response.Status == http.StatusPreconditionFailed && response.NotRun {
		return fmt.Errorf("%w: engine has weights %q, expected %q", upstream.ErrWrongWeights, response.Weights, a.Choice.Weights)
	}
	if response.Status != http.StatusOK && !passThrough(response.Status) {
		return &upstream.StatusError{Status: response.Status, Message: "refused by the engine"}
	}
	if response.Events == nil {
		return nil
	}
	o.firstEvent, err = response.Events.Next()
	return err
}
