// Package check holds the promises that a soak checks, from what callers and
// upstreams recorded.
package check

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"currantpulley/bench/soak/plan"
	"currantpulley/bench/soak/record"
	"currantpulley/bench/soak/site"
)

// Names of rules.
const (
	RuleTwice    = "TWICE"    // a call that may run once ran more often
	RuleRefused  = "REFUSED"  // a call was refused as not run and ran
	RuleBudget   = "BUDGET"   // a service got more repeats than allowed
	RuleMixed    = "MIXED"    // an answer is not its upstream's whole answer to this call
	RuleUnasked  = "UNASKED"  // an upstream ran what no caller sent, or something else
	RuleOrder    = "ORDER"    // a stream is not whole, in order and of one software version
	RuleLost     = "LOST"     // connections were closed without an answer though nothing was wrong
	RuleAttempts = "ATTEMPTS" // calls ran at more upstreams than their route allows
	RuleGone     = "GONE"     // calls reached upstreams well after their callers had left
	RuleLate     = "LATE"     // neither an answer nor a close in time
	RuleDenied   = "DENIED"   // proper calls were refused as improper
	RuleRecover  = "RECOVER"  // a daemon does not serve after the last fault
	RuleMemory   = "MEMORY"   // a daemon holds more memory than its limit
	RuleCrashes  = "CRASHES"  // requests with a part that crashes engines go on reaching them
	RuleSame     = "SAME"     // a request that comes again and crashes upstreams goes on reaching them
	RuleCut      = "CUT"      // daemons without a way to the upstreams serve far less than the others
	RuleBrittle  = "BRITTLE"  // upstreams that say so end because they have to reject too many
	RuleLeaving  = "LEAVING"  // an upstream gets calls of a daemon long after it has told it that it leaves
	RulePause    = "PAUSE"    // an upstream gets calls of a daemon in the time for which it has told it that it wants none
	RuleQuota    = "QUOTA"    // a workspace's calls run more often than its quota allows
	RuleLimit    = "LIMIT"    // an upstream gets more than the limit that it states
)

// Rules lists the rules in the order of the report.
var Rules = []string{
	RuleTwice, RuleRefused, RuleBudget, RuleMixed, RuleUnasked, RuleOrder, RuleLost, RuleAttempts, RuleGone, RuleLate, RuleDenied, RuleRecover, RuleMemory, RuleCrashes, RuleSame, RuleCut, RuleBrittle, RuleLimit, RuleQuota,
	RuleLeaving, RulePause,
}

// Finding is a broken promise.
type Finding struct {
	Rule   string
	At     time.Time
	Detail string
}

// All checks all rules.
func All(r *record.All) []Finding {
	return slices.Concat(
		Twice(r), Refused(r), Budget(r, site.RetryRatio, site.RetryExtra, site.RetryWindow),
		Mixed(r), Unasked(r), Order(r), Lost(r), Attempts(r), Gone(r), Late(r), Denied(r), Recover(r), Memory(r), Crashes(r), Same(r), Cut(r), Brittle(r), Limits(r), Quota(r), Leaving(r), Pauses(r),
	)
}

// runsByAttempt returns the runs of each attempt.
func runsByAttempt(r *record.All) map[string][]record.Arrival {
	out := make(map[string][]record.Arrival)
	for _, a := range r.Arrivals {
		if a.Ran {
			out[a.Attempt] = append(out[a.Attempt], a)
		}
	}
	return out
}

// Twice checks that no call that may run once ran more often.
func Twice(r *record.All) []Finding {
	runs := runsByAttempt(r)
	var out []Finding
	for _, c := range r.Calls {
		if ran := runs[c.Attempt]; c.Once && len(ran) > 1 {
			out = append(out, Finding{RuleTwice, ran[1].At, fmt.Sprintf("%s ran at %s", describe(c), places(ran))})
		}
	}
	return out
}

// promisesNotRun reports whether a status tells the caller that its call has not run
// and never will.
func promisesNotRun(status int) bool {
	return status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest ||
		status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// Refused checks that no call that may run once ran, before or after, although
// it was refused as not run.
func Refused(r *record.All) []Finding {
	runs := runsByAttempt(r)
	var out []Finding
	for _, c := range r.Calls {
		if ran := runs[c.Attempt]; c.Once && promisesNotRun(c.Status) && len(ran) > 0 {
			out = append(out, Finding{RuleRefused, ran[0].At, fmt.Sprintf("%s ran at %s", describe(c), places(ran))})
		}
	}
	return out
}

// describe returns a call as text.
func describe(c record.Call) string {
	return fmt.Sprintf("%s %s %s at %s: %s %d after %v", c.Attempt, c.Method, c.Route, c.Daemon, c.Outcome, c.Status,
		c.Done.Sub(c.Sent).Round(time.Millisecond))
}

// places returns where runs took place, with the trouble that each met.
func places(runs []record.Arrival) string {
	var out []string
	for _, a := range runs {
		trouble := a.Trouble
		if trouble == "" {
			trouble = "no trouble"
		}
		out = append(out, fmt.Sprintf("%s at %s (%s)", a.Upstream, a.At.Format("05.000"), trouble))
	}
	return strings.Join(out, ", ")
}

// arrivalsBySeal returns the runs by the seals of their answers.
func arrivalsBySeal(r *record.All) map[string]record.Arrival {
	out := make(map[string]record.Arrival)
	for _, a := range r.Arrivals {
		if a.Seal != "" {
			out[a.Seal] = a
		}
	}
	return out
}

// Mixed checks that answers belong to their call and are those of the upstream.
func Mixed(r *record.All) []Finding {
	bySeal := arrivalsBySeal(r)
	var out []Finding
	for _, c := range r.Calls {
		problem := c.Problem
		a, known := bySeal[c.Seal]
		switch {
		case problem != "" || c.Seal == "":
		case !known || a.Attempt != c.Attempt:
			problem = "the seal " + c.Seal + " is not that of a run of this attempt"
		case a.Status != c.Status && c.LastEvent == 0:
			problem = fmt.Sprintf("the upstream answered with status %d", a.Status)
		}
		if problem != "" && !isOrder(problem) && !brokenOffUnnoticed(r, c.Attempt) {
			out = append(out, Finding{RuleMixed, c.Done, describe(c) + ": " + problem})
		}
	}
	return out
}

// brokenOffUnnoticed reports whether an answer without a length, which ends with its
// connection, may have ended because its upstream's process ended. Nobody can tell that
// end from the proper one.
func brokenOffUnnoticed(r *record.All, attempt string) bool {
	return slices.ContainsFunc(r.Arrivals, func(a record.Arrival) bool {
		return a.Attempt == attempt && a.Ran && slices.Contains(unframedTroubles, a.Trouble) && hasEnded(r, a.Upstream)
	})
}

// unframedTroubles are the troubles with answers without a length.
var unframedTroubles = []string{plan.NoLength, plan.EndlessBody, plan.CutByReset}

func hasEnded(r *record.All, instance string) bool {
	return slices.ContainsFunc(r.Spans, func(s record.Span) bool { return s.Instance == instance })
}

// Unasked checks that upstreams ran only what callers sent, unchanged.
func Unasked(r *record.All) []Finding {
	digests := make(map[string]string)
	for _, c := range r.Calls {
		digests[c.Attempt] = c.Digest
	}
	var out []Finding
	for _, a := range r.Arrivals {
		digest, sent := digests[a.Attempt]
		if !a.Ran || sent && digest == a.Digest || strings.HasPrefix(a.Attempt, ProbePrefix) {
			continue
		}
		out = append(out, Finding{RuleUnasked, a.At, fmt.Sprintf("%s %s at %s: sent by a caller %t", a.Attempt, a.Method, a.Upstream, sent)})
	}
	return out
}

// ProbePrefix begins the ids of the probes after the last fault, which no caller sends.
const ProbePrefix = "probe-"

// isOrder reports whether a problem of an answer concerns the order of its events.
func isOrder(problem string) bool {
	return strings.HasPrefix(problem, "event ") || strings.HasPrefix(problem, "the stream ")
}

// Order checks that streams are in order, whole if they seem so, and of one
// software version over all attempts of a caller.
func Order(r *record.All) []Finding {
	software := make(map[string]string) // by request
	var out []Finding
	for _, c := range r.Calls {
		if isOrder(c.Problem) && !brokenOffUnnoticed(r, c.Attempt) {
			out = append(out, Finding{RuleOrder, c.Done, describe(c) + ": " + c.Problem})
		}
		for _, e := range c.Events {
			if first, ok := software[c.Request]; ok && first != e.Software {
				out = append(out, Finding{RuleOrder, c.Done, fmt.Sprintf("%s: event %d of software %s after events of %s", describe(c), e.ID, e.Software, first)})
				break
			}
			software[c.Request] = e.Software
		}
	}
	return out
}

// Late checks that each call was answered or its connection closed in time,
// unless its daemon was paused meanwhile.
func Late(r *record.All) []Finding {
	var out []Finding
	for _, c := range r.Calls {
		late := c.Done.Sub(c.Sent) > c.Limit+site.AnswerSlack
		if (late || c.Outcome == record.Late) && c.Outcome != record.Left && !paused(r, c) {
			out = append(out, Finding{RuleLate, c.Done, fmt.Sprintf("%s, limit %v", describe(c), c.Limit.Round(time.Millisecond))})
		}
	}
	return out
}

// paused reports whether the daemon of a call was paused while it waited.
func paused(r *record.All, c record.Call) bool {
	return slices.ContainsFunc(r.Spans, func(s record.Span) bool {
		return s.Kind == plan.PauseDaemon && s.Target == c.Daemon && s.From.Before(c.Done) && s.To.After(c.Sent)
	})
}

// Bounds of the calls that may be refused as improper: a few, plus a share of all.
const (
	deniedFew   = 5
	deniedShare = 1.0 / 500
)

// Denied checks that daemons refuse hardly any proper call as improper.
func Denied(r *record.All) []Finding {
	var denied []record.Call
	for _, c := range r.Calls {
		if c.Status >= 300 && c.Status < 500 && !promisesNotRun(c.Status) && c.Seal == "" {
			denied = append(denied, c)
		}
	}
	if float64(len(denied)) <= deniedFew+deniedShare*float64(len(r.Calls)) {
		return nil
	}
	return []Finding{{RuleDenied, denied[0].Done, fmt.Sprintf("%d of %d calls, the first: %s", len(denied), len(r.Calls), describe(denied[0]))}}
}

// Recover checks that each daemon served each route in time after the last
// fault.
func Recover(r *record.All) []Finding {
	var out []Finding
	for _, one := range r.Recoveries {
		if one.After < 0 || one.After > site.Recovery {
			out = append(out, Finding{Rule: RuleRecover, Detail: fmt.Sprintf("%s, route %s: not served within %v", one.Daemon, one.Route, site.Recovery)})
		}
	}
	return out
}

// Memory checks that each daemon kept within its limit.
func Memory(r *record.All) []Finding {
	var out []Finding
	for _, m := range r.Memory {
		if m.PeakMB > site.MemoryMB {
			out = append(out, Finding{Rule: RuleMemory, Detail: fmt.Sprintf("%s: %.0f MB, limit %d MB", m.Daemon, m.PeakMB, site.MemoryMB)})
		}
	}
	return out
}
