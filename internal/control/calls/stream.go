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
	appendsMax      = 4                      // appends of one stream in progress
	appendBudget    = 140                    // appends per second over all streams
	appendBurst     = 3                      // appends of one stream without a pause
	deferDelay      = 250 * time.Millisecond // outcomes and voids wait this long for an intent to go with
	readBackTimeout = time.Second            // for an entry to be read after its append ended
	stallTimeout    = time.Second            // an append that takes longer counts as an outage
	appendRetry     = 100 * time.Millisecond // after an append that failed
)

// submission is an entry on its way into a stream.
type submission struct {
	entry         *callspb.Entry
	maybeAppended bool
	reply         func(*callspb.SubmitReply) // called once
	queuedAt      time.Time
	readBackBy    time.Time // zero: its append has not ended
	searchEnd     uint64    // offset up to which to look before it is appended; 0: not known yet
}

func (s *submission) deferrable() bool { return s.entry.Kind != callspb.Kind_KIND_INTENT }

// waiter is a repeat that waits for the state of a key to change.
type waiter struct {
	key, nonce, bodyHash []byte
	until                time.Time
	reply                func(*callspb.SubmitReply) // called once
}

// appendOp is one append in progress.
type appendOp struct {
	batch     *callspb.Batch
	subs      []*submission
	startedAt time.Time
}

// actions is what a stream wants done by its driver.
type actions struct {
	append      *appendOp
	fetchBounds bool      // ask the log for the stream's bounds
	tickAt      time.Time // call tick then; zero: not needed
}

// stream is the state of one stream at one daemon: what was read of it and
// the entries on their way into it. It does no I/O: each method changes the
// state, and work says what to do next.
type stream struct {
	number        int
	completeSince time.Time // from when on nothing that was read was forgotten
	limiter       *rate.Limiter

	machine     *machine // nil: not loaded
	next        uint64
	latest      *callspb.SnapshotRef
	completeAt  time.Time
	haltErr     error     // a bad record; the stream stays stopped
	lastContact time.Time // when the log last answered a read to the stream's end
	readFailing bool      // the last read failed
	retryAt     time.Time // when an append may be tried after one failed; zero: the last one did not fail

	queue         []*submission // to be appended
	searching     []*submission // may stand in the log already
	unconfirmed   []*submission // appended, not read back
	waiters       []*waiter
	appends       []*appendOp
	boundsPending bool // the log was asked for the stream's bounds

	snapshotter
}

func newStream(number, streams int, started time.Time) *stream {
	limit := rate.Limit(appendBudget) / rate.Limit(max(streams, 1))
	return &stream{number: number, completeSince: started, limiter: rate.NewLimiter(limit, appendBurst)}
}

// complete reports whether every record that still counts was applied.
func (s *stream) complete() bool {
	return s.machine != nil && s.haltErr == nil && !s.machine.clock.Before(s.completeAt)
}

// submit takes an entry. An entry whose fate follows from what was read
// already is answered at once and not appended.
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
		return nil // what was not read yet may say otherwise
	default:
		return state
	}
}

// logUnavailable reports whether the log takes no entries, as far as is known. After a
// failed append one other is tried at a time.
func (s *stream) logUnavailable(now time.Time) bool {
	if s.readFailing || s.appendStalled(now) {
		return true
	}
	if s.retryAt.IsZero() {
		return false
	}
	return len(s.appends) > 0 || now.Before(s.retryAt)
}

// unappendedVerdict is the verdict on an entry that this daemon did not append.
func unappendedVerdict(sub *submission) callspb.Verdict {
	if sub.maybeAppended {
		return callspb.Verdict_VERDICT_AMBIGUOUS
	}
	return callspb.Verdict_VERDICT_NOT_APPENDED
}

// appendStalled reports whether an append takes too long to wait for it.
func (s *stream) appendStalled(now time.Time) bool {
	return len(s.appends) > 0 && now.Sub(s.appends[0].startedAt) >= stallTimeout
}

// rejection is a reply that carries what is known of the key from memory.
func (s *stream) rejection(now time.Time, e *callspb.Entry, verdict callspb.Verdict) *callspb.SubmitReply {
	v := &callspb.Vouch{
		Complete:     s.complete(),
		ContactAgeMs: uint64(now.Sub(s.lastContact).Milliseconds()) + 1,
		ProcessAgeMs: uint64(now.Sub(s.completeSince).Milliseconds()),
	}
	if s.machine != nil {
		if c := s.machine.find(toID(e.Key)); c != nil && c.intent != nil && !c.heldBy(e.Nonce) {
			v.Known = true
			v.Outcome = s.machine.verdictFor(e.Key, e.Nonce, e.BodyHash).Outcome
		}
	}
	return &callspb.SubmitReply{Verdict: verdict, Vouch: v}
}

// await registers a repeat that waits for another attempt's outcome.
func (s *stream) await(now time.Time, a *waiter) {
	s.waiters = append(s.waiters, a)
	s.answerWaiters(now)
}

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

// load takes the state that a new reader starts from.
func (s *stream) load(now time.Time, l *loadedState) {
	s.machine, s.next, s.latest, s.completeAt = l.machine, l.next, l.latest, l.completeAt
	s.readFailing = false
	s.resetSnapshotter(l)
	s.answerQueued(now)
}

// unload drops the state, after records were trimmed before they were read
// or when this daemon no longer answers for the stream.
func (s *stream) unload(now time.Time) {
	s.machine, s.snapshotter, s.completeSince, s.lastContact = nil, snapshotter{}, now, time.Time{}
}

// answerQueued answers the queued entries whose fate is known by now.
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

// applyRecords applies records, which must be contiguous. Contact is when the applyRecords
// was sent, if the stream held no more; else zero.
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

// deliverVerdict gives an entry that was read back its verdict.
func (s *stream) deliverVerdict(now time.Time, e *callspb.Entry, reply *callspb.SubmitReply) {
	if !s.complete() && e.Kind == callspb.Kind_KIND_INTENT && reply.Verdict != callspb.Verdict_VERDICT_OUTCOME {
		reply = s.rejection(now, e, callspb.Verdict_VERDICT_AMBIGUOUS)
	}
	s.unconfirmed = s.replyToMatching(s.unconfirmed, e, reply)
	s.searching = s.replyToMatching(s.searching, e, reply)
	for _, f := range s.appends {
		f.subs = s.replyToMatching(f.subs, e, reply)
	}
}

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

// halt ends the effect of a stream whose records can't be understood.
func (s *stream) halt(now time.Time, err error) {
	s.haltErr = err
	s.rejectUnappended(now)
}

// readFailed tells that the log did not answer a read.
func (s *stream) readFailed(now time.Time) {
	s.readFailing = true
	s.rejectUnappended(now)
}

// rejectUnappended answers the entries that this daemon has not appended.
func (s *stream) rejectUnappended(now time.Time) {
	for _, sub := range append(s.queue, s.searching...) {
		sub.reply(s.rejection(now, sub.entry, unappendedVerdict(sub)))
	}
	s.queue, s.searching = nil, nil
}

// appendDone takes the end of an append.
func (s *stream) appendDone(now time.Time, f *appendOp, err error) {
	s.appends = slices.DeleteFunc(s.appends, func(other *appendOp) bool { return other == f })
	if errors.Is(err, backing.ErrUnavailable) && !errors.Is(err, backing.ErrUnknownOutcome) {
		s.retryAt = now.Add(appendRetry)
		for _, sub := range f.subs {
			sub.reply(s.rejection(now, sub.entry, unappendedVerdict(sub)))
		}
		s.rejectUnappended(now)
		s.chunkFailed(f)
		return
	}
	if err == nil {
		s.retryAt = time.Time{}
	}
	for _, sub := range f.subs {
		sub.readBackBy = now.Add(readBackTimeout)
		s.unconfirmed = append(s.unconfirmed, sub)
	}
}

// boundsDone takes the first offset that the log still has and the one behind the
// last record.
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

// queueNotFound appends the entries that were looked for in vain.
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

// tick answers what waited for too long.
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

// nextActions returns what to do next; the driver calls it after each change.
func (s *stream) nextActions(now time.Time) actions {
	var w actions
	w.fetchBounds = s.takeBoundsRequest(now)
	w.append = s.nextAppend(now, &w.tickAt)
	if len(s.appends) > 0 && !s.appendStalled(now) {
		w.tickAt = earlier(w.tickAt, s.appends[0].startedAt.Add(stallTimeout))
	}
	for _, sub := range s.unconfirmed {
		w.tickAt = earlier(w.tickAt, sub.readBackBy)
	}
	for _, a := range s.waiters {
		w.tickAt = earlier(w.tickAt, a.until)
	}
	return w
}

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

// nextAppend starts an append when there is something to append and the
// stream's share of the log's appends allows it. It sets wake otherwise.
func (s *stream) nextAppend(now time.Time, wake *time.Time) *appendOp {
	if s.appendsFull(now) || s.machine == nil || s.haltErr != nil {
		return nil
	}
	due := s.nextAppendAt(now)
	if due.IsZero() {
		return nil
	}
	if due.After(now) {
		*wake = earlier(*wake, due)
		return nil
	}
	r := s.limiter.ReserveN(now, 1)
	if d := r.DelayFrom(now); d > 0 {
		r.CancelAt(now)
		*wake = earlier(*wake, now.Add(d))
		return nil
	}
	f := s.nextBatch(now)
	s.appends = append(s.appends, f)
	return f
}

// appendsFull reports whether no further append may begin: after one that failed,
// one is tried at a time.
func (s *stream) appendsFull(now time.Time) bool {
	if !s.retryAt.IsZero() || s.appendStalled(now) {
		return len(s.appends) > 0
	}
	return len(s.appends) >= appendsMax
}

// nextAppendAt returns when the next append should start; zero: nothing to append.
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

func (s *stream) nextBatch(now time.Time) *appendOp {
	n := min(len(s.queue), batchEntries)
	f := &appendOp{batch: &callspb.Batch{Latest: s.latest}, startedAt: now}
	size := 0
	for _, sub := range s.queue[:n] {
		size += estimateEntryBytes(sub.entry)
		if size > maxRecordBytes && len(f.subs) > 0 {
			break
		}
		f.subs = append(f.subs, sub)
		f.batch.Entries = append(f.batch.Entries, sub.entry)
	}
	s.queue = append([]*submission(nil), s.queue[len(f.subs):]...)
	f.batch.Chunk = s.nextChunk()
	return f
}

func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
