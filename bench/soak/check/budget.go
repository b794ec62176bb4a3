package check

import (
	"fmt"
	"maps"
	"slices"
	"sort"
	"time"

	"currantpulley/bench/soak/record"
)

// Usage is how much of the retry budget of a service was used in its worst window.
type Usage struct {
	Service  string
	End      time.Time // of the window
	Repeats  int       // arrivals beyond the first of each attempt
	Requests int       // that callers sent
	Bound    float64   // repeats that were allowed
}

// String returns the usage as text.
func (u Usage) String() string {
	return fmt.Sprintf("%s: %d repeats, bound %.0f (%d requests)", u.Service, u.Repeats, u.Bound, u.Requests)
}

// Budget checks for each service that in no window the arrivals beyond the first of
// each attempt exceed the share of its requests plus the extra. The requests are those
// that callers sent in that window, the one before or the one half a window before,
// whichever has most.
func Budget(r *record.All, ratio float64, extra int, window time.Duration) []Finding {
	var out []Finding
	for _, u := range Usages(r, ratio, extra, window) {
		if float64(u.Repeats) > u.Bound {
			out = append(out, Finding{RuleBudget, u.End, fmt.Sprintf("in the %v before, %v", window, u)})
		}
	}
	return out
}

// Usages returns the worst window of each service that got a repeat.
func Usages(r *record.All, ratio float64, extra int, window time.Duration) []Usage {
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
	var out []Usage
	for _, service := range slices.Sorted(maps.Keys(repeats)) {
		u := worstWindow(repeats[service], requests[service], ratio, extra, window)
		u.Service = service
		out = append(out, u)
	}
	return out
}

// worstWindow returns the window whose repeats exceed their bound by most, or come
// closest to it.
func worstWindow(repeats, requests []time.Time, ratio float64, extra int, window time.Duration) Usage {
	var worst Usage
	for i, end := range repeats {
		begin := end.Add(-window)
		u := Usage{End: end, Repeats: i + 1 - sort.Search(len(repeats), func(k int) bool { return repeats[k].After(begin) })}
		for _, back := range []time.Duration{0, window / 2, window} {
			u.Requests = max(u.Requests, countBetween(requests, begin.Add(-back), end.Add(-back)))
		}
		u.Bound = ratio*float64(u.Requests) + float64(extra)
		if i == 0 || float64(u.Repeats)-u.Bound > float64(worst.Repeats)-worst.Bound {
			worst = u
		}
	}
	return worst
}

// countBetween counts the sorted times after begin and not after end.
func countBetween(times []time.Time, begin, end time.Time) int {
	first := sort.Search(len(times), func(k int) bool { return times[k].After(begin) })
	last := sort.Search(len(times), func(k int) bool { return times[k].After(end) })
	return last - first
}
