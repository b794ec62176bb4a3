package publish

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"currantpulley/internal/backing"
	"currantpulley/internal/event"
)

const (
	readLimit   = 64                     // records per read
	readWait    = 500 * time.Millisecond // must stay well below the shortest publish.detach
	readTimeout = 10 * time.Second       // for one read
	readRetry   = 300 * time.Millisecond // mean delay after a failure
)

// tail reads the configuration stream as it grows and passes its records to the
// machine.
type tail struct {
	p      *Publisher
	stream string
	from   uint64 // offset of the next record to read; 0: the first retained record
	failed bool   // whether the last read failed
}

// run reads until ctx ends. It retries failed reads.
func (t *tail) run(ctx context.Context) error {
	for ctx.Err() == nil {
		err := t.step(ctx)
		if ctx.Err() != nil {
			return nil
		}
		t.recordAvailability(err)
		if err != nil && !sleep(ctx, readRetry/2+rand.N(readRetry)) {
			return nil
		}
	}
	return nil
}

// recordAvailability records an event when the log becomes unavailable or
// available again.
func (t *tail) recordAvailability(err error) {
	if (err != nil) == t.failed {
		return
	}
	t.failed = err != nil
	id := event.ConfigLogAvailable
	if t.failed {
		id = event.ConfigLogUnavailable
	}
	t.p.opts.Recorder.Record(event.Event{ID: id, Step: "read configuration stream", Err: err})
}

// step reads one batch of records.
func (t *tail) step(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if t.from == 0 {
		return t.seekToFirst(ctx)
	}
	sent := time.Now()
	records, err := t.p.opts.Log.Read(ctx, t.stream, t.from, readLimit, readWait)
	if errors.Is(err, backing.ErrTrimmed) {
		return t.seekToFirst(ctx)
	}
	if err != nil {
		return err
	}
	entries := make([]entry, 0, len(records))
	for _, r := range records {
		entries = append(entries, newEntry(r))
		t.from = max(t.from, r.Offset+1)
	}
	return t.p.do(ctx, func(now time.Time, m *Machine) { m.LogRead(now, sent, entries, len(records) < readLimit) })
}

// seekToFirst moves to the first retained record, but never backwards.
func (t *tail) seekToFirst(ctx context.Context) error {
	first, _, err := t.p.opts.Log.Bounds(ctx, t.stream)
	if err != nil {
		return err
	}
	t.from = max(t.from, first, 1)
	return t.p.do(ctx, func(_ time.Time, m *Machine) { m.LogStartsAt(t.from) })
}

// newEntry decodes a record of the log.
func newEntry(r backing.Record) entry {
	record, err := decodeRecord(r.Data)
	return entry{offset: r.Offset, at: r.At, record: record, err: err}
}
