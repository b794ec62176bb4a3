package actions

import (
	"testing"
	"time"
)

// TestLedgerFindsDoublesAndFalseRefusals guards against a ledger that misses
// duplicate runs or false refusals: the scenario would then pass with them.
func TestLedgerFindsDoublesAndFalseRefusals(t *testing.T) {
	before := time.Now()
	l := newLedger()
	l.run("once", 1)
	l.run("twice", 2)
	l.run("twice", 3)
	after := time.Now().Add(time.Millisecond)
	if n := l.doubles(); n != 1 {
		t.Errorf("%d doubles, want 1", n)
	}
	for name, c := range map[string]struct {
		key     string
		request int64
		arrived time.Time
		want    bool
	}{
		"the request itself ran":  {"once", 1, before, true},
		"it had run before":       {"once", 9, after, true},
		"it ran after it arrived": {"once", 9, before, false},
		"it never ran":            {"never", 9, after, false},
	} {
		if got := l.isFalseRefusal(c.key, c.request, c.arrived); got != c.want {
			t.Errorf("%s: false refusal %v, want %v", name, got, c.want)
		}
	}
}
