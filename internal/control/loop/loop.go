// Package loop runs the control goroutine, the single goroutine that owns all
// control state. Components that hold control state have no locks: their methods
// are only called from functions posted to the loop. Blocking work, such as calls
// over the network or to the log, runs in its own goroutines, which post their
// results.
package loop

import (
	"context"
	"sync/atomic"
	"time"
)

// queueSize is the maximum number of posted functions that wait to run.
const queueSize = 4096

// Loop runs posted functions one after the other on the control goroutine.
type Loop struct {
	tasks   chan func(now time.Time)
	stopped chan struct{}
}

// New returns a Loop. Posted functions wait until Run is called.
func New() *Loop {
	return &Loop{tasks: make(chan func(now time.Time), queueSize), stopped: make(chan struct{})}
}

// Post queues f for the control goroutine. It blocks while the queue is full, and
// drops f once the loop has stopped. It must not be called on the control
// goroutine, which would deadlock if the queue is full; call f directly there.
func (l *Loop) Post(f func(now time.Time)) {
	select {
	case l.tasks <- f:
	case <-l.stopped:
	}
}

// Do runs f on the control goroutine and waits until it returns. If ctx ends or
// the loop stops before f has begun, f doesn't run: Do then returns ctx's error or
// context.Canceled.
func (l *Loop) Do(ctx context.Context, f func(now time.Time)) error {
	var claimed atomic.Bool // set by the loop when it runs f, or by the caller when it gives up
	ran := make(chan struct{})
	l.Post(func(now time.Time) {
		if claimed.CompareAndSwap(false, true) {
			f(now)
		}
		close(ran)
	})
	select {
	case <-ran:
		return nil
	case <-l.stopped:
		return l.abandonOrWait(&claimed, ran, context.Canceled)
	case <-ctx.Done():
		return l.abandonOrWait(&claimed, ran, ctx.Err())
	}
}

// abandonOrWait returns err and prevents a function from running if it has not
// begun. Otherwise it waits until the function returns.
func (l *Loop) abandonOrWait(claimed *atomic.Bool, ran <-chan struct{}, err error) error {
	if claimed.CompareAndSwap(false, true) {
		return err
	}
	<-ran
	return nil
}

// Every runs f on the control goroutine once per period, until ctx ends or the
// loop stops. It returns immediately. Ticks are skipped while an earlier one is
// waiting or running.
func (l *Loop) Every(ctx context.Context, period time.Duration, f func(now time.Time)) {
	go func() {
		t := time.NewTicker(period)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
				if l.Do(ctx, f) != nil {
					return
				}
			}
		}
	}()
}

// Run runs posted functions until ctx ends. It must be called once.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.stopped)
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-l.tasks:
			f(time.Now())
		}
	}
}
