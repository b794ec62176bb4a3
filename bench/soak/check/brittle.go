package check

import (
	"fmt"
	"time"

	"currantpulley/bench/soak/plan"
	"currantpulley/bench/soak/record"
	"currantpulley/bench/soak/site"
)

// brittleFalls is the number of times that brittle upstreams of a service may end during
// one fault.
const brittleFalls = 2 + site.PlainUpstreams/10

// Brittle checks that upstreams which say that they are brittle hardly ever end because
// they have to reject too many requests.
func Brittle(r *record.All) []Finding {
	var falls []time.Time
	for _, a := range r.Arrivals {
		if a.Fell {
			falls = append(falls, a.At)
		}
	}
	spans := []record.Span{}
	for _, s := range r.Spans {
		if s.Kind == plan.Brittle {
			spans = append(spans, s)
		}
	}
	if len(falls) > 0 && len(spans) == 0 { // planted
		spans = append(spans, record.Span{Target: "no fault", From: falls[0], To: falls[len(falls)-1]})
	}
	var out []Finding
	for _, s := range spans {
		n := 0
		for _, at := range falls {
			if !at.Before(s.From) && !at.After(s.To) {
				n++
			}
		}
		if n > brittleFalls {
			out = append(out, Finding{RuleBrittle, s.To, fmt.Sprintf("%d times upstreams ended during a fault of %v, at most %d may", n, s.To.Sub(s.From).Round(time.Second), brittleFalls)})
		}
	}
	return out
}
