// Package loop runs the single goroutine that owns all control state.
// Components of control state have no locks: their methods are only called
// from functions posted to the loop. Anything that waits (network, log) runs
// in goroutines of its own and posts its result.
package loop

import (
	"context"
	"sync/atomic"
	"time"
)

// mailboxSize is the number of posted functions that may wait.
const mailboxSize = 4096

// Loop is the control goroutine's mailbox.
type Loop struct {
	mail chan func(now time.Time)
	done chan struct{}
}

// New returns a Loop whose Run has not been called.
func New() *Loop {
	return &Loop{mail: make(chan func(now time.Time), mailboxSize), done: make(chan struct{})}
}

// Post queues f for the control goroutine. It blocks while the mailbox is
// full and drops f once the loop has ended. Never call it from the loop itself
// with a full mailbox; use the direct call instead.
func (l *Loop) Post(f func(now time.Time)) {
	select {
	case l.mail <- f:
	case <-l.done:
	}
}

// Do runs f on the control goroutine and waits for it. It returns ctx's error
// when ctx ends before f has begun; f does not run then.
func (l *Loop) Do(ctx context.Context, f func(now time.Time)) error {
	var taken atomic.Bool // by the loop, which runs f, or by a caller that gave up
	ran := make(chan struct{})
	l.Post(func(now time.Time) {
		if taken.CompareAndSwap(false, true) {
			f(now)
		}
		close(ran)
	})
	select {
	case <-ran:
		return nil
	case <-l.done:
		return l.abandoned(&taken, ran, context.Canceled)
	case <-ctx.Done():
		return l.abandoned(&taken, ran, ctx.Err())
	}
}

// abandoned gives up a function that has not begun, and otherwise waits for it.
func (l *Loop) abandoned(taken *atomic.Bool, ran <-chan struct{}, err error) error {
	if taken.CompareAndSwap(false, true) {
		return err
	}
	<-ran
	return nil
}

// Every posts f each period until ctx ends. A tick is skipped while an
// earlier one is still waiting.
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

// Run runs posted functions until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.done)
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-l.mail:
			f(time.Now())
		}
	}
}
