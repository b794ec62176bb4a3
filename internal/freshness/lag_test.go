package freshness

import (
	"testing"
	"time"
)

// Updates that reach the daemons at slightly different times must not make them
// restart their reads. A read that hangs must be restarted, also when the report
// at hand comes from a daemon that is as far behind, and at most once per
// rereadInterval.
func TestLastingLagRestartsTheRead(t *testing.T) {
	var l Lag
	begin := Now()
	for _, tc := range []struct {
		after         time.Duration
		own, reported int64
		reread        bool
	}{
		{0, 5, 6, false},
		{100 * time.Millisecond, 6, 6, false},
		{5 * time.Second, 6, 8, false},
		{5*time.Second + lagMax/2, 6, 6, false},
		{5*time.Second + lagMax, 6, 8, false},
		{5*time.Second + lagMax + 1, 6, 6, true},
		{5*time.Second + lagMax + 2, 6, 8, false},
		{7 * time.Second, 6, 8, true},
		{9 * time.Second, 8, 8, false},
		{10 * time.Second, 8, 6, false},
	} {
		if got := l.ShouldReread(tc.own, tc.reported, begin.Add(tc.after)); got != tc.reread {
			t.Errorf("after %v: ShouldReread returned %t", tc.after, got)
		}
	}
}
