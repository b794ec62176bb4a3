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
		{"newest version", 0, false, limit / 2},
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

// A version that this daemon learns of only some time after its announcement must
// not let a request wait past the limit, also when it was announced before the
// request was sent.
func TestVersionLearnedLateIsCutInTime(t *testing.T) {
	const (
		limit = 9 * time.Second
		step  = 100 * time.Millisecond
	)
	for announced := -limit / 2; announced < limit; announced += step {
		for learned := announced; learned <= announced+limit/2; learned += step {
			at := time.Duration(0) // since the request was sent
			for {
				delay := untilTooOld(at-announced, at >= learned, limit)
				if delay <= 0 {
					break
				}
				at += delay
			}
			if at > announced+limit {
				t.Fatalf("announced at %v, learned at %v: the request waits until %v, %v after the announcement", announced, learned, at, at-announced)
			}
		}
	}
}
