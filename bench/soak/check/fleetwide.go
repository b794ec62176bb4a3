package check

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"currantpulley/bench/soak/plan"
	"currantpulley/bench/soak/record"
)

// Bounds over all daemons together.
const (
	partCrashes   = 5 // after which requests with a part that crashes engines are held back
	sameCrashes   = 3 // the same of a request that comes again
	harmfulFew    = 3 // requests that may still arrive
	limitSpan     = 4 * time.Second
	limitFactor   = 1.5
	limitExtra    = 5
	limitToldTime = 500 * time.Millisecond // from an answer with the limit until its daemon keeps to it
)

// callsByAttempt returns the calls by their attempts.
func callsByAttempt(r *record.All) map[string]record.Call {
	out := make(map[string]record.Call, len(r.Calls))
	for _, c := range r.Calls {
		out[c.Attempt] = c
	}
	return out
}

// inTouch reports whether a daemon ran without a disturbance for touchTime before a
// moment.
func inTouch(r *record.All, daemon string, at time.Time) bool {
	return !slices.ContainsFunc(r.Spans, func(s record.Span) bool {
		return plan.IsDaemon(s.Kind) && s.Target == daemon && s.From.Before(at) && s.To.Add(touchTime).After(at)
	})
}

// Crashes checks that hardly any request with a part of its prompt under which engines
// ended reaches one later than touchTime after the fifth of them.
func Crashes(r *record.All) []Finding {
	return harmful(r, RuleCrashes, partCrashes, func(a record.Arrival) string { return a.Part })
}

// Same checks that a request that comes again, under which upstreams ended, hardly
// reaches one later than touchTime after the third of them.
func Same(r *record.All) []Finding {
	return harmful(r, RuleSame, sameCrashes, func(a record.Arrival) string { return a.Same })
}

// harmful returns findings of a rule for each cause under which upstreams ended and
// which reaches too many later than touchTime after it is known from so many crashes.
func harmful(r *record.All, rule string, known int, causeOf func(record.Arrival) string) []Finding {
	calls := callsByAttempt(r)
	byCause := make(map[string][]record.Arrival)
	for _, a := range r.Arrivals {
		if cause := causeOf(a); cause != "" {
			byCause[cause] = append(byCause[cause], a)
		}
	}
	var out []Finding
	for _, cause := range slices.Sorted(maps.Keys(byCause)) {
		arrivals := byCause[cause]
		if len(arrivals) < known {
			continue
		}
		bound := arrivals[known-1].At.Add(touchTime)
		late := slices.DeleteFunc(slices.Clone(arrivals), func(a record.Arrival) bool {
			return !a.At.After(bound) || !inTouch(r, calls[a.Attempt].Daemon, a.At)
		})
		if len(late) > harmfulFew {
			out = append(out, Finding{rule, late[harmfulFew].At, fmt.Sprintf("%d requests with %s arrived later than %v after crash %d, %d in all",
				len(late), cause, touchTime, known, len(arrivals))})
		}
	}
	return out
}

// Limits checks that an upstream that states a limit gets not much more from all daemons
// that it has told.
func Limits(r *record.All) []Finding {
	calls := callsByAttempt(r)
	byUpstream := make(map[string][]record.Arrival)
	for _, a := range r.Arrivals {
		if a.Limit > 0 {
			byUpstream[a.Upstream] = append(byUpstream[a.Upstream], a)
		}
	}
	var out []Finding
	for _, upstream := range slices.Sorted(maps.Keys(byUpstream)) {
		if f, broken := limitOf(r, upstream, byUpstream[upstream], calls); broken {
			out = append(out, f)
		}
	}
	return out
}

// limitOf returns a finding if the arrivals at an upstream, which states a limit, are
// too many in some span.
func limitOf(r *record.All, upstream string, arrivals []record.Arrival, calls map[string]record.Call) (Finding, bool) {
	told := make(map[string]time.Time) // since when, by daemon
	var counted []record.Arrival
	for _, a := range arrivals {
		c := calls[a.Attempt]
		since, ok := told[c.Daemon]
		if ok && a.At.Sub(since) > limitToldTime && a.At.Sub(arrivals[0].At) > touchTime && inTouch(r, c.Daemon, a.At) {
			counted = append(counted, a)
		}
		if !ok && c.Status != 0 {
			told[c.Daemon] = c.Done
		}
	}
	first := 0
	for last, a := range counted {
		for a.At.Sub(counted[first].At) > limitSpan {
			first++
		}
		allowed := int(limitFactor*a.Limit*limitSpan.Seconds()) + limitExtra
		if n := last - first + 1; n > allowed {
			return Finding{RuleLimit, a.At, fmt.Sprintf("%s with a limit of %.2f a second got %d requests in %v, allowed %d", upstream, a.Limit, n, limitSpan, allowed)}, true
		}
	}
	return Finding{}, false
}
