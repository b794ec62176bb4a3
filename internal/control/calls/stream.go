package calls

import (
	"bytes"
	"errors"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"currantpulley/internal/backing"
	"currantpulley/internal/control/calls/callspb"
)

const (
	batchEntries    = 256
	appendsMax      = 4                      // concurrent appends to one stream
	appendBudget    = 140                    // appends per second over all streams
	appendBurst     = 3                      // burst of the rate limit of one stream
	deferDelay      = 250 * time.Millisecond // longest wait of voids and outcomes for an intent to share a record with
	readBackTimeout = time.Second            // from the end of an append until its entries are read back
	stallTimeout    = time.Second            // an append that takes longer counts as an outage of the log
	appendRetry     = 100 * time.Millisecond // pause after a failed append
)

// submission is an entry that was submitted to a stream and has no verdict yet.
type submission struct {
	entry         *callspb.Entry
	maybeAppended bool                       // search the stream for the entry before it is appended
	reply         func(*callspb.SubmitReply) // called once
	queuedAt      time.Time
	readBackBy    time.Time // zero: its append has not ended
	searchEnd     uint64    // offset at which the search ends; 0: not known yet
}

// deferrable reports whether the entry may wait for deferDelay before it is
// appended. No caller waits for the verdict on a void or an outcome.
func (s *submission) deferrable() bool { return s.entry.Kind != callspb.Kind_KIND_INTENT }

// waiter is a repeated call that waits until its key is no longer in flight.
type waiter struct {
	key, nonce, bodyHash []byte
	until                time.Time
	reply                func(*callspb.SubmitReply) // called once
}

// appendOp is one append in progress.
type appendOp struct {
	batch     *callspb.Batch
	subs      []*submission // entries of batch that have no verdict yet
	startedAt time.Time
}

// actions are the operations that the driver of a stream is to perform next.
type actions struct {
	append      *appendOp // nil: none
	fetchBounds bool      // ask the log for the stream's bounds
	tickAt      time.Time // when to call tick; zero: not needed
}

// stream is one daemon's state machine for a stream: the state read from the
// log and the submitted entries. It does no I/O: its methods change the state,
// and nextActions returns the operations to perform.
type stream struct {
	number        int
	retainedSince time.Time // since when the state that was read was never dropped
	limiter       *rate.Limiter

	machine     *machine // nil: not loaded
	next        uint64   // offset of the next record to apply
	latest      *callspb.SnapshotRef
	completeAt  time.Time // stream time from which no trimmed record matters
	haltErr     error     // the fault of an unreadable record; the stream stays halted
	lastContact time.Time // when the last read that reached the stream's end was sent
	readFailing bool      // the last read failed
	retryAt     time.Time // earliest next append after a failed one; zero: the last one did not fail

	queue         []*submission // to be appended
	searching     []*submission // may be in the log; searched for before they are queued
	unconfirmed   []*submission // append ended, not read back
	waiters       []*waiter
	appends       []*appendOp // in progress, oldest first
	boundsPending bool        // a read of the stream's bounds is in progress

	snapshotter
}

func newStream(number, streams int, started time.Time) *stream {
	limit := rate.Limit(appendBudget) / rate.Limit(max(streams, 1))
	return &stream{number: number, retainedSince: started, limiter: rate.NewLimiter(limit, appendBurst)}
}

// complete reports whether every record that is still within its retention was
// applied.
func (s *stream) complete() bool {
	return s.machine != nil && s.haltErr == nil && !s.machine.clock.Before(s.completeAt)
}

// submit accepts an entry. If the records read so far decide its verdict, or
// the stream can't take entries, it replies at once and appends nothing.
func (s *stream) submit(now time.Time, sub *submission) {
	sub.queuedAt = now
	if reply := s.immediateReply(now, sub); reply != nil {
		sub.reply(reply)
		return
	}
	if sub.maybeAppended {
		s.searching = append(s.searching, sub)
		return
	}
	s.queue = append(s.queue, sub)
}

// immediateReply returns the reply to an entry that need not or can't be
// appended, or nil.
func (s *stream) immediateReply(now time.Time, sub *submission) *callspb.SubmitReply {
	e := sub.entry
	switch {
	case s.haltErr != nil:
		return s.rejection(now, e, callspb.Verdict_VERDICT_NOT_READY)
	case s.logUnavailable(now):
		return s.rejection(now, e, unappendedVerdict(sub))
	case s.machine == nil || e.Kind != callspb.Kind_KIND_INTENT:
		return nil
	case !s.complete():
		return s.rejection(now, e, callspb.Verdict_VERDICT_NOT_READY)
	}
	switch state := s.machine.verdictFor(e.Key, e.Nonce, e.BodyHash); state.Verdict {
	case callspb.Verdict_VERDICT_FREE, callspb.Verdict_VERDICT_CONFLICT:
		return nil // records that were not read yet may change the verdict
	default:
		return state
	}
}

// logUnavailable reports whether the log is considered unavailable. After a
// failed append, one append at a time probes the log.
func (s *stream) logUnavailable(now time.Time) bool {
	if s.readFailing || s.appendStalled(now) {
		return true
	}
	if s.retryAt.IsZero() {
		return false
	}
	return len(s.appends) > 0 || now.Before(s.retryAt)
}

// unappendedVerdict returns the verdict on an entry that this daemon did not
// append.
func unappendedVerdict(sub *submission) callspb.Verdict {
	if sub.maybeAppended {
		return callspb.Verdict_VERDICT_AMBIGUOUS
	}
	return callspb.Verdict_VERDICT_NOT_APPENDED
}

// appendStalled reports whether the oldest append takes longer than
// stallTimeout.
func (s *stream) appendStalled(now time.Time) bool {
	return len(s.appends) > 0 && now.Sub(s.appends[0].startedAt) >= stallTimeout
}

// rejection returns a reply with a negative verdict and this daemon's
// knowledge of the key. The contact age is rounded up.
func (s *stream) rejection(now time.Time, e *callspb.Entry, verdict callspb.Verdict) *callspb.SubmitReply {
	v := &callspb.Vouch{
		Complete:     s.complete(),
		ContactAgeMs: uint64(now.Sub(s.lastContact).Milliseconds()) + 1,
		ProcessAgeMs: uint64(now.Sub(s.retainedSince).Milliseconds()),
	}
	if s.machine != nil {
		if c := s.machine.find(toID(e.Key)); c != nil && c.intent != nil && !c.heldBy(e.Nonce) {
			v.Known = true
			v.Outcome = s.machine.verdictFor(e.Key, e.Nonce, e.BodyHash).Outcome
		}
	}
	return &callspb.SubmitReply{Verdict: verdict, Vouch: v}
}

// await registers a waiter for the outcome of another attempt.
func (s *stream) await(now time.Time, a *waiter) {
	s.waiters = append(s.waiters, a)
	s.answerWaiters(now)
}

// answerWaiters replies to the waiters whose key is no longer in flight or
// whose time is over.
func (s *stream) answerWaiters(now time.Time) {
	remaining := s.waiters[:0]
	for _, a := range s.waiters {
		reply := &callspb.SubmitReply{Verdict: callspb.Verdict_VERDICT_IN_FLIGHT}
		if s.machine != nil {
			reply = s.machine.verdictFor(a.key, a.nonce, a.bodyHash)
		}
		if reply.Verdict == callspb.Verdict_VERDICT_IN_FLIGHT && now.Before(a.until) {
			remaining = append(remaining, a)
			continue
		}
		a.reply(reply)
	}
	clear(s.waiters[len(remaining):])
	s.waiters = remaining
}

// load sets the state from which a new reader starts.
func (s *stream) load(now time.Time, l *loadedState) {
	s.machine, s.next, s.latest, s.completeAt = l.machine, l.next, l.latest, l.completeAt
	s.readFailing = false
	s.resetSnapshotter(l)
	s.answerQueued(now)
}

// unload drops the state after records were trimmed before they were read.
func (s *stream) unload(now time.Time) {
	s.machine, s.snapshotter, s.retainedSince, s.lastContact = nil, snapshotter{}, now, time.Time{}
}

// answerQueued replies to the queued entries whose verdict is known by now.
func (s *stream) answerQueued(now time.Time) {
	remaining := s.queue[:0]
	for _, sub := range s.queue {
		if reply := s.immediateReply(now, sub); reply != nil {
			sub.reply(reply)
			continue
		}
		remaining = append(remaining, sub)
	}
	clear(s.queue[len(remaining):])
	s.queue = remaining
}

// applyRecords applies records, which must be contiguous. Contact is when the
// read that returned them was sent, or zero if the stream may hold more. Errors:
// backing.ErrTrimmed for a gap, logrecord.ErrBad for an unreadable record.
func (s *stream) applyRecords(now time.Time, records []backing.Record, contact time.Time) error {
	for _, r := range records {
		if r.Offset != s.next {
			return backing.ErrTrimmed
		}
		b, err := decode(r.Data)
		if err != nil {
			s.halt(now, err)
			return err
		}
		s.applyBatch(now, r, b)
	}
	s.readFailing = false
	s.lastContact = later(s.lastContact, contact)
	s.queueNotFound(now)
	s.answerWaiters(now)
	return nil
}

func (s *stream) applyBatch(now time.Time, r backing.Record, b *callspb.Batch) {
	s.machine.advanceClock(r.At)
	for _, e := range b.Entries {
		s.deliverVerdict(now, e, s.machine.apply(e))
	}
	s.next = r.Offset + 1
	s.latest = newerSnapshot(s.latest, b.Latest)
	s.trackSnapshot(r, b)
}

// deliverVerdict replies to the submissions of an entry that was read back.
// While the stream is incomplete, an intent may only be answered with an
// outcome, as a trimmed record could hold an earlier intent.
func (s *stream) deliverVerdict(now time.Time, e *callspb.Entry, reply *callspb.SubmitReply) {
	if !s.complete() && e.Kind == callspb.Kind_KIND_INTENT && reply.Verdict != callspb.Verdict_VERDICT_OUTCOME {
		reply = s.rejection(now, e, callspb.Verdict_VERDICT_AMBIGUOUS)
	}
	s.unconfirmed = s.replyToMatching(s.unconfirmed, e, reply)
	s.searching = s.replyToMatching(s.searching, e, reply)
	for _, op := range s.appends {
		op.subs = s.replyToMatching(op.subs, e, reply)
	}
}

// replyToMatching replies to the submissions of e and returns the others.
func (s *stream) replyToMatching(subs []*submission, e *callspb.Entry, reply *callspb.SubmitReply) []*submission {
	remaining := subs[:0]
	for _, sub := range subs {
		if sub.entry.Kind == e.Kind && bytes.Equal(sub.entry.Nonce, e.Nonce) {
			sub.reply(reply)
			continue
		}
		remaining = append(remaining, sub)
	}
	clear(subs[len(remaining):])
	return remaining
}

// halt stops the stream for good after an unreadable record.
func (s *stream) halt(now time.Time, err error) {
	s.haltErr = err
	s.rejectUnappended(now)
}

// readFailed handles a failed read of the log.
func (s *stream) readFailed(now time.Time) {
	s.readFailing = true
	s.rejectUnappended(now)
}

// rejectUnappended replies to the entries that this daemon has not appended.
func (s *stream) rejectUnappended(now time.Time) {
	for _, sub := range append(s.queue, s.searching...) {
		sub.reply(s.rejection(now, sub.entry, unappendedVerdict(sub)))
	}
	s.queue, s.searching = nil, nil
}

// appendDone handles the end of an append. Only an error that proves that
// nothing was appended rejects the entries; otherwise they are expected to be
// read back until readBackTimeout is over.
func (s *stream) appendDone(now time.Time, op *appendOp, err error) {
	s.appends = slices.DeleteFunc(s.appends, func(other *appendOp) bool { return other == op })
	if errors.Is(err, backing.ErrUnavailable) && !errors.Is(err, backing.ErrUnknownOutcome) {
		s.retryAt = now.Add(appendRetry)
		for _, sub := range op.subs {
			sub.reply(s.rejection(now, sub.entry, unappendedVerdict(sub)))
		}
		s.rejectUnappended(now)
		s.chunkFailed(op)
		return
	}
	if err == nil {
		s.retryAt = time.Time{}
	}
	for _, sub := range op.subs {
		sub.readBackBy = now.Add(readBackTimeout)
		s.unconfirmed = append(s.unconfirmed, sub)
	}
}

// boundsDone handles the end of a read of the stream's bounds: the first
// retained offset and the one after the last record.
func (s *stream) boundsDone(now time.Time, first, next uint64, err error) {
	s.boundsPending = false
	if err != nil {
		s.readFailed(now)
		return
	}
	s.firstOffset, s.boundsAt = first, now
	for _, sub := range s.searching {
		if sub.searchEnd == 0 {
			sub.searchEnd = next
		}
	}
	s.queueNotFound(now)
}

// queueNotFound queues the entries whose search ended without a match.
func (s *stream) queueNotFound(now time.Time) {
	remaining := s.searching[:0]
	for _, sub := range s.searching {
		if sub.searchEnd != 0 && s.machine != nil && s.next >= sub.searchEnd {
			s.queue = append(s.queue, sub)
			continue
		}
		remaining = append(remaining, sub)
	}
	clear(s.searching[len(remaining):])
	s.searching = remaining
	s.answerQueued(now)
}

// tick replies to submissions and waiters whose time is over.
func (s *stream) tick(now time.Time) {
	remaining := s.unconfirmed[:0]
	for _, sub := range s.unconfirmed {
		if now.Before(sub.readBackBy) {
			remaining = append(remaining, sub)
			continue
		}
		sub.reply(s.rejection(now, sub.entry, callspb.Verdict_VERDICT_AMBIGUOUS))
	}
	clear(s.unconfirmed[len(remaining):])
	s.unconfirmed = remaining
	if s.appendStalled(now) {
		s.rejectUnappended(now)
	}
	s.answerWaiters(now)
}

// nextActions returns the operations to perform and marks them as started. The
// driver calls it after each change of the state.
func (s *stream) nextActions(now time.Time) actions {
	var next actions
	next.fetchBounds = s.takeBoundsRequest(now)
	next.append = s.nextAppend(now, &next.tickAt)
	if len(s.appends) > 0 && !s.appendStalled(now) {
		next.tickAt = earlier(next.tickAt, s.appends[0].startedAt.Add(stallTimeout))
	}
	for _, sub := range s.unconfirmed {
		next.tickAt = earlier(next.tickAt, sub.readBackBy)
	}
	for _, a := range s.waiters {
		next.tickAt = earlier(next.tickAt, a.until)
	}
	return next
}

// takeBoundsRequest reports whether to read the stream's bounds now, and marks
// the read as in progress.
func (s *stream) takeBoundsRequest(now time.Time) bool {
	if s.boundsPending || s.machine == nil {
		return false
	}
	if s.boundsWanted {
		s.boundsWanted, s.boundsPending = false, true
		return true
	}
	for _, sub := range s.searching {
		if sub.searchEnd == 0 {
			s.boundsPending = true
			return true
		}
	}
	return false
}

// nextAppend returns the next append if one is due and within the stream's
// share of appendBudget. If an append is due later, it makes tickAt no later
// than that.
func (s *stream) nextAppend(now time.Time, tickAt *time.Time) *appendOp {
	if s.appendsFull(now) || s.machine == nil || s.haltErr != nil {
		return nil
	}
	due := s.nextAppendAt(now)
	if due.IsZero() {
		return nil
	}
	if due.After(now) {
		*tickAt = earlier(*tickAt, due)
		return nil
	}
	r := s.limiter.ReserveN(now, 1)
	if d := r.DelayFrom(now); d > 0 {
		r.CancelAt(now)
		*tickAt = earlier(*tickAt, now.Add(d))
		return nil
	}
	op := s.nextBatch(now)
	s.appends = append(s.appends, op)
	return op
}

// appendsFull reports whether no further append may start now. After a failed
// or stalled append, only one is in progress at a time.
func (s *stream) appendsFull(now time.Time) bool {
	if !s.retryAt.IsZero() || s.appendStalled(now) {
		return len(s.appends) > 0
	}
	return len(s.appends) >= appendsMax
}

// nextAppendAt returns when the next append is due, or zero if there is nothing
// to append.
func (s *stream) nextAppendAt(now time.Time) time.Time {
	if s.snapshotRecordReady() {
		return now
	}
	var due time.Time
	for _, sub := range s.queue {
		if !sub.deferrable() || len(s.queue) >= batchEntries {
			return now
		}
		due = earlier(due, sub.queuedAt.Add(deferDelay))
	}
	return due
}

// nextBatch moves the first queued entries into a batch of at most
// batchEntries and, by estimate, maxRecordBytes.
func (s *stream) nextBatch(now time.Time) *appendOp {
	n := min(len(s.queue), batchEntries)
	op := &appendOp{batch: &callspb.Batch{Latest: s.latest}, startedAt: now}
	size := 0
	for _, sub := range s.queue[:n] {
		size += estimateEntryBytes(sub.entry)
		if size > maxRecordBytes && len(op.subs) > 0 {
			break
		}
		op.subs = append(op.subs, sub)
		op.batch.Entries = append(op.batch.Entries, sub.entry)
	}
	s.queue = append([]*submission(nil), s.queue[len(op.subs):]...)
	op.batch.Chunk = s.nextChunk()
	return op
}

// earlier returns the earlier of two times. A zero time stands for none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
