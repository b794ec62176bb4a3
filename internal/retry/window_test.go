package retry

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// Daemons that share an allowance must stay within it in every span of time,
// while all attempts fail and the rate of requests varies.
func TestWindowsKeepTheSharedAllowance(t *testing.T) {
	const (
		span  = 10 * time.Second
		ratio = 0.2
		extra = 135.0
	)
	properties := gopter.NewProperties(nil)
	properties.Property("extra attempts in any span stay within the bound", prop.ForAll(func(daemons int, rates []int) bool {
		now := time.Unix(1000, 0)
		var all []*Window
		for range daemons {
			all = append(all, NewWindow(Options{
				Clock: func() time.Time { return now }, Span: span, Ratio: ratio, Extra: extra,
				Part: func() float64 { return 1 / float64(daemons) }, Stale: never,
			}))
		}
		const tick = 100 * time.Millisecond
		var requests, extras []int
		for _, rate := range rates {
			for range 20 {
				asked, granted := 0, 0
				for _, w := range all {
					for range rate {
						w.Request()
						asked++
						for w.Allow() {
							granted++
						}
					}
				}
				requests, extras = append(requests, asked), append(extras, granted)
				now = now.Add(tick)
			}
		}
		return withinBound(requests, extras, int(span/tick), ratio, extra)
	}, gen.IntRange(1, 21), gen.SliceOfN(12, gen.IntRange(0, 4))))
	properties.TestingRun(t)
}

// withinBound checks every span of n ticks. The bound counts the requests of the
// span or of the one before, whichever are more.
func withinBound(requests, extras []int, n int, ratio, extra float64) bool {
	for from := range extras {
		sum, asked, before := 0, 0, 0
		for i := from; i < min(from+n, len(extras)); i++ {
			sum += extras[i]
			asked += requests[i]
		}
		for i := max(0, from-n); i < from; i++ {
			before += requests[i]
		}
		if float64(sum) > ratio*float64(max(asked, before))+extra {
			return false
		}
	}
	return true
}

// The clock begins with the VM's boot, so the first buckets have small numbers.
func TestWindowWorksRightAfterBoot(t *testing.T) {
	now := time.Unix(0, 0)
	w := NewWindow(Options{
		Clock: func() time.Time { return now }, Span: 10 * time.Second, Extra: 1000,
		Part: func() float64 { return 1 }, Stale: never,
	})
	for range 300 {
		if !w.Allow() {
			t.Fatalf("no extra attempt is allowed %v after boot", now.Sub(time.Unix(0, 0)))
		}
		now = now.Add(100 * time.Millisecond)
	}
}
