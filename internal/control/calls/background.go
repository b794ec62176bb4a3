package calls

import (
	"context"
	"time"

	"currantpulley/internal/control/calls/callspb"
	"currantpulley/internal/event"
)

const (
	backgroundMax      = 4096 // voids and outcomes that wait for the log
	backgroundWorkers  = 256  // of them submitted at once
	backgroundRetryMin = 100 * time.Millisecond
	backgroundRetryMax = 5 * time.Second
	lateAfterAttempts  = 3 // attempts
)

// backgroundEntry is a void or an outcome that is not known to stand in the log.
type backgroundEntry struct {
	stream    int
	startedAt time.Time // of the call
	entry     *callspb.Entry
}

// submitInBackground hands an entry to the background. It is dropped when too many wait:
// its key then stays in flight, and repeats are told that nothing is known.
func (c *Calls) submitInBackground(u *backgroundEntry) {
	c.backgroundWork.Add(1)
	select {
	case c.background <- u:
	default:
		c.backgroundWork.Done()
		c.Recorder.Record(event.Event{ID: event.CallOutcomeLate, Detail: "dropped: too many wait"})
	}
}

// Drain waits until all voids and outcomes are recorded, after the last
// request ended. It returns ctx's error when ctx ends first: the keys of the
// rest stay in flight.
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

// runBackground submits voids and outcomes until ctx ends.
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

// submitWithRetry submits u until it was read back. A doubled entry does no harm:
// the first outcome and any void of a nonce stand.
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
