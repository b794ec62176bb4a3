package calls

import (
	"bytes"
	"slices"
	"time"

	"currantpulley/internal/control/calls/callspb"
)

const (
	idBytes     = 16 // of keys, nonces and body hashes
	voidedMax   = 8  // voided nonces kept per key
	horizonMax  = 30 * 24 * time.Hour
	sweepPeriod = time.Minute // by the stream's clock
)

// id is the digest of a key or a body, or the nonce of an attempt.
type id [idBytes]byte

func toID(b []byte) id {
	var out id
	copy(out[:], b)
	return out
}

// keyState is a stream's state of one key.
type keyState struct {
	intent  *callspb.Entry   // of the attempt that holds the key; nil: the key is free
	outcome *callspb.Outcome // nil: the call is in flight or its outcome was lost
	voided  []id             // nonces of voided attempts, whose intents are ignored
	expires time.Time        // by the stream's clock
}

// heldBy reports whether the attempt with this nonce holds the key.
func (c *keyState) heldBy(nonce []byte) bool {
	return c.intent != nil && bytes.Equal(c.intent.Nonce, nonce)
}

// addVoided keeps the nonce of a voided attempt, once even if its void was recorded
// more than once, and forgets the oldest when there are too many.
func (c *keyState) addVoided(nonce id) {
	if slices.Contains(c.voided, nonce) {
		return
	}
	c.voided = append(c.voided, nonce)
	if len(c.voided) > voidedMax {
		c.voided = c.voided[1:]
	}
}

// machine is the replicated state machine of one stream. Its state depends only
// on the records and their order. Machines that applied the same records are
// equal, so any daemon may reply for the stream.
type machine struct {
	keys      map[id]*keyState
	clock     time.Time // latest time of an applied record
	lastSweep time.Time // by clock
}

func newMachine() *machine { return &machine{keys: make(map[id]*keyState)} }

// advanceClock moves the stream's clock forward to at, and deletes expired keys
// every sweepPeriod. The log's own clock may step back; the stream's doesn't.
func (m *machine) advanceClock(at time.Time) {
	at = time.UnixMilli(at.UnixMilli()) // the precision of a snapshot
	if at.After(m.clock) {
		m.clock = at
	}
	if m.clock.Sub(m.lastSweep) < sweepPeriod {
		return
	}
	m.lastSweep = m.clock
	for k, c := range m.keys {
		if !m.clock.Before(c.expires) {
			delete(m.keys, k)
		}
	}
}

// find returns the state of key, or nil if there is none or it has expired.
func (m *machine) find(key id) *keyState {
	c := m.keys[key]
	if c == nil || !m.clock.Before(c.expires) {
		return nil
	}
	return c
}

// apply applies an entry and returns the reply to its writer. The caller must
// first have called advanceClock with the time of the entry's record.
func (m *machine) apply(e *callspb.Entry) *callspb.SubmitReply {
	switch e.Kind {
	case callspb.Kind_KIND_INTENT:
		return m.applyIntent(e)
	case callspb.Kind_KIND_VOID:
		m.applyVoid(e)
	case callspb.Kind_KIND_OUTCOME:
		m.applyOutcome(e)
	}
	return &callspb.SubmitReply{Verdict: callspb.Verdict_VERDICT_FIRST}
}

func (m *machine) applyIntent(e *callspb.Entry) *callspb.SubmitReply {
	c := m.find(toID(e.Key))
	if c == nil {
		c = &keyState{}
		m.keys[toID(e.Key)] = c
	}
	if c.intent == nil && !slices.Contains(c.voided, toID(e.Nonce)) {
		c.intent = e
		c.expires = later(c.expires, m.clock.Add(retentionOf(e)))
	}
	return m.verdictFor(e.Key, e.Nonce, e.BodyHash)
}

// verdictFor returns the reply on key to an attempt with the given nonce and
// body.
func (m *machine) verdictFor(key, nonce, bodyHash []byte) *callspb.SubmitReply {
	c := m.find(toID(key))
	switch {
	case c == nil || c.intent == nil:
		return &callspb.SubmitReply{Verdict: callspb.Verdict_VERDICT_FREE}
	case c.heldBy(nonce):
		return &callspb.SubmitReply{Verdict: callspb.Verdict_VERDICT_FIRST}
	case !bytes.Equal(c.intent.BodyHash, bodyHash):
		return &callspb.SubmitReply{Verdict: callspb.Verdict_VERDICT_CONFLICT, HolderVm: c.intent.Vm}
	case c.outcome != nil:
		return &callspb.SubmitReply{Verdict: callspb.Verdict_VERDICT_OUTCOME, Outcome: c.outcome, HolderVm: c.intent.Vm}
	}
	return &callspb.SubmitReply{Verdict: callspb.Verdict_VERDICT_IN_FLIGHT, HolderVm: c.intent.Vm}
}

// applyVoid frees a key that the voided attempt holds. If the append of an
// intent was delayed, its void may precede it in the log; the intent is then
// ignored.
func (m *machine) applyVoid(e *callspb.Entry) {
	c := m.find(toID(e.Key))
	if c == nil {
		c = &keyState{}
		m.keys[toID(e.Key)] = c
	}
	if c.heldBy(e.Nonce) {
		if c.outcome != nil {
			return
		}
		c.intent = nil
	}
	c.addVoided(toID(e.Nonce))
	c.expires = later(c.expires, m.clock.Add(retentionOf(e)))
}

func (m *machine) applyOutcome(e *callspb.Entry) {
	c := m.find(toID(e.Key))
	if c != nil && c.heldBy(e.Nonce) && c.outcome == nil {
		c.outcome = e.Outcome
	}
}

func retentionOf(e *callspb.Entry) time.Duration {
	return min(time.Duration(e.HorizonMs)*time.Millisecond, horizonMax)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
