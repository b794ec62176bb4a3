// Package follow follows a keyed topic of a store: it reads its records with long polls,
// or gets them from another daemon, and proves up to when all of them were read.
package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"currantpulley/internal/control/feed"
	"currantpulley/internal/freshness"
)

const (
	// proofMargin is subtracted from the time that an empty long poll proves, since
	// the store's clock may run slightly faster.
	proofMargin = 50 * time.Millisecond
	// waitSpread is the ratio of the longest wait of a read to the shortest.
	waitSpread = 3
	// servingRatio is the ratio of the waits of other daemons to those of one that reads
	// for others, whose records and proofs reach these a little later.
	servingRatio = 2
	// regainedApart is the least time between two returns of the store that count as
	// different ones.
	regainedApart = time.Second
	// regainedFor is the time for which the return of the store matters to a daemon that
	// another one reads for.
	regainedFor = 2 * time.Second
	retryMin    = 150 * time.Millisecond // first backoff after a failed poll
	retryMax    = time.Second            // longest backoff
	// rewriteTime is the time after a restore of the store within which lost records
	// are written again. Until then nothing proves that the newest ones were read.
	rewriteTime = time.Second
	// offsetBits is the number of bits of a position that hold the offset. The era of
	// the store is above them.
	offsetBits = 44
)

// Errors of a Source, tested with errors.Is.
var (
	// ErrTrimmed: the requested records were trimmed.
	ErrTrimmed = errors.New("the requested records were trimmed")
	// ErrMalformed: a response or a record does not follow the protocol.
	ErrMalformed = errors.New("the store's response is malformed")
)

// Record is one entry of a topic.
type Record struct {
	Offset int64
	Data   []byte
}

// Batch holds consecutive records of a topic.
type Batch struct {
	Era     uint64 // of the store
	Records []Record
	End     int64 // offset of the next record to be appended
	First   int64 // oldest offset retained
}

// Item is a record of a keyed topic. An item without a value is a tombstone: it
// deletes the key.
type Item struct {
	Key    string
	Value  []byte
	Offset int64
	// Since is the earliest instant at which the record may have been written, and
	// Awaited whether the read waited for it, so that it was not written later either.
	// Both are set by a Follower.
	Since   freshness.Instant
	Awaited bool
}

// Newest holds the newest record of each key of a keyed topic.
type Newest struct {
	Items []Item
	End   int64  // offset to continue reading from; records from there on may be among Items
	Era   uint64 // of the store
}

// Source is a keyed topic in the store.
type Source interface {
	// Read returns the records from an offset on. If there are none, it waits for the
	// first one for up to wait. It returns ErrTrimmed if from is no longer retained.
	Read(ctx context.Context, from int64, wait time.Duration) (Batch, error)
	// Newest returns the newest record of each key.
	Newest(ctx context.Context) (Newest, error)
	// Decode splits a record into key and value.
	Decode(r Record) (Item, error)
	// Reconnect makes the next call use a new connection.
	Reconnect()
}

// Sink receives the records of a keyed topic in order from a Follower, which calls
// its methods from one goroutine.
type Sink interface {
	// Reset replaces the state of the sink with the newest record of each key. Keys
	// that are not among items don't exist any more.
	Reset(items []Item)
	// Apply applies one more record.
	Apply(item Item)
	// Skipped reports a record that can't be decoded.
	Skipped(offset int64, err error)
	// Restored reports that the store was restored from a copy. Reset follows, with
	// records that may be older than those that were applied, and without some that
	// will be written again.
	Restored()
	// Proved reports that all records written before at were applied; position grows
	// with the offset after the last one and with each restore of the store.
	Proved(position int64, at freshness.Instant)
	// PollDone is called after each poll of the store, with nil if it succeeded. It is
	// not called after an interrupted poll.
	PollDone(err error)
}

// Options configures a Follower.
type Options struct {
	Topic string
	Wait  time.Duration // maximum wait of a read for a record
	// Pause is the wait after a read that returned records, so that records that are
	// written in quick succession are read by one call.
	Pause time.Duration
	// Feed delivers the records that other daemons read, and serves them what this one
	// reads; nil: this daemon reads for itself only.
	Feed *feed.Topic
}

// Follower reads a keyed topic with long polls and passes its records to a sink.
type Follower struct {
	Options
	source     Source
	sink       Sink
	next       int64             // offset to read from; -1: read the newest record of each key first
	era        uint64            // of the store, in which next is valid
	hasEra     bool              // era was received
	restoredAt freshness.Instant // when a new era was first seen; 0: never
	proved     freshness.Instant // latest instant reported to Sink.Proved
	pauses     *freshness.Pauses // of the process, unlike Options.Pause
	interrupts chan struct{}
	direct     atomic.Bool       // the next poll reads from the store
	lastFailed bool              // the last poll failed
	regainedAt freshness.Instant // when a poll last succeeded after a failed one; 0: never
	prover     prover
}

// New returns a follower of a source, which reads once Run is called.
func New(source Source, o Options, sink Sink) *Follower {
	f := &Follower{Options: o, source: source, sink: sink, next: -1, interrupts: make(chan struct{}, 1)}
	f.prover.turn = make(chan struct{}, 1)
	f.prover.turn <- struct{}{}
	return f
}

// noteApplied tells callers of Prove what was applied.
func (f *Follower) noteApplied() {
	f.prover.applied.Store(&applied{era: f.era, next: f.next, restoredAt: f.restoredAt})
}

// Interrupt cancels the pending read and starts a new one on a new connection. It is
// called when newer records are known to exist, which a read on a connection that
// hangs doesn't return, or a daemon that reads for this one. It is safe for concurrent use.
func (f *Follower) Interrupt() {
	f.Feed.Distrust()
	f.interrupt()
}

// interrupt makes the follower read from the store now.
func (f *Follower) interrupt() {
	f.direct.Store(true)
	select {
	case f.interrupts <- struct{}{}:
	default:
	}
}

// Run follows the topic until ctx ends. It retries failed calls with exponential
// backoff and jitter.
func (f *Follower) Run(ctx context.Context) {
	f.pauses = freshness.WatchPauses(ctx)
	wait := retryMin
	for ctx.Err() == nil {
		err := f.interruptible(ctx, f.poll)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errInterrupted) {
			f.direct.Store(true)
			f.source.Reconnect()
			continue
		}
		f.sink.PollDone(err)
		f.lastFailed = err != nil
		if err != nil {
			f.Feed.Lose(err)
		}
		if err == nil {
			wait = retryMin
			continue
		}
		sleep(ctx, wait/2+rand.N(wait))
		wait = min(2*wait, retryMax)
	}
}

// errInterrupted is the cause of a cancelled poll after a call of Interrupt.
var errInterrupted = errors.New("interrupted: newer records exist")

// interruptible runs poll until it ends or Interrupt is called.
func (f *Follower) interruptible(ctx context.Context, poll func(context.Context) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-f.interrupts:
			cancel(errInterrupted)
		case <-done:
		}
	}()
	err := poll(ctx)
	if err != nil && errors.Is(context.Cause(ctx), errInterrupted) {
		return errInterrupted
	}
	return err
}

// poll reads from the store once and applies the records that it returns.
func (f *Follower) poll(ctx context.Context) error {
	if f.next < 0 {
		return f.reset(ctx)
	}
	if !f.direct.Swap(false) {
		if batch, ok := f.Feed.Read(ctx, f.era, f.next); ok {
			f.applyFed(batch)
			return nil
		}
	}
	longest, pause := f.Wait, f.Pause
	if f.Feed.Serves() {
		longest, pause = longest/servingRatio, pause/servingRatio
	}
	sent := freshness.Now()
	// The wait is random, since the reads of daemons that returned together with a
	// record would otherwise also time out together.
	wait := longest/waitSpread + rand.N(longest-longest/waitSpread)
	if f.lastFailed {
		wait = 0 // only checks whether the store is reachable again
	}
	batch, err := f.source.Read(ctx, f.next, wait)
	if errors.Is(err, ErrTrimmed) {
		f.next = -1
		return nil
	}
	if errors.Is(err, ErrMalformed) {
		f.next = -1 // the store may not have this offset any more
	}
	if err != nil {
		return err
	}
	if batch.Era != f.era {
		f.next = -1 // the offset may belong to another record now
		return nil
	}
	f.applyRead(batch, sent, wait)
	if len(batch.Records) > 0 {
		sleep(ctx, pause)
	}
	return nil
}

// applyRead applies what a read from the store returned, which was sent at the given instant
// and could wait, and serves it to others.
func (f *Follower) applyRead(batch Batch, sent freshness.Instant, wait time.Duration) {
	received := freshness.Now()
	if f.lastFailed {
		f.regainedAt = received
	}
	since := f.writtenSince(sent, received)
	served := feed.Batch{Era: f.era, From: f.next, Regained: f.regainedAt}
	for _, r := range batch.Records {
		f.apply(r, since, since == received)
		served.Records = append(served.Records, feed.Record{Data: r.Data, Since: since, Awaited: since == received})
	}
	f.next += int64(len(batch.Records))
	f.noteApplied()
	if f.next >= batch.End {
		f.setProved(provedUntil(sent, received, wait, len(batch.Records) == 0))
	}
	served.Proved = f.provedInEra()
	f.Feed.Add(served)
}

// errRegained: the daemon that read for this one had lost the store.
var errRegained = errors.New("the store was away from the daemon that reads for this one")

// applyFed applies what another daemon has read.
func (f *Follower) applyFed(batch feed.Batch) {
	if batch.Era != f.era {
		f.next = -1 // the offset may belong to another record now
		return
	}
	regained := batch.Regained.Sub(f.regainedAt) > regainedApart && freshness.Now().Sub(batch.Regained) < regainedFor
	if regained || f.lastFailed { // before records of the outage are applied
		f.regainedAt = max(f.regainedAt, batch.Regained)
		f.sink.PollDone(errRegained)
		f.sink.PollDone(nil)
	}
	for i, r := range batch.Records {
		f.apply(Record{Offset: f.next + int64(i), Data: r.Data}, r.Since, r.Awaited)
	}
	f.next += int64(len(batch.Records))
	f.noteApplied()
	f.setProved(batch.Proved)
}

// provedInEra returns the latest proof, or 0 if none was given since the store was
// restored.
func (f *Follower) provedInEra() freshness.Instant {
	if f.restoredAt != 0 && f.proved < f.restoredAt.Add(rewriteTime) {
		return 0
	}
	return f.proved
}

// provedUntil returns the instant up to which a read proves that there are no further
// records. A long poll that timed out without records also proves the time of its wait.
func provedUntil(sent, received freshness.Instant, wait time.Duration, empty bool) freshness.Instant {
	if empty && received.Sub(sent) >= wait {
		return sent.Add(wait - proofMargin)
	}
	return sent
}

// reset reads the newest record of each key and resets the sink.
func (f *Follower) reset(ctx context.Context) error {
	sent := freshness.Now()
	newest, err := f.source.Newest(ctx)
	if err != nil {
		return err
	}
	if f.hasEra && newest.Era != f.era {
		f.restoredAt = freshness.Now()
		f.sink.Restored()
	}
	f.era, f.hasEra = newest.Era, true
	f.sink.Reset(newest.Items)
	f.next = newest.End
	f.noteApplied()
	f.setProved(sent)
	f.Feed.Reset(f.era, f.next, f.provedInEra())
	return nil
}

// setProved reports to the sink that all records written before at were applied,
// unless the store was restored shortly before at.
func (f *Follower) setProved(at freshness.Instant) {
	if f.restoredAt != 0 && at < f.restoredAt.Add(rewriteTime) {
		return
	}
	f.proved = max(f.proved, at)
	f.sink.Proved(int64(f.era)<<offsetBits|f.next, at)
}

// immediateRead is the longest duration of a read whose records already existed when
// it was sent.
const immediateRead = 60 * time.Millisecond

// writtenSince returns the earliest instant at which the records of a read may have
// been written. A read that waited returns them as soon as they are written, unless
// the process was suspended meanwhile. A read that did not wait returns records
// written at any time since the last proof.
func (f *Follower) writtenSince(sent, received freshness.Instant) freshness.Instant {
	if f.pauses.Since(sent) {
		return min(sent, f.proved)
	}
	if received.Sub(sent) < immediateRead {
		return f.proved
	}
	return received
}

// apply decodes a record and passes it to the sink.
func (f *Follower) apply(r Record, since freshness.Instant, awaited bool) {
	item, err := f.source.Decode(r)
	if err != nil {
		f.sink.Skipped(r.Offset, err)
		return
	}
	item.Since, item.Awaited = since, awaited
	f.sink.Apply(item)
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
