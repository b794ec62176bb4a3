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
	batchEntries = 256
	flightsMax   = 4                      // appends of one stream in progress
	appendBudget = 140                    // appends per second over all streams
	appendBurst  = 3                      // appends of one stream without a pause
	lazyDelay    = 250 * time.Millisecond // outcomes and voids wait this long for an intent to go with
	readBackMax  = time.Second            // for an entry to be read after its append ended
	hungAfter    = time.Second            // an append that takes longer counts as an outage
	appendRetry  = 100 * time.Millisecond // after an append that failed
)

// submission is an entry on its way into a stream.
type submission struct {
	entry         *callspb.Entry
	maybeAppended bool
	reply         func(*callspb.SubmitReply) // called once
	queuedAt      time.Time
	failBy        time.Time // zero: its append has not ended
	lookUntil     uint64    // offset up to which to look before it is appended; 0: not known yet
}

func (s *submission) lazy() bool { return s.entry.Kind != callspb.Kind_KIND_INTENT }

// awaiting is a repeat that waits for the state of a key to change.
type awaiting struct {
	key, nonce, bodyHash []byte
	until                time.Time
	reply                func(*callspb.SubmitReply) // called once
}

// flight is one append in progress.
type flight struct {
	batch     *callspb.Batch
	subs      []*submission
	startedAt time.Time
}

// work is what a stream wants done by its driver.
type work struct {
	append *flight
	bounds bool      // ask the log for the stream's bounds
	wake   time.Time // call tick then; zero: not needed
}

// stream is the state of one stream at one daemon: what was read of it and
// the entries on their way into it. It does no I/O: each method changes the
// state, and work says what to do next.
type stream struct {
	number  int
	started time.Time // from when on nothing that was read was forgotten
	limiter *rate.Limiter

	machine    *machine // nil: not loaded
	next       uint64
	latest     *callspb.SnapshotRef
	completeAt time.Time
	broken     error     // a bad record; the stream stays stopped
	contact    time.Time // when the log last answered a read to the stream's end
	readsFail  bool      // the last read failed
	retryAt    time.Time // when an append may be tried after one failed; zero: the last one did not fail

	queue   []*submission // to be appended
	looking []*submission // may stand in the log already
	pending []*submission // appended, not read back
	awaits  []*awaiting
	flights []*flight
	probing bool // the log was asked for the stream's bounds

	saving
}

func newStream(number, streams int, started time.Time) *stream {
	limit := rate.Limit(appendBudget) / rate.Limit(max(streams, 1))
	return &stream{number: number, started: started, limiter: rate.NewLimiter(limit, appendBurst)}
}

// complete reports whether every record that still counts was applied.
func (s *stream) complete() bool {
	return s.machine != nil && s.broken == nil && !s.machine.clock.Before(s.completeAt)
}

// submit takes an entry. An entry whose fate follows from what was read
// already is answered at once and not appended.
func (s *stream) submit(now time.Time, sub *submission) {
	sub.queuedAt = now
	if reply := s.known(now, sub); reply != nil {
		sub.reply(reply)
		return
	}
	if sub.maybeAppended {
		s.looking = append(s.looking, sub)
		return
	}
	s.queue = append(s.queue, sub)
}

func (s *stream) known(now time.Time, sub *submission) *callspb.SubmitReply {
	e := sub.entry
	switch {
	case s.broken != nil:
		return s.refusal(now, e, callspb.Verdict_VERDICT_NOT_READY)
	case s.down(now):
		return s.refusal(now, e, notAppended(sub))
	case s.machine == nil || e.Kind != callspb.Kind_KIND_INTENT:
		return nil
	case !s.complete():
		return s.refusal(now, e, callspb.Verdict_VERDICT_NOT_READY)
	}
	switch state := s.machine.state(e.Key, e.Nonce, e.BodyHash); state.Verdict {
	case callspb.Verdict_VERDICT_FREE, callspb.Verdict_VERDICT_CONFLICT:
		return nil // what was not read yet may say otherwise
	default:
		return state
	}
}

// down reports whether the log takes no entries, as far as is known. After a
// failed append one other is tried at a time.
func (s *stream) down(now time.Time) bool {
	if s.readsFail || s.hangs(now) {
		return true
	}
	if s.retryAt.IsZero() {
		return false
	}
	return len(s.flights) > 0 || now.Before(s.retryAt)
}

// notAppended is the verdict on an entry that this daemon did not append.
func notAppended(sub *submission) callspb.Verdict {
	if sub.maybeAppended {
		return callspb.Verdict_VERDICT_AMBIGUOUS
	}
	return callspb.Verdict_VERDICT_NOT_APPENDED
}

// hangs reports whether an append takes too long to wait for it.
func (s *stream) hangs(now time.Time) bool {
	return len(s.flights) > 0 && now.Sub(s.flights[0].startedAt) >= hungAfter
}

// refusal is a reply that carries what is known of the key from memory.
func (s *stream) refusal(now time.Time, e *callspb.Entry, verdict callspb.Verdict) *callspb.SubmitReply {
	v := &callspb.Vouch{
		Complete:     s.complete(),
		ContactAgeMs: uint64(now.Sub(s.contact).Milliseconds()) + 1,
		ProcessAgeMs: uint64(now.Sub(s.started).Milliseconds()),
	}
	if s.machine != nil {
		if c := s.machine.find(toID(e.Key)); c != nil && c.intent != nil && !c.heldBy(e.Nonce) {
			v.Known = true
			v.Outcome = s.machine.state(e.Key, e.Nonce, e.BodyHash).Outcome
		}
	}
	return &callspb.SubmitReply{Verdict: verdict, Vouch: v}
}

// await registers a repeat that waits for another attempt's outcome.
func (s *stream) await(now time.Time, a *awaiting) {
	s.awaits = append(s.awaits, a)
	s.answerAwaits(now)
}

func (s *stream) answerAwaits(now time.Time) {
	kept := s.awaits[:0]
	for _, a := range s.awaits {
		reply := &callspb.SubmitReply{Verdict: callspb.Verdict_VERDICT_IN_FLIGHT}
		if s.machine != nil {
			reply = s.machine.state(a.key, a.nonce, a.bodyHash)
		}
		if reply.Verdict == callspb.Verdict_VERDICT_IN_FLIGHT && now.Before(a.until) {
			kept = append(kept, a)
			continue
		}
		a.reply(reply)
	}
	clear(s.awaits[len(kept):])
	s.awaits = kept
}

// load takes the state that a new reader starts from.
func (s *stream) load(now time.Time, l *loaded) {
	s.machine, s.next, s.latest, s.completeAt = l.machine, l.next, l.latest, l.completeAt
	s.readsFail = false
	s.resetSaving(l)
	s.recheck(now)
}

// unload drops the state, after records were trimmed before they were read
// or when this daemon no longer answers for the stream.
func (s *stream) unload(now time.Time) {
	s.machine, s.saving, s.started, s.contact = nil, saving{}, now, time.Time{}
}

// recheck answers the queued entries whose fate is known by now.
func (s *stream) recheck(now time.Time) {
	kept := s.queue[:0]
	for _, sub := range s.queue {
		if reply := s.known(now, sub); reply != nil {
			sub.reply(reply)
			continue
		}
		kept = append(kept, sub)
	}
	clear(s.queue[len(kept):])
	s.queue = kept
}

// read applies records, which must be contiguous. Contact is when the read
// was sent, if the stream held no more; else zero.
func (s *stream) read(now time.Time, records []backing.Record, contact time.Time) error {
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
	s.readsFail = false
	s.contact = later(s.contact, contact)
	s.settle(now)
	s.answerAwaits(now)
	return nil
}

func (s *stream) applyBatch(now time.Time, r backing.Record, b *callspb.Batch) {
	s.machine.advance(r.At)
	for _, e := range b.Entries {
		s.answer(now, e, s.machine.apply(e))
	}
	s.next = r.Offset + 1
	s.latest = newer(s.latest, b.Latest)
	s.sawRecord(r, b)
}

// answer gives an entry that was read back its verdict.
func (s *stream) answer(now time.Time, e *callspb.Entry, reply *callspb.SubmitReply) {
	if !s.complete() && e.Kind == callspb.Kind_KIND_INTENT && reply.Verdict != callspb.Verdict_VERDICT_OUTCOME {
		reply = s.refusal(now, e, callspb.Verdict_VERDICT_AMBIGUOUS)
	}
	s.pending = s.take(s.pending, e, reply)
	s.looking = s.take(s.looking, e, reply)
	for _, f := range s.flights {
		f.subs = s.take(f.subs, e, reply)
	}
}

func (s *stream) take(subs []*submission, e *callspb.Entry, reply *callspb.SubmitReply) []*submission {
	kept := subs[:0]
	for _, sub := range subs {
		if sub.entry.Kind == e.Kind && bytes.Equal(sub.entry.Nonce, e.Nonce) {
			sub.reply(reply)
			continue
		}
		kept = append(kept, sub)
	}
	clear(subs[len(kept):])
	return kept
}

// halt ends the effect of a stream whose records can't be understood.
func (s *stream) halt(now time.Time, err error) {
	s.broken = err
	s.failAll(now)
}

// readFailed tells that the log did not answer a read.
func (s *stream) readFailed(now time.Time) {
	s.readsFail = true
	s.failAll(now)
}

// failAll answers the entries that this daemon has not appended.
func (s *stream) failAll(now time.Time) {
	for _, sub := range append(s.queue, s.looking...) {
		sub.reply(s.refusal(now, sub.entry, notAppended(sub)))
	}
	s.queue, s.looking = nil, nil
}

// appended takes the end of an append.
func (s *stream) appended(now time.Time, f *flight, err error) {
	s.flights = slices.DeleteFunc(s.flights, func(other *flight) bool { return other == f })
	if errors.Is(err, backing.ErrUnavailable) && !errors.Is(err, backing.ErrUnknownOutcome) {
		s.retryAt = now.Add(appendRetry)
		for _, sub := range f.subs {
			sub.reply(s.refusal(now, sub.entry, notAppended(sub)))
		}
		s.failAll(now)
		s.chunkFailed(f)
		return
	}
	if err == nil {
		s.retryAt = time.Time{}
	}
	for _, sub := range f.subs {
		sub.failBy = now.Add(readBackMax)
		s.pending = append(s.pending, sub)
	}
}

// bounds takes the first offset that the log still has and the one behind the
// last record.
func (s *stream) bounds(now time.Time, first, next uint64, err error) {
	s.probing = false
	if err != nil {
		s.readFailed(now)
		return
	}
	s.first, s.boundsAt = first, now
	for _, sub := range s.looking {
		if sub.lookUntil == 0 {
			sub.lookUntil = next
		}
	}
	s.settle(now)
}

// settle appends the entries that were looked for in vain.
func (s *stream) settle(now time.Time) {
	kept := s.looking[:0]
	for _, sub := range s.looking {
		if sub.lookUntil != 0 && s.machine != nil && s.next >= sub.lookUntil {
			s.queue = append(s.queue, sub)
			continue
		}
		kept = append(kept, sub)
	}
	clear(s.looking[len(kept):])
	s.looking = kept
	s.recheck(now)
}

// tick answers what waited for too long.
func (s *stream) tick(now time.Time) {
	kept := s.pending[:0]
	for _, sub := range s.pending {
		if now.Before(sub.failBy) {
			kept = append(kept, sub)
			continue
		}
		sub.reply(s.refusal(now, sub.entry, callspb.Verdict_VERDICT_AMBIGUOUS))
	}
	clear(s.pending[len(kept):])
	s.pending = kept
	if s.hangs(now) {
		s.failAll(now)
	}
	s.answerAwaits(now)
}

// work returns what to do next; the driver calls it after each change.
func (s *stream) work(now time.Time) work {
	var w work
	w.bounds = s.wantBounds(now)
	w.append = s.nextFlight(now, &w.wake)
	if len(s.flights) > 0 && !s.hangs(now) {
		w.wake = sooner(w.wake, s.flights[0].startedAt.Add(hungAfter))
	}
	for _, sub := range s.pending {
		w.wake = sooner(w.wake, sub.failBy)
	}
	for _, a := range s.awaits {
		w.wake = sooner(w.wake, a.until)
	}
	return w
}

func (s *stream) wantBounds(now time.Time) bool {
	if s.probing || s.machine == nil {
		return false
	}
	if s.askBounds {
		s.askBounds, s.probing = false, true
		return true
	}
	for _, sub := range s.looking {
		if sub.lookUntil == 0 {
			s.probing = true
			return true
		}
	}
	return false
}

// nextFlight starts an append when there is something to append and the
// stream's share of the log's appends allows it. It sets wake otherwise.
func (s *stream) nextFlight(now time.Time, wake *time.Time) *flight {
	if s.full(now) || s.machine == nil || s.broken != nil {
		return nil
	}
	due := s.due(now)
	if due.IsZero() {
		return nil
	}
	if due.After(now) {
		*wake = sooner(*wake, due)
		return nil
	}
	r := s.limiter.ReserveN(now, 1)
	if d := r.DelayFrom(now); d > 0 {
		r.CancelAt(now)
		*wake = sooner(*wake, now.Add(d))
		return nil
	}
	f := s.nextBatch(now)
	s.flights = append(s.flights, f)
	return f
}

// full reports whether no further append may begin: after one that failed,
// one is tried at a time.
func (s *stream) full(now time.Time) bool {
	if !s.retryAt.IsZero() || s.hangs(now) {
		return len(s.flights) > 0
	}
	return len(s.flights) >= flightsMax
}

// due returns when the next append should start; zero: nothing to append.
func (s *stream) due(now time.Time) time.Time {
	if s.chunkReady() {
		return now
	}
	var due time.Time
	for _, sub := range s.queue {
		if !sub.lazy() || len(s.queue) >= batchEntries {
			return now
		}
		due = sooner(due, sub.queuedAt.Add(lazyDelay))
	}
	return due
}

func (s *stream) nextBatch(now time.Time) *flight {
	n := min(len(s.queue), batchEntries)
	f := &flight{batch: &callspb.Batch{Latest: s.latest}, startedAt: now}
	size := 0
	for _, sub := range s.queue[:n] {
		size += entryBytes(sub.entry)
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

func sooner(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
