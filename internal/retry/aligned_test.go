package retry

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a window that is shorter than its span: extra attempts that were
// taken late in a bucket were forgotten up to one bucket too early, so that two bursts
// arrived within one span.
func TestWindowRemembersForAWholeSpan(t *testing.T) {
	const (
		span  = 10 * time.Second
		tick  = 20 * time.Millisecond
		extra = 100
		late  = 500 * time.Millisecond // after it was allowed an attempt may arrive
	)
	for offset := time.Duration(0); offset < span/bucketsPerSpan; offset += tick {
		t.Run(fmt.Sprint(offset, " after a bucket began"), func(t *testing.T) {
			now := time.Unix(1000, 0).Add(offset)
			w := NewWindow(Options{
				Clock: func() time.Time { return now }, Span: span, Extra: extra,
				Part: func() float64 { return 1 }, Stale: func() bool { return false },
			})
			var taken []time.Time
			for range 3 * span / tick {
				for w.Allow() {
					taken = append(taken, now)
				}
				now = now.Add(tick)
			}
			for i, first := range taken {
				if i+extra < len(taken) && taken[i+extra].Sub(first) < span+late {
					t.Fatalf("more than %d extra attempts in %v", extra, taken[i+extra].Sub(first))
				}
			}
		})
	}
}
