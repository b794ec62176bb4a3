package calls

import (
	"time"

	"currantpulley/internal/control/calls/callspb"
	"currantpulley/internal/refusal"
)

// stepKind is what an attempt does next.
type stepKind uint8

const (
	stepSubmit stepKind = iota // submit the intent to the candidate
	stepAwait                  // wait at the candidate for another attempt's outcome
	stepEnd                    // the attempt ended, see end
)

// endKind is how an attempt ended.
type endKind uint8

const (
	endWon     endKind = iota // the call may be sent, once
	endOutcome                // the first run's outcome is known
	endRefused
)

// attempt is the writer's side of one try to make a call. It does no I/O: its
// driver carries out what step says and reports the result.
type attempt struct {
	entry      *callspb.Entry
	candidates []string // daemons that append for the stream, in the order in which they are asked
	waitUntil  time.Time

	candidateIndex  int // candidate being asked
	awaitingOutcome bool
	askedAt         time.Time // when the last step was taken
	ambiguous       bool      // the intent may stand in the log or come to
	reports         []keyReport
	unanswered      int // candidates that did not answer
	ended           bool
	end             endKind
	outcome         *callspb.Outcome
	refused         *refusal.Error
}

// keyReport is what a candidate knew of the key, on the writer's clock.
type keyReport struct {
	known       bool
	outcome     *callspb.Outcome
	complete    bool
	lastContact time.Time // at the earliest
	started     time.Time // at the latest
}

// step returns what to do next and at which candidate.
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

// handleSubmitReply takes the answer to a stepSubmit; nil: none came.
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
		known:       v.Known,
		outcome:     v.Outcome,
		complete:    v.Complete,
		lastContact: a.askedAt.Add(-fromMilliseconds(v.ContactAgeMs)),
		started:     now.Add(-fromMilliseconds(v.ProcessAgeMs)),
	})
}

// fromMilliseconds returns n fromMilliseconds, at most a century.
func fromMilliseconds(n uint64) time.Duration {
	const century = 100 * 365 * 24 * time.Hour
	return time.Duration(min(n, uint64(century/time.Millisecond))) * time.Millisecond
}

// handleAwaitReply takes the answer to a stepAwait; nil: none came.
func (a *attempt) handleAwaitReply(now time.Time, r *callspb.SubmitReply) {
	if r == nil {
		a.refuse(outcomeUnknown())
		return
	}
	if r.Verdict == callspb.Verdict_VERDICT_CONFLICT {
		a.retryWithNewNonce(now) // the candidate may be behind; only a place in the log tells
		return
	}
	a.handleKeyState(now, r)
}

// handleKeyState takes the state of a key that another attempt holds or held.
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

// retryWithNewNonce goes on after the attempt that held the key was voided: the next
// intent needs a place behind the void and so a nonce of its own.
func (a *attempt) retryWithNewNonce(now time.Time) {
	if !now.Before(a.waitUntil) {
		a.refuse(refusal.NewUnknown(refusal.CallInFlight, nil, "other attempts with this idempotency key are being given up").After(retryAfter))
		return
	}
	nonce := newNonce()
	e := &callspb.Entry{
		Kind: a.entry.Kind, Key: a.entry.Key, Nonce: nonce[:], BodyHash: a.entry.BodyHash,
		Vm: a.entry.Vm, Incarnation: a.entry.Incarnation, HorizonMs: a.entry.HorizonMs,
	}
	a.entry, a.awaitingOutcome, a.ambiguous = e, false, false
}

// endUnrecorded refuses the call after no candidate could record its intent.
func (a *attempt) endUnrecorded() {
	for _, v := range a.reports {
		if v.outcome != nil {
			a.outcome = v.outcome
			a.finish(endOutcome)
			return
		}
	}
	if a.provenUnsent() {
		a.refuse(refusal.New(refusal.LogUnavailable, "the call can't be recorded now").After(retryAfter))
		return
	}
	a.refuse(refusal.NewUnknown(refusal.LogUnavailable, nil, "the call can't be recorded now; an earlier call with this key may have run").After(retryAfter))
}

// provenUnsent reports whether no attempt with this key was ever cleared to be
// sent. Only candidates clear attempts, so it holds when all of them answer
// and know none, and one of them had read the stream to its end after every
// other one, that might have forgotten some, had started.
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

// readAfterOthersStarted reports whether candidate i was in contact with the log after the
// other candidates had started.
func (a *attempt) readAfterOthersStarted(i int) bool {
	for j, other := range a.reports {
		if j != i && !other.started.Before(a.reports[i].lastContact) {
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
		"a call with this idempotency key was sent and its outcome is not known").After(retryAfter)
}
