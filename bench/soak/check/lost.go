package check

import (
	"fmt"
	"time"

	"currantpulley/bench/soak/plan"
	"currantpulley/bench/soak/record"
)

// lostFew is the number of calls that may be lost without a finding.
const lostFew = 3

// touchTime is the time after a fault during which what it affected isn't judged.
const touchTime = 3 * time.Second

// Lost checks that daemons hardly ever close a caller's connection without an answer
// though a sound upstream ran the call. A stop by SIGTERM is no excuse.
func Lost(r *record.All) []Finding {
	runs := runsByAttempt(r)
	var lost []record.Call
	for _, c := range r.Calls {
		ran := runs[c.Attempt]
		if c.Outcome == record.Closed && !c.Half && len(ran) > 0 && ran[0].Trouble == "" && !disturbed(r, c, ran[0].Upstream) {
			lost = append(lost, c)
		}
	}
	if len(lost) <= lostFew {
		return nil
	}
	return []Finding{{RuleLost, lost[0].Done, fmt.Sprintf("%d calls, the first: %s ran at %s", len(lost), describe(lost[0]), places(runs[lost[0].Attempt]))}}
}

// disturbed reports whether the daemon, the network or the upstream of a call was
// disturbed while the call was made or shortly before.
func disturbed(r *record.All, c record.Call, instance string) bool {
	for _, s := range r.Spans {
		if s.From.After(c.Done) || s.To.Add(touchTime).Before(c.Sent) {
			continue
		}
		daemon := (s.Kind == plan.PauseDaemon || s.Kind == plan.KillDaemon) && s.Target == c.Daemon
		if daemon || plan.IsNetwork(s.Kind) || s.Kind == plan.PauseUpstream || s.Instance == instance {
			return true
		}
	}
	return false
}
