package feed

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"currantpulley/internal/freshness"
)

// Record is a record of a topic.
type Record struct {
	Data []byte
	// Since is the earliest instant at which the record may have been written, and
	// Awaited whether it was not written later either.
	Since   freshness.Instant
	Awaited bool
}

// Batch holds consecutive records of a topic.
type Batch struct {
	Era     uint64 // of the provider; rises when it is restored from a copy
	From    int64  // offset of the first record
	Records []Record
	// Proved is the instant before which all records were written that the reader has
	// applied; 0: not known. Whoever has applied as many has them all too.
	Proved   freshness.Instant
	Regained freshness.Instant // when the reader last regained the provider; 0: never lost
}

// maxTailBytes bounds the records that are kept for other daemons. These ask again
// within a second or two.
const maxTailBytes = 512 << 10

// Reasons for which a daemon doesn't serve a topic.
var (
	errUnread  = errors.New("the topic was not read yet")
	errFed     = errors.New("this daemon doesn't read the topic from the provider")
	errNoProof = errors.New("the reader has no proof that it has read all records")
)

// tail holds the last records that this daemon has read from the provider. It is safe
// for concurrent use.
type tail struct {
	mu       sync.Mutex
	lost     error // why the topic isn't served; nil: it is
	era      uint64
	first    int64 // offset of the first record
	records  []Record
	bytes    int // of records
	proved   freshness.Instant
	regained freshness.Instant
	changed  chan struct{} // closed when anything but proved changes
}

func newTail() *tail { return &tail{lost: errUnread, changed: make(chan struct{})} }

// reset drops all records: the next one has the offset next.
func (t *tail) reset(era uint64, next int64, proved freshness.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.clear(era, next)
	t.proved, t.lost = proved, nil
	t.notify()
}

// clear drops all records. t.mu is held.
func (t *tail) clear(era uint64, next int64) {
	t.era, t.first, t.records, t.bytes = era, next, nil, 0
}

// add appends the records of b, and drops the oldest ones when there are too many.
func (t *tail) add(b Batch) {
	t.mu.Lock()
	defer t.mu.Unlock()
	wasLost := t.lost != nil
	if b.Era != t.era || b.From != t.next() {
		t.clear(b.Era, b.From)
	}
	t.records = append(t.records, b.Records...)
	for _, r := range b.Records {
		t.bytes += len(r.Data)
	}
	for t.bytes > maxTailBytes {
		t.bytes -= len(t.records[0].Data)
		t.records, t.first = t.records[1:], t.first+1
	}
	t.proved, t.regained, t.lost = b.Proved, b.Regained, nil
	if wasLost || len(b.Records) > 0 {
		t.notify()
	}
}

// lose ends the service of the topic until records are added.
func (t *tail) lose(cause error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lost == nil {
		t.notify()
	}
	t.lost = cause
}

// notify wakes all that await a change. t.mu is held.
func (t *tail) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// next returns the offset after the last record. t.mu is held.
func (t *tail) next() int64 { return t.first + int64(len(t.records)) }

// after returns the records from an offset on. If the provider was restored since era,
// there are none. It returns an error if the topic isn't served, if the records were
// dropped, or if era is newer than what this daemon has read.
func (t *tail) after(era uint64, from int64) (Batch, <-chan struct{}, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := Batch{Era: t.era, From: from, Proved: t.proved, Regained: t.regained}
	switch {
	case t.lost != nil:
		return Batch{}, nil, t.lost
	case era > t.era:
		return Batch{}, nil, fmt.Errorf("era %d was not read yet, only %d", era, t.era)
	case era < t.era:
		return b, t.changed, nil
	case from < t.first:
		return Batch{}, nil, fmt.Errorf("records from offset %d on are no longer held, only from %d", from, t.first)
	}
	if from < t.next() {
		b.Records = append(b.Records, t.records[from-t.first:]...)
	}
	return b, t.changed, nil
}

// await is like after, but waits up to wait for a record, a restore or an error.
func (t *tail) await(ctx context.Context, era uint64, from int64, wait time.Duration) (Batch, error) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		b, changed, err := t.after(era, from)
		if err != nil || b.Era != era || len(b.Records) > 0 {
			return b, err
		}
		select {
		case <-changed:
		case <-timeout.C:
			b, _, err := t.after(era, from)
			return b, err
		case <-ctx.Done():
			return Batch{}, ctx.Err()
		}
	}
}
