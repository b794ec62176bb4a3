package calls

import (
	"context"
	"errors"
	"time"

	"currantpulley/internal/backing"
	"currantpulley/internal/event"
	"currantpulley/internal/logrecord"
)

// follow reads a stream and applies its records on the loop until ctx ends or
// a record can't be decoded. It retries after other errors.
func (c *Calls) follow(ctx context.Context, s *openStream) {
	defer c.Loop.Post(func(now time.Time) { s.rejectUnappended(now) })
	for ctx.Err() == nil {
		err := c.followOnce(ctx, s)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, logrecord.ErrBad) {
			c.Recorder.Record(event.Event{ID: event.CallStreamStopped, Detail: s.name, Err: err})
			c.postUpdate(s, func(now time.Time) { s.halt(now, err) })
			return
		}
		if !errors.Is(err, backing.ErrTrimmed) {
			c.postUpdate(s, s.readFailed)
		}
		if !sleep(ctx, readRetry) {
			return
		}
	}
}

// followOnce loads the stream if necessary, then reads and applies records
// until an error occurs.
func (c *Calls) followOnce(ctx context.Context, s *openStream) error {
	next, err := c.ensureLoaded(ctx, s)
	if err != nil {
		return err
	}
	for {
		contact := time.Now()
		records, err := c.readNext(ctx, s.name, next)
		if errors.Is(err, backing.ErrTrimmed) {
			c.postUpdate(s, func(now time.Time) { s.unload(now) })
		}
		if err != nil {
			return err
		}
		if len(records) >= readLimit {
			contact = time.Time{}
		}
		applied := c.Loop.Do(ctx, func(now time.Time) {
			err = s.applyRecords(now, records, contact)
			next = s.next
			c.drive(now, s)
		})
		if applied != nil {
			return applied
		}
		if err != nil {
			return err
		}
	}
}

func (c *Calls) readNext(ctx context.Context, name string, next uint64) ([]backing.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*readWait)
	defer cancel()
	return c.Log.Read(ctx, name, next, readLimit, readWait)
}

// ensureLoaded loads the stream if it is not loaded and returns the offset to
// read next. After an outage of the log, reading continues where it stopped.
func (c *Calls) ensureLoaded(ctx context.Context, s *openStream) (uint64, error) {
	var next uint64
	err := c.Loop.Do(ctx, func(time.Time) {
		if s.machine != nil {
			next = s.next
		}
	})
	if err != nil || next != 0 {
		return next, err
	}
	l, err := load(ctx, c.Log, s.name, time.Now(), retention(horizon(c.Config())))
	if err != nil {
		return 0, err
	}
	c.postUpdate(s, func(now time.Time) {
		s.load(now, l)
		c.Recorder.Record(event.Event{ID: event.CallStreamReady, Detail: s.name})
	})
	return l.next, nil
}

// sleep waits for d. It returns false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
