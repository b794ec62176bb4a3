package origins

import (
	"context"
	"errors"
	"sync"
	"time"

	"currantpulley/internal/catalog"
	"currantpulley/internal/freshness"
)

const (
	// collectTime is the time for which builds of streams are collected before they are
	// appended, so that the calls to the store don't grow with the number of daemons.
	collectTime = 250 * time.Millisecond
	// collectedMax bounds the builds of streams that wait for the store.
	collectedMax = 1 << 17
	// savedMax bounds each generation of the table of saved streams.
	savedMax = 1 << 17
	// readPause is the least time between two reads of the end of the log.
	readPause = 250 * time.Millisecond
)

// streamLog writes and reads the builds of streams in a StreamStore. Of all daemons one
// does so for the others, see writer. It is safe for concurrent use.
type streamLog struct {
	store StreamStore
	saved table // builds that are known to be in the store

	appending  sync.Mutex // held during an append
	mu         sync.Mutex
	collecting *collected // what the next append adds; nil: nothing

	reading chan struct{} // holds one value while no read is in progress
	next    Position      // of the next read; reading is held
	readAt  freshness.Instant
}

// collected holds builds of streams that are appended together.
type collected struct {
	streams []StreamBuild
	done    chan struct{} // closed after the append
	err     error         // of the append
}

// newStreamLog returns the streamLog of a store.
func newStreamLog(store StreamStore) *streamLog {
	l := &streamLog{store: store, saved: table{max: savedMax}, reading: make(chan struct{}, 1)}
	l.reading <- struct{}{}
	return l
}

// errTooManyStreams is the error of a save while the store takes builds too slowly.
var errTooManyStreams = errors.New("too many streams wait to be saved")

// save adds builds of streams to the store, together with those of other callers, and
// returns once they are there.
func (l *streamLog) save(ctx context.Context, streams []StreamBuild) error {
	c, err := l.collect(streams)
	if err != nil {
		return err
	}
	select {
	case <-c.done:
		return c.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// collect adds builds of streams to the next append.
func (l *streamLog) collect(streams []StreamBuild) (*collected, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.collecting == nil {
		l.collecting = &collected{done: make(chan struct{})}
		time.AfterFunc(collectTime, l.appendCollected)
	}
	c := l.collecting
	if len(c.streams)+len(streams) > collectedMax {
		return nil, errTooManyStreams
	}
	c.streams = append(c.streams, streams...)
	return c, nil
}

// appendCollected appends what was collected to the store.
func (l *streamLog) appendCollected() {
	l.appending.Lock()
	defer l.appending.Unlock()
	l.mu.Lock()
	c := l.collecting
	l.collecting = nil
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if c.err = l.store.Append(ctx, c.streams); c.err == nil {
		l.note(c.streams)
	}
	close(c.done)
}

// note remembers builds of streams that are in the store.
func (l *streamLog) note(streams []StreamBuild) {
	now := time.Now()
	for _, s := range streams {
		l.saved.put(s.Stream, s.Build, now)
	}
}

// find returns the build that the store has for a stream; 0: it has none.
func (l *streamLog) find(ctx context.Context, stream uint64) (catalog.Build, error) {
	if b := l.saved.get(stream); b != 0 {
		return b, nil
	}
	err := l.readSince(ctx, freshness.Now())
	return l.saved.get(stream), err
}

// readSince makes sure that all that was in the store at an instant has been read. Calls
// that wait for each other share a read.
func (l *streamLog) readSince(ctx context.Context, at freshness.Instant) error {
	select {
	case <-l.reading:
		defer func() { l.reading <- struct{}{} }()
	case <-ctx.Done():
		return ctx.Err()
	}
	if l.readAt >= at {
		return nil
	}
	if l.readAt != 0 {
		if err := sleepUntil(ctx, l.readAt.Add(readPause)); err != nil {
			return err
		}
	}
	began := freshness.Now()
	if err := l.readToEnd(ctx); err != nil {
		return err
	}
	l.readAt = began
	return nil
}

// sleepUntil returns at an instant, or earlier with an error when ctx ends.
func sleepUntil(ctx context.Context, at freshness.Instant) error {
	timer := time.NewTimer(at.Sub(freshness.Now()))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// readToEnd reads what was added to the store since the last read. l.reading is held.
func (l *streamLog) readToEnd(ctx context.Context) error {
	for {
		page, err := l.store.Read(ctx, l.next)
		if err != nil {
			return err
		}
		l.note(page.Streams)
		l.next = page.Next
		if !page.More {
			return nil
		}
	}
}
