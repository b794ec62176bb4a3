package calls

import (
	"time"

	"currantpulley/internal/control/calls/callspb"
	"currantpulley/internal/refusal"
)

// stepKind is the next I/O operation of an attempt.
type stepKind uint8

const (
	stepSubmit stepKind = iota // submit the intent to the candidate
	stepAwait                  // ask the candidate to wait for another attempt's outcome
	stepEnd                    // none: the attempt ended, see attempt.end
)

// endKind is how an attempt ended.
type endKind uint8

const (
	endWon     endKind = iota // the intent is the first for its key: the call may be sent once
	endOutcome                // the outcome of the first call is known
	endRefused
)

// attempt is the state machine of one attempt to make a call, at the daemon
// that writes the intent. It does no I/O: its driver performs the operation
// that step returns and passes the reply to handleSubmitReply or
// handleAwaitReply.
type attempt struct {
	entry      *callspb.Entry
	candidates []string  // daemons that may append for the stream, in order of preference
	waitUntil  time.Time // deadline for the outcome of another attempt

	candidateIndex  int       // current candidate
	awaitingOutcome bool      // another attempt holds the key
	askedAt         time.Time // when step last returned
	ambiguous       bool      // the intent may be in the log, or may still arrive there
	reports         []keyReport
	unanswered      int // candidates that did not reply
	ended           bool
	end             endKind
	outcome         *callspb.Outcome
	refused         *refusal.Error
}

// keyReport is a candidate's knowledge of the key, with times converted from
// callspb.Vouch to the writer's clock. The conversion errs to the safe side:
// lastContact is the earliest and retainedSince the latest possible time.
type keyReport struct {
	known         bool
	outcome       *callspb.Outcome
	complete      bool
	lastContact   time.Time // when the candidate last read the stream to its end
	retainedSince time.Time // from when on the candidate has forgotten nothing
}

// step returns the next operation and the candidate to send it to.
func (a *attempt) step(now time.Time) (kind stepKind, candidate string) {
	a.askedAt = now
	switch {
	case a.ended:
		return stepEnd, ""
	case a.candidateIndex >= len(a.candidates):
		a.endUnrecorded()
		return stepEnd, ""
	case a.awaitingOutcome:
		return stepAwait, a.candidates[a.candidateIndex]
	}
	return stepSubmit, a.candidates[a.candidateIndex]
}

// handleSubmitReply handles the reply to a stepSubmit. It is nil if the
// candidate did not reply.
func (a *attempt) handleSubmitReply(now time.Time, r *callspb.SubmitReply) {
	if r == nil {
		a.unanswered++
		a.ambiguous = true
		a.candidateIndex++
		return
	}
	switch r.Verdict {
	case callspb.Verdict_VERDICT_FIRST:
		a.finish(endWon)
	case callspb.Verdict_VERDICT_IN_FLIGHT, callspb.Verdict_VERDICT_OUTCOME, callspb.Verdict_VERDICT_CONFLICT, callspb.Verdict_VERDICT_FREE:
		a.handleKeyState(now, r)
	default:
		a.ambiguous = a.ambiguous || r.Verdict == callspb.Verdict_VERDICT_AMBIGUOUS
		a.addReport(now, r.Vouch)
		a.candidateIndex++
	}
}

func (a *attempt) addReport(now time.Time, v *callspb.Vouch) {
	if v == nil {
		return
	}
	a.reports = append(a.reports, keyReport{
		known:         v.Known,
		outcome:       v.Outcome,
		complete:      v.Complete,
		lastContact:   a.askedAt.Add(-fromMilliseconds(v.ContactAgeMs)),
		retainedSince: now.Add(-fromMilliseconds(v.ProcessAgeMs)),
	})
}

// fromMilliseconds returns n milliseconds, at most a century, so that a value
// from a peer can't overflow.
func fromMilliseconds(n uint64) time.Duration {
	const century = 100 * 365 * 24 * time.Hour
	return time.Duration(min(n, uint64(century/time.Millisecond))) * time.Millisecond
}

// handleAwaitReply handles the reply to a stepAwait. It is nil if the
// candidate did not reply.
func (a *attempt) handleAwaitReply(now time.Time, r *callspb.SubmitReply) {
	if r == nil {
		a.refuse(outcomeUnknown())
		return
	}
	if r.Verdict == callspb.Verdict_VERDICT_CONFLICT {
		a.retryWithNewNonce(now) // the candidate may lag behind the log: only an appended intent decides
		return
	}
	a.handleKeyState(now, r)
}

// handleKeyState handles the state of a key that another attempt holds or
// held.
func (a *attempt) handleKeyState(now time.Time, r *callspb.SubmitReply) {
	switch r.Verdict {
	case callspb.Verdict_VERDICT_OUTCOME:
		a.outcome = r.Outcome
		a.finish(endOutcome)
	case callspb.Verdict_VERDICT_CONFLICT:
		a.refuse(refusal.New(refusal.KeyConflict, "the idempotency key was used with another request"))
	case callspb.Verdict_VERDICT_FREE, callspb.Verdict_VERDICT_FIRST:
		a.retryWithNewNonce(now)
	default:
		a.awaitingOutcome = true
		if !now.Before(a.waitUntil) {
			a.refuse(outcomeUnknown())
		}
	}
}

// retryWithNewNonce restarts the attempt after the one that held the key was
// voided. The new intent must follow the void in the log, so it needs a new
// nonce.
func (a *attempt) retryWithNewNonce(now time.Time) {
	if !now.Before(a.waitUntil) {
		a.refuse(refusal.NewUnknown(refusal.CallInFlight, nil, "other attempts with this idempotency key are being given up").WithRetryAfter(retryAfter))
		return
	}
	nonce := newNonce()
	e := &callspb.Entry{
		Kind: a.entry.Kind, Key: a.entry.Key, Nonce: nonce[:], BodyHash: a.entry.BodyHash,
		Vm: a.entry.Vm, Incarnation: a.entry.Incarnation, HorizonMs: a.entry.HorizonMs,
	}
	a.entry, a.awaitingOutcome, a.ambiguous = e, false, false
}

// endUnrecorded ends the attempt after no candidate could record its intent:
// with the outcome of an earlier call if a candidate knew it, else with a
// refusal.
func (a *attempt) endUnrecorded() {
	for _, v := range a.reports {
		if v.outcome != nil {
			a.outcome = v.outcome
			a.finish(endOutcome)
			return
		}
	}
	if a.provenUnsent() {
		a.refuse(refusal.New(refusal.LogUnavailable, "the call can't be recorded now").WithRetryAfter(retryAfter))
		return
	}
	a.refuse(refusal.NewUnknown(refusal.LogUnavailable, nil, "the call can't be recorded now; an earlier call with this key may have run").WithRetryAfter(retryAfter))
}

// provenUnsent reports whether certainly no call with this key was ever
// permitted to be sent. Only candidates grant that permission. The proof needs
// a reply without a known intent from every candidate, and one of them must
// hold the complete stream and have read it to its end after all others
// started: a candidate that restarted may have forgotten intents.
func (a *attempt) provenUnsent() bool {
	if a.unanswered > 0 || len(a.reports) < len(a.candidates) {
		return false
	}
	for _, v := range a.reports {
		if v.known {
			return false
		}
	}
	for i, v := range a.reports {
		if v.complete && a.readAfterOthersStarted(i) {
			return true
		}
	}
	return false
}

// readAfterOthersStarted reports whether candidate i read the stream to its
// end after all other candidates started to retain state.
func (a *attempt) readAfterOthersStarted(i int) bool {
	for j, other := range a.reports {
		if j != i && !other.retainedSince.Before(a.reports[i].lastContact) {
			return false
		}
	}
	return true
}

func (a *attempt) finish(end endKind) { a.ended, a.end = true, end }

func (a *attempt) refuse(err *refusal.Error) {
	a.refused = err
	a.finish(endRefused)
}

func outcomeUnknown() *refusal.Error {
	return refusal.NewUnknown(refusal.OutcomeUnknown, nil,
		"a call with this idempotency key was sent and its outcome is not known").WithRetryAfter(retryAfter)
}
