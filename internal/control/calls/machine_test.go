package calls

import (
	"testing"
	"time"

	"currantpulley/internal/control/calls/callspb"
)

// entryOf returns an entry of an attempt with the given nonce.
func entryOf(kind callspb.Kind, nonce byte) *callspb.Entry {
	return &callspb.Entry{
		Kind: kind, Key: make([]byte, idBytes), Nonce: append(make([]byte, idBytes-1), nonce),
		BodyHash: make([]byte, idBytes), HorizonMs: uint64(time.Hour.Milliseconds()),
	}
}

// Guards against a late intent of a voided attempt that holds its key for ever: the
// void of another attempt, repeated while the log is in trouble, made the stream
// forget that the first was voided.
func TestRepeatedVoidsForgetNoOther(t *testing.T) {
	m := newMachine()
	m.advanceClock(time.Unix(1, 0))
	m.apply(entryOf(callspb.Kind_KIND_VOID, 1))
	for range voidedMax + 1 {
		m.apply(entryOf(callspb.Kind_KIND_VOID, 2))
	}
	if r := m.apply(entryOf(callspb.Kind_KIND_INTENT, 1)); r.Verdict != callspb.Verdict_VERDICT_FREE {
		t.Errorf("the late intent got %v", r.Verdict)
	}
	if r := m.apply(entryOf(callspb.Kind_KIND_INTENT, 3)); r.Verdict != callspb.Verdict_VERDICT_FIRST {
		t.Errorf("the next attempt got %v", r.Verdict)
	}
}
