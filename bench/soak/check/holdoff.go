package check

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"currantpulley/bench/soak/plan"
	"currantpulley/bench/soak/record"
	"currantpulley/bench/soak/site"
)

// Bounds on requests that an upstream has told a daemon it doesn't want.
const (
	pauseToldTime = 500 * time.Millisecond // from a rejection until its daemon keeps to it
	pauseFew      = 2                      // requests that may still arrive within a pause
)

// pair is an upstream's instance and a daemon.
type pair struct{ upstream, daemon string }

// arrival is an arrival with the call that it belongs to.
type arrival struct {
	record.Arrival
	call record.Call
}

// arrivalsByPair returns the arrivals at each upstream from each daemon, by time.
func arrivalsByPair(r *record.All) map[pair][]arrival {
	calls := callsByAttempt(r)
	out := make(map[pair][]arrival)
	for _, a := range r.Arrivals {
		if c, ok := calls[a.Attempt]; ok {
			p := pair{a.Upstream, c.Daemon}
			out[p] = append(out[p], arrival{a, c})
		}
	}
	return out
}

// sortedPairs returns the keys of byPair in a fixed order.
func sortedPairs(byPair map[pair][]arrival) []pair {
	return slices.SortedFunc(maps.Keys(byPair), func(a, b pair) int {
		return cmp.Or(strings.Compare(a.upstream, b.upstream), strings.Compare(a.daemon, b.daemon))
	})
}

// Leaving checks that an upstream gets no calls of a daemon that were sent later than
// site.Drain after the daemon had passed on an answer which says that the upstream
// leaves.
func Leaving(r *record.All) []Finding {
	byPair := arrivalsByPair(r)
	var out []Finding
	for _, p := range sortedPairs(byPair) {
		var told time.Time
		for _, a := range byPair[p] {
			if !told.IsZero() && a.call.Sent.Sub(told) > site.Drain && !restarted(r, p.daemon, told, a.At) {
				out = append(out, Finding{RuleLeaving, a.At, fmt.Sprintf("%s, which said %v before that it leaves, got %s",
					p.upstream, a.At.Sub(told).Round(time.Millisecond), describe(a.call))})
				break
			}
			if told.IsZero() && a.Leaving && a.call.Status != 0 && a.Status == a.call.Status {
				told = a.call.Done
			}
		}
	}
	return out
}

// Pauses checks that an upstream gets hardly any calls of a daemon in the time for which
// it has told the daemon that it wants none.
func Pauses(r *record.All) []Finding {
	byPair := arrivalsByPair(r)
	var out []Finding
	for _, p := range sortedPairs(byPair) {
		for i, told := range byPair[p] {
			if told.Pause <= 0 || harmed(r, told.Address, p.daemon, told.At) {
				continue
			}
			n := 0
			for _, a := range byPair[p][i+1:] {
				since := a.At.Sub(told.At)
				if since > pauseToldTime && since < told.Pause && !restarted(r, p.daemon, told.At, a.At) {
					n++
				}
			}
			if n > pauseFew {
				out = append(out, Finding{RulePause, told.At, fmt.Sprintf("%s asked %s for a pause of %v and got %d requests in it", p.upstream, p.daemon, told.Pause, n)})
				break
			}
		}
	}
	return out
}

// restarted reports whether a daemon was restarted or paused between two moments, or
// still ran a build from before an upgrade, which may lack the rule.
func restarted(r *record.All, daemon string, from, to time.Time) bool {
	return slices.ContainsFunc(r.Spans, func(s record.Span) bool {
		if s.Target != daemon || !plan.IsDaemon(s.Kind) {
			return false
		}
		return s.From.Before(to) && s.To.Add(touchTime).After(from) || s.Kind == plan.UpgradeDaemon && s.To.After(from)
	})
}

// harmed reports whether the network may have lost or held up what an upstream answered
// to a daemon at a moment.
func harmed(r *record.All, address, daemon string, at time.Time) bool {
	return slices.ContainsFunc(r.Spans, func(s record.Span) bool {
		network := plan.IsNetwork(s.Kind) && (s.Target == address || s.Target == "all") || s.Kind == plan.CutDaemons && s.Cuts(daemon)
		return network && s.From.Before(at.Add(touchTime)) && s.To.Add(touchTime).After(at)
	})
}
