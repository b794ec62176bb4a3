package gateway

import (
	"testing"
	"time"
)

// A check must neither come after the moment at which the weights become too old
// nor repeat at once.
func TestUntilTooOld(t *testing.T) {
	const limit = 9 * time.Second
	for _, tc := range []struct {
		name   string
		age    time.Duration
		behind bool
		want   time.Duration
	}{
		{"newest version", 0, false, limit},
		{"just announced", 0, true, limit},
		{"behind by less than the limit", 7 * time.Second, true, 2 * time.Second},
		{"just before the limit", limit - 1, true, 1},
		{"at the limit", limit, true, 0},
		{"after the limit", limit + time.Minute, true, -time.Minute},
		{"announced by a clock that is ahead", -time.Second, true, limit + time.Second},
	} {
		if got := untilTooOld(tc.age, tc.behind, limit); got != tc.want {
			t.Errorf("%s: %v, want %v", tc.name, got, tc.want)
		}
	}
}
