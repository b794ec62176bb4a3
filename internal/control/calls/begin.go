package calls

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"sync/atomic"
	"time"

	"currantpulley/internal/control/calls/callspb"
	"currantpulley/internal/event"
	"currantpulley/internal/fleet"
	"currantpulley/internal/refusal"
)

// sendWindowMax bounds the time from the submission of an intent to the first
// byte of the call. Intents are retained for the horizon plus this window, so
// that a repeat is recognised for the whole horizon after the call was sent.
const sendWindowMax = 5 * time.Minute

func sendWindow(horizon time.Duration) time.Duration { return min(sendWindowMax, horizon/2) }

// retention returns how long an intent is kept.
func retention(horizon time.Duration) time.Duration { return horizon + sendWindow(horizon) }

// Request describes a call that must run at most once.
type Request struct {
	Workspace string
	Key       string // the caller's Idempotency-Key
	Body      []byte // identifies the call; the same key with another body is a conflict
}

// Outcome is the recorded result of a call that ran or may have run.
type Outcome = callspb.Outcome

// Call is the exclusive right to send a call once. It ends with Void or
// Finish.
type Call struct {
	calls     *Calls
	entry     *callspb.Entry
	stream    int
	startedAt time.Time // before the intent was submitted
	window    time.Duration
	closed    atomic.Bool // Void or Finish was called
}

// Begin records the intent to make a call. It returns either a Call, which may
// be sent, or the outcome of the first call with this key. The error is a
// *refusal.Error; its effect says whether an earlier call may have run.
func (c *Calls) Begin(ctx context.Context, r Request) (*Call, *Outcome, error) {
	cfg := c.Config()
	if cfg == nil {
		return nil, nil, refusal.New(refusal.NoConfiguration, "no configuration is in force")
	}
	now := time.Now()
	if err := checkKeyAge(now, r.Key, horizon(cfg)); err != nil {
		return nil, nil, err
	}
	key := keyDigest(r.Workspace, r.Key)
	n := int(binary.LittleEndian.Uint64(key[:]) % uint64(streamCount(cfg)))
	live := candidates(c.View().Live(), n)
	call := &Call{calls: c, stream: n, startedAt: now, window: sendWindow(horizon(cfg))}
	a := &attempt{
		entry:      c.newIntent(key, bodyHash(r.Body), horizon(cfg)),
		candidates: vmNames(live),
		waitUntil:  now.Add(callWait(cfg)),
	}
	if err := c.runAttempt(ctx, n, live, a); err != nil {
		call.entry = a.entry
		call.Void()
		return nil, nil, err
	}
	return c.beginResult(call, a)
}

// beginResult returns the results of Begin for an attempt that ended.
func (c *Calls) beginResult(call *Call, a *attempt) (*Call, *Outcome, error) {
	call.entry = a.entry
	if a.end == endWon {
		c.Recorder.Record(event.Event{ID: event.CallRecorded})
		return call, nil, nil
	}
	if a.ambiguous {
		call.Void()
	}
	if a.end == endOutcome {
		c.Recorder.Record(event.Event{ID: event.CallRepeated, Detail: a.outcome.Result.String()})
		return nil, a.outcome, nil
	}
	return nil, nil, a.refused
}

// runAttempt performs the I/O of an attempt until it ends. If ctx ends first,
// it returns an error and the attempt's intent may be in the log.
func (c *Calls) runAttempt(ctx context.Context, n int, live []fleet.VM, a *attempt) error {
	for {
		if ctx.Err() != nil {
			return refusal.NewUnknown(refusal.DeadlineExceeded, ctx.Err(), "the call was given up before it was sent; an earlier one with this key may have run")
		}
		kind, _ := a.step(time.Now())
		switch kind {
		case stepEnd:
			return nil
		case stepSubmit:
			vm := live[a.candidateIndex]
			reply, err := c.submitTo(ctx, vm, &callspb.SubmitRequest{Stream: uint32(n), Entry: a.entry, MaybeAppended: a.ambiguous})
			if err != nil && ctx.Err() == nil {
				c.Recorder.Record(event.Event{ID: event.CallBatcherFailed, Peer: vm.Name, Err: err})
			}
			a.handleSubmitReply(time.Now(), reply)
		case stepAwait:
			wait := max(time.Until(a.waitUntil), 0)
			reply, _ := c.awaitAt(ctx, live[a.candidateIndex], &callspb.AwaitRequest{
				Stream: uint32(n), Key: a.entry.Key, Nonce: a.entry.Nonce, BodyHash: a.entry.BodyHash, WaitMs: uint32(wait.Milliseconds()),
			})
			a.handleAwaitReply(time.Now(), reply)
		}
	}
}

func (c *Calls) newIntent(key, body id, horizon time.Duration) *callspb.Entry {
	nonce := newNonce()
	return &callspb.Entry{
		Kind: callspb.Kind_KIND_INTENT, Key: key[:], Nonce: nonce[:], BodyHash: body[:],
		Vm: c.Self, Incarnation: c.incarnation, HorizonMs: uint64(retention(horizon).Milliseconds()),
	}
}

// CheckSend reports whether the call may be sent now. It must be called right
// before the first byte of each try is sent. SentBefore says that a byte of an
// earlier try may have been sent; the call is then refused, as it is after the
// send window or once ctx ended. The error is a *refusal.Error.
func (c *Call) CheckSend(ctx context.Context, sentBefore bool) error {
	return c.clear(ctx, time.Now(), sentBefore)
}

// clear is CheckSend at the time now.
func (c *Call) clear(ctx context.Context, now time.Time, sentBefore bool) error {
	switch {
	case sentBefore:
		return refusal.NewUnknown(refusal.OutcomeUnknown, errSentBefore, "the call was sent and its outcome is not known")
	case c.closed.Load():
		return refusal.New(refusal.LogUnavailable, "the call was given up before it was sent")
	case ctx.Err() != nil:
		return refusal.New(refusal.DeadlineExceeded, "the caller went away before the call was sent").WithCause(ctx.Err())
	case elapsed(c.startedAt, now) > c.window:
		return refusal.New(refusal.DeadlineExceeded, "the call was held up for too long before it was sent")
	}
	return nil
}

var errSentBefore = errors.New("an at-most-once call must not be sent a second time")

// Void gives up a call that was not sent and frees its key. The void is
// recorded in the background. After Void or Finish it does nothing.
func (c *Call) Void() {
	if c.closed.Swap(true) {
		return
	}
	c.calls.Recorder.Record(event.Event{ID: event.CallVoided})
	c.calls.submitInBackground(&backgroundEntry{stream: c.stream, startedAt: c.startedAt, entry: &callspb.Entry{
		Kind: callspb.Kind_KIND_VOID, Key: c.entry.Key, Nonce: c.entry.Nonce, HorizonMs: c.entry.HorizonMs,
	}})
}

// Finish records the outcome of a call that was sent, in the background. After
// Void or Finish it does nothing.
func (c *Call) Finish(o *Outcome) {
	if c.closed.Swap(true) {
		return
	}
	c.calls.submitInBackground(&backgroundEntry{stream: c.stream, startedAt: c.startedAt, entry: &callspb.Entry{
		Kind: callspb.Kind_KIND_OUTCOME, Key: c.entry.Key, Nonce: c.entry.Nonce, Outcome: o, HorizonMs: c.entry.HorizonMs,
	}})
}

// elapsed returns the time from a to b by the monotonic or the wall clock,
// whichever is longer: the monotonic clock may stop while a VM is suspended.
func elapsed(a, b time.Time) time.Duration {
	return max(b.Sub(a), b.Round(0).Sub(a.Round(0)))
}

func vmNames(vms []fleet.VM) []string {
	out := make([]string, len(vms))
	for i, vm := range vms {
		out[i] = vm.Name
	}
	return out
}

// keyDigest returns the id of an idempotency key within a workspace. The
// length prefix keeps pairs with equal concatenations apart.
func keyDigest(workspace, key string) id {
	h := sha256.New()
	var n [8]byte
	binary.LittleEndian.PutUint64(n[:], uint64(len(workspace)))
	h.Write(n[:])
	h.Write([]byte(workspace))
	h.Write([]byte(key))
	return toID(h.Sum(nil))
}

func bodyHash(body []byte) id {
	sum := sha256.Sum256(body)
	return toID(sum[:])
}
