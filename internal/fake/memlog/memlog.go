// Package memlog is an in-process backing.Log for tests, with switches for
// the faults of the real one: outage, lost replies, retention and delay.
package memlog

import (
	"context"
	"fmt"
	"sync"
	"time"

	"currantpulley/internal/backing"
)

// Fault is what happens to one append.
type Fault uint8

// Faults of an append.
const (
	None       Fault = iota
	Refused          // not appended, ErrUnavailable
	LostBefore       // not appended, ErrUnknownOutcome
	LostAfter        // appended, ErrUnknownOutcome
)

type stream struct {
	first   uint64 // offset of records[0]
	records []backing.Record
}

func (s *stream) next() uint64 { return s.first + uint64(len(s.records)) }

// Log is an append-only log in memory. The zero value is not usable.
type Log struct {
	mu      sync.Mutex
	streams map[string]*stream
	changed chan struct{} // closed and replaced whenever something changes
	now     func() time.Time
	down    bool
	delay   time.Duration
	faults  []Fault
}

// New returns an empty Log whose records carry the time that now gives; nil
// means time.Now.
func New(now func() time.Time) *Log {
	if now == nil {
		now = time.Now
	}
	return &Log{streams: make(map[string]*stream), changed: make(chan struct{}), now: now}
}

var _ backing.Log = (*Log)(nil)

// SetDown begins or ends an outage: every call fails with ErrUnavailable.
func (l *Log) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
	l.wake()
}

// SetDelay makes each append take d before it has its effect.
func (l *Log) SetDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// Inject gives the next appends one fault each, in order.
func (l *Log) Inject(faults ...Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append(l.faults, faults...)
}

// Trim drops the records of name that are older than offset first.
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
	if err := l.wait(ctx); err != nil {
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
	l.wake()
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

func (l *Log) wait(ctx context.Context) error {
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

func (l *Log) takeFault() Fault {
	if len(l.faults) == 0 {
		return None
	}
	f := l.faults[0]
	l.faults = l.faults[1:]
	return f
}

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

func (l *Log) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{first: 1}
		l.streams[name] = s
	}
	return s
}

// wake lets every waiting read look again.
func (l *Log) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}
