package upstream

import (
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"currantpulley/bench/soak/check"
	"currantpulley/bench/soak/record"
	"currantpulley/bench/soak/site"
	"currantpulley/platform/standin/names"
)

// Shares and numbers of planted faults.
const (
	plantedShare   = 0.05
	plantedDenied  = 0.3 // some refusals are allowed, so there must be many
	plantedRepeats = 20  // arrivals that are recorded for one
	plantedLimit   = 0.1 // requests a second
	plantedPart    = "planted"
	plantedPause   = time.Minute
)

// plants reports whether the upstream breaks a rule on purpose at this request.
func (u *Upstream) plants(rule string, r *http.Request) bool {
	if !u.opts.Plan.Plants(rule) {
		return false
	}
	if rule == check.RuleRecover {
		return time.Since(u.opts.Plan.Start) > u.opts.Plan.Duration
	}
	if rule == check.RuleRefused { // all upstreams must refuse the attempt
		return xxhash.Sum64String(r.Header.Get(names.AttemptID))%(1/plantedShare) == 0
	}
	if rule == check.RuleAttempts {
		return strings.HasPrefix(r.URL.Path, site.RouteSafe.Prefix) && u.chance(plantedShare)
	}
	once := strings.HasPrefix(r.URL.Path, site.RouteOnce.Prefix)
	if rule == check.RuleLeaving || rule == check.RulePause {
		return true
	}
	if rule == check.RuleQuota || rule == check.RuleLimit || rule == check.RuleCrashes || rule == check.RuleSame || rule == check.RuleBrittle {
		return strings.HasPrefix(r.URL.Path, site.RouteSafe.Prefix)
	}
	if rule == check.RuleDenied {
		return once && u.chance(plantedDenied)
	}
	return (once || rule == check.RuleOrder) && u.chance(plantedShare)
}

// recordPlanted records runs and arrivals that did not take place, if that is planted.
func (u *Upstream) recordPlanted(a record.Arrival, r *http.Request) {
	if u.plants(check.RuleTwice, r) {
		u.record(a)
	}
	if u.plants(check.RuleAttempts, r) {
		for range site.MaxAttempts {
			u.record(a)
		}
	}
	if u.plants(check.RuleQuota, r) {
		for range plantedRepeats {
			u.record(a)
		}
	}
	u.recordPlantedBounds(a, r)
	if u.plants(check.RuleBudget, r) {
		a.Ran, a.Seal = false, ""
		for range plantedRepeats {
			u.record(a)
		}
	}
}

// recordPlantedBounds records arrivals that break the bounds over all daemons, if that
// is planted.
func (u *Upstream) recordPlantedBounds(a record.Arrival, r *http.Request) {
	a.Ran, a.Seal = false, ""
	if u.plants(check.RuleCrashes, r) {
		a.Part = plantedPart
		u.record(a)
	}
	if u.plants(check.RuleSame, r) {
		a.Same = plantedPart
		u.record(a)
	}
	if u.plants(check.RuleBrittle, r) {
		fell := a
		fell.Fell = true
		u.record(fell)
	}
	if u.plants(check.RuleLeaving, r) {
		leaving := a
		leaving.Leaving = true
		u.record(leaving)
	}
	if u.plants(check.RulePause, r) {
		pausing := a
		pausing.Pause = plantedPause
		u.record(pausing)
	}
	if u.plants(check.RuleLimit, r) {
		a.Limit = plantedLimit
		u.record(a)
	}
}
