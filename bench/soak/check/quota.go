package check

import (
	"fmt"

	"currantpulley/bench/soak/plan"
	"currantpulley/bench/soak/record"
	"currantpulley/bench/soak/site"
)

// Quota checks that the calls of the workspace with a quota run no more often than that
// allows, at all daemons together. An older build may lack the rule.
func Quota(r *record.All) []Finding {
	for _, s := range r.Spans {
		if s.Kind == plan.UpgradeDaemon {
			return nil
		}
	}
	calls := callsByAttempt(r)
	var runs []record.Arrival
	for _, a := range r.Arrivals {
		if a.Ran && calls[a.Attempt].Workspace == site.Workspace.Name {
			runs = append(runs, a)
		}
	}
	w := site.Workspace
	allowed := int((w.Rate*site.QuotaWindow.Seconds()+w.Burst)*(1+site.QuotaOverage)) + site.QuotaSlack
	first := 0
	for last, a := range runs {
		for a.At.Sub(runs[first].At) > site.QuotaWindow {
			first++
		}
		if n := last - first + 1; n > allowed {
			return []Finding{{RuleQuota, a.At, fmt.Sprintf("%d calls of workspace %s ran within %v, allowed %d", n, w.Name, site.QuotaWindow, allowed)}}
		}
	}
	return nil
}
