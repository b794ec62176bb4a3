package check

import (
	"fmt"
	"sort"
	"time"

	"currantpulley/bench/soak/record"
)

// Budget checks for each service that in no window the arrivals beyond the first
// of each attempt exceed the share of its requests plus the extra. The requests are
// those that callers sent in that window, the one before or the one half a window
// before, whichever has most.
func Budget(r *record.All, ratio float64, extra int, window time.Duration) []Finding {
	repeats := make(map[string][]time.Time)
	seen := make(map[string]bool)
	for _, a := range r.Arrivals {
		if seen[a.Attempt] {
			repeats[a.Service] = append(repeats[a.Service], a.At)
		}
		seen[a.Attempt] = true
	}
	requests := make(map[string][]time.Time)
	for _, c := range r.Calls {
		requests[c.Service] = append(requests[c.Service], c.Sent)
	}
	var out []Finding
	for service, times := range repeats {
		if f, ok := worstWindow(service, times, requests[service], ratio, extra, window); ok {
			out = append(out, f)
		}
	}
	return out
}

// worstWindow returns a finding for the window with the largest excess of repeats, if
// one exceeds its bound.
func worstWindow(service string, repeats, requests []time.Time, ratio float64, extra int, window time.Duration) (Finding, bool) {
	var worst Finding
	excess := 0.0
	for i, end := range repeats {
		begin := end.Add(-window)
		count := i + 1 - sort.Search(len(repeats), func(k int) bool { return repeats[k].After(begin) })
		asked := 0
		for _, back := range []time.Duration{0, window / 2, window} {
			asked = max(asked, countBetween(requests, begin.Add(-back), end.Add(-back)))
		}
		bound := ratio*float64(asked) + float64(extra)
		if float64(count)-bound > excess {
			excess = float64(count) - bound
			worst = Finding{RuleBudget, end, fmt.Sprintf("%s: %d repeats in the %v before, bound %.0f (%d requests)", service, count, window, bound, asked)}
		}
	}
	return worst, excess > 0
}

// countBetween counts the sorted times after begin and not after end.
func countBetween(times []time.Time, begin, end time.Time) int {
	first := sort.Search(len(times), func(k int) bool { return times[k].After(begin) })
	last := sort.Search(len(times), func(k int) bool { return times[k].After(end) })
	return last - first
}
