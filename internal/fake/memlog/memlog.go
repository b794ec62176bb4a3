// Package memlog is an in-memory backing.Log for tests. It can inject the faults
// of a real log: outages, lost replies, trimmed records and delays.
package memlog

import (
	"context"
	"fmt"
	"sync"
	"time"

	"currantpulley/internal/backing"
)

// Fault is the fault that is injected into one append.
type Fault uint8

// Faults of an append, and the error that it returns.
const (
	None       Fault = iota
	Refused          // not appended, ErrUnavailable
	LostBefore       // not appended, ErrUnknownOutcome
	LostAfter        // appended, ErrUnknownOutcome
)

// stream is one stream of records.
type stream struct {
	first   uint64 // offset of records[0]
	records []backing.Record
}

// next returns the offset of the next record.
func (s *stream) next() uint64 { return s.first + uint64(len(s.records)) }

// Log is an append-only log in memory. The zero value is not usable.
type Log struct {
	mu      sync.Mutex
	streams map[string]*stream
	changed chan struct{} // closed and replaced by every append, outage and recovery
	now     func() time.Time
	down    bool
	delay   time.Duration
	faults  []Fault
}

// New returns an empty Log. Records get their time from now; nil means time.Now.
func New(now func() time.Time) *Log {
	if now == nil {
		now = time.Now
	}
	return &Log{streams: make(map[string]*stream), changed: make(chan struct{}), now: now}
}

var _ backing.Log = (*Log)(nil)

// SetDown starts or ends an outage, in which every call fails with
// ErrUnavailable.
func (l *Log) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
	l.notify()
}

// SetDelay delays the effect of each append by d.
func (l *Log) SetDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// Inject queues faults: each of the next appends gets one, in order.
func (l *Log) Inject(faults ...Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append(l.faults, faults...)
}

// Trim deletes the records of the named stream below offset first.
func (l *Log) Trim(name string, first uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	if first <= s.first {
		return
	}
	first = min(first, s.next())
	s.records = append([]backing.Record(nil), s.records[first-s.first:]...)
	s.first = first
}

// Append implements backing.Log.
func (l *Log) Append(ctx context.Context, name string, data []byte) (uint64, error) {
	if err := l.waitDelay(ctx); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, backing.ErrUnavailable
	}
	fault := l.takeFault()
	switch fault {
	case Refused:
		return 0, backing.ErrUnavailable
	case LostBefore:
		return 0, backing.ErrUnknownOutcome
	}
	s := l.stream(name)
	offset := s.next()
	s.records = append(s.records, backing.Record{Offset: offset, At: l.now(), Data: append([]byte(nil), data...)})
	l.notify()
	if fault == LostAfter {
		return 0, backing.ErrUnknownOutcome
	}
	return offset, nil
}

// Read implements backing.Log.
func (l *Log) Read(ctx context.Context, name string, from uint64, limit int, wait time.Duration) ([]backing.Record, error) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		records, changed, err := l.read(name, from, limit)
		if err != nil || len(records) > 0 {
			return records, err
		}
		select {
		case <-changed:
		case <-deadline.C:
			return nil, nil
		case <-ctx.Done():
			return nil, fmt.Errorf("%w: %w", backing.ErrUnavailable, ctx.Err())
		}
	}
}

// Bounds implements backing.Log.
func (l *Log) Bounds(_ context.Context, name string) (first, next uint64, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, 0, backing.ErrUnavailable
	}
	s := l.stream(name)
	return s.first, s.next(), nil
}

// waitDelay waits for the delay of an append.
func (l *Log) waitDelay(ctx context.Context) error {
	l.mu.Lock()
	delay := l.delay
	l.mu.Unlock()
	if delay == 0 {
		return nil
	}
	select {
	case <-time.After(delay):
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", backing.ErrUnknownOutcome, ctx.Err())
	}
}

// takeFault removes and returns the next queued fault.
func (l *Log) takeFault() Fault {
	if len(l.faults) == 0 {
		return None
	}
	f := l.faults[0]
	l.faults = l.faults[1:]
	return f
}

// read returns up to limit records without waiting. If there are none yet, it
// returns a channel that is closed by the next change.
func (l *Log) read(name string, from uint64, limit int) ([]backing.Record, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, nil, backing.ErrUnavailable
	}
	s := l.stream(name)
	if from < s.first {
		return nil, nil, backing.ErrTrimmed
	}
	if from >= s.next() || limit <= 0 {
		return nil, l.changed, nil
	}
	records := s.records[from-s.first:]
	records = records[:min(limit, len(records))]
	return append([]backing.Record(nil), records...), nil, nil
}

// stream returns the named stream and creates it if needed.
func (l *Log) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{first: 1}
		l.streams[name] = s
	}
	return s
}

// notify makes every waiting read check the log again. The caller holds the
// lock.
func (l *Log) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}
