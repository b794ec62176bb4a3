package check

import (
	"fmt"
	"time"

	"currantpulley/bench/soak/record"
	"currantpulley/bench/soak/site"
)

// Numbers of calls that may break a rule about sends without a finding.
const (
	attemptsFew = 3
	goneFew     = 3
	workedOnFew = 2
)

// goneSlack is the time after a caller has left during which its call may still reach
// an upstream.
const goneSlack = 500 * time.Millisecond

// Attempts checks that hardly any call runs at more upstreams than its route allows.
// Upstreams that ended meanwhile don't count.
func Attempts(r *record.All) []Finding {
	var over [][]record.Arrival
	for _, runs := range runsByAttempt(r) {
		counted := 0
		for _, a := range runs {
			if !hasEnded(r, a.Upstream) {
				counted++
			}
		}
		if counted > site.MaxAttempts {
			over = append(over, runs)
		}
	}
	if len(over) <= attemptsFew {
		return nil
	}
	return []Finding{{RuleAttempts, over[0][0].At, fmt.Sprintf("%d calls, one of them: %s ran at %s", len(over), over[0][0].Attempt, places(over[0]))}}
}

// Gone checks that hardly any call reaches an upstream well after its caller has left,
// or is worked on there, unless a pause or the network held it up.
func Gone(r *record.All) []Finding {
	left := make(map[string]record.Call)
	for _, c := range r.Calls {
		if c.Outcome == record.Left && !paused(r, c) {
			left[c.Attempt] = c
		}
	}
	return append(arrivedLate(r, left), workedOn(r, left)...)
}

// maxWorkedOn is the share of the calls that would have lasted longer of which upstreams
// may still work well after their callers have left.
const maxWorkedOn = 0.25

// workedOn finds calls on which upstreams worked well after their callers had left.
func workedOn(r *record.All, left map[string]record.Call) []Finding {
	var counted int
	var late []record.Work
	for _, w := range r.Works {
		c, ok := left[w.Attempt]
		end := c.Done.Add(goneSlack)
		if !ok || !w.Until.After(end) {
			continue
		}
		c.Done = w.Ended
		if disturbed(r, c, w.Upstream) {
			continue
		}
		counted++
		if w.Ended.After(end) {
			late = append(late, w)
		}
	}
	if len(late) <= workedOnFew || float64(len(late)) <= maxWorkedOn*float64(counted) {
		return nil
	}
	return []Finding{{RuleGone, late[0].Ended, fmt.Sprintf("%d of %d were worked on, the first: %s at %s, left at %s", len(late), counted,
		late[0].Attempt, late[0].Upstream, left[late[0].Attempt].Done.Format("05.000"))}}
}

// arrivedLate finds calls that reached upstreams well after their callers had left.
func arrivedLate(r *record.All, left map[string]record.Call) []Finding {
	var late []record.Arrival
	for _, a := range r.Arrivals {
		c, ok := left[a.Attempt]
		if !ok || a.At.Sub(c.Done) <= goneSlack {
			continue
		}
		c.Done = a.At
		if !disturbed(r, c, a.Upstream) { // else the call may have been under way for that long
			late = append(late, a)
		}
	}
	if len(late) <= goneFew {
		return nil
	}
	return []Finding{{RuleGone, late[0].At, fmt.Sprintf("%d arrivals, the first: %s, left at %s", len(late), places(late[:1]), left[late[0].Attempt].Done.Format("05.000"))}}
}
