package calls

import (
	"context"
	"time"

	"currantpulley/internal/control/calls/callspb"
	"currantpulley/internal/event"
)

const (
	backgroundMax      = 4096 // queued voids and outcomes
	backgroundWorkers  = 256  // concurrent submissions of them
	backgroundRetryMin = 100 * time.Millisecond
	backgroundRetryMax = 5 * time.Second
	lateAfterAttempts  = 3 // failed attempts after which an entry is reported as late
)

// backgroundEntry is a void or an outcome that is not known to be in the log.
type backgroundEntry struct {
	stream    int
	startedAt time.Time // of the call
	entry     *callspb.Entry
}

// submitInBackground queues an entry for submission. If the queue is full, the
// entry is dropped: its key then stays in flight, and repeats of the call are
// refused because its outcome is unknown.
func (c *Calls) submitInBackground(u *backgroundEntry) {
	c.backgroundWork.Add(1)
	select {
	case c.background <- u:
	default:
		c.backgroundWork.Done()
		c.Recorder.Record(event.Event{ID: event.CallOutcomeLate, Detail: "dropped: the queue is full"})
	}
}

// Drain waits until no voids or outcomes are left to record. It is called after
// the last request ended. If ctx ends first, it returns ctx's error, and the
// keys of the remaining entries stay in flight.
func (c *Calls) Drain(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		c.backgroundWork.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// runBackground submits the queued entries until ctx ends.
func (c *Calls) runBackground(ctx context.Context) {
	slots := make(chan struct{}, backgroundWorkers)
	for {
		select {
		case <-ctx.Done():
			return
		case u := <-c.background:
			select {
			case slots <- struct{}{}:
			case <-ctx.Done():
				return
			}
			go func() {
				defer func() { <-slots }()
				defer c.backgroundWork.Done()
				c.submitWithRetry(ctx, u)
			}()
		}
	}
}

// submitWithRetry submits u until it was read back, ctx ends or the entry's
// retention is over. Duplicates are harmless: the first outcome of a nonce and
// any void of it are effective.
func (c *Calls) submitWithRetry(ctx context.Context, u *backgroundEntry) {
	pause := backgroundRetryMin
	horizon := min(time.Duration(u.entry.HorizonMs)*time.Millisecond, horizonMax)
	for tries := 1; elapsed(u.startedAt, time.Now()) < horizon; tries++ {
		if c.submitToAny(ctx, u) {
			return
		}
		if tries == lateAfterAttempts {
			c.Recorder.Record(event.Event{ID: event.CallOutcomeLate, Detail: u.entry.Kind.String()})
		}
		if !sleep(ctx, pause) {
			return
		}
		pause = min(2*pause, backgroundRetryMax)
	}
}

// submitToAny submits u to the candidates in order, until one has recorded it.
func (c *Calls) submitToAny(ctx context.Context, u *backgroundEntry) bool {
	for _, vm := range candidates(c.View().Live(), u.stream) {
		r := &callspb.SubmitRequest{Stream: uint32(u.stream), Entry: u.entry}
		reply, err := c.submitTo(ctx, vm, r)
		if err == nil && reply.Verdict == callspb.Verdict_VERDICT_FIRST {
			return true
		}
	}
	return false
}
