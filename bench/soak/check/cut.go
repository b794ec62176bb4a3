package check

import (
	"fmt"

	"currantpulley/bench/soak/plan"
	"currantpulley/bench/soak/record"
)

// Bounds on what daemons serve that are partitioned from all upstreams.
const (
	cutShare     = 2.0 / 3 // of the share that the other daemons serve
	cutFewFailed = 10      // first tries that may fail, and one of each cutPerTries
	cutPerTries  = 50
)

// tries counts first tries of calls at some daemons.
type tries struct{ all, served int }

func (t *tries) add(c record.Call) {
	t.all++
	if c.Outcome == record.Answered && c.Status >= 200 && c.Status < 300 {
		t.served++
	}
}

func (t *tries) share() float64 { return float64(t.served) / float64(max(1, t.all)) }

// Cut checks that daemons which are partitioned from all upstreams serve first tries
// nearly as often as the others from touchTime after the cut on.
func Cut(r *record.All) []Finding {
	first := firstTries(r)
	var out []Finding
	for _, s := range r.Spans {
		if s.Kind != plan.CutDaemons {
			continue
		}
		var own, others tries
		for _, c := range first {
			if c.Sent.Before(s.From.Add(touchTime)) || c.Done.After(s.To) || !inTouch(r, c.Daemon, c.Sent) {
				continue
			}
			if s.Cuts(c.Daemon) {
				own.add(c)
			} else {
				others.add(c)
			}
		}
		failed := own.all - own.served
		if own.share() < cutShare*others.share() && failed > cutFewFailed+(own.all+others.all)/cutPerTries {
			out = append(out, Finding{RuleCut, s.To, fmt.Sprintf("%s served %d of %d first tries, the others %d of %d",
				s.Target, own.served, own.all, others.served, others.all)})
		}
	}
	return out
}

// firstTries returns the first call of each request whose caller stayed.
func firstTries(r *record.All) map[string]record.Call {
	out := make(map[string]record.Call)
	for _, c := range r.Calls {
		known, ok := out[c.Request]
		if c.Outcome != record.Left && (!ok || c.Sent.Before(known.Sent)) {
			out[c.Request] = c
		}
	}
	return out
}
