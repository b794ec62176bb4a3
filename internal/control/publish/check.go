package publish

import (
	"fmt"
	"maps"
	"slices"

	"currantpulley/internal/config"
	"currantpulley/internal/control/calls"
	pb "currantpulley/internal/control/publish/publishpb"
)

// TrafficCheck checks a configuration against the requests that this daemon
// served recently. It is safe for concurrent use.
type TrafficCheck interface {
	// Check returns the problems that a change from before to after would cause
	// for these requests.
	Check(before, after *config.Config) []config.Problem
}

// checker checks one candidate against the configuration in force.
type checker struct {
	self     string
	site     string       // overlay of this daemon
	traffic  TrafficCheck // nil: no check against traffic
	before   *config.Set  // in force; nil: none
	override bool         // skip the guards against large changes
}

// check returns the reasons to refuse after. The check against traffic only
// runs if the deterministic checks find no problem.
func (c *checker) check(after *config.Set) []*pb.Refusal {
	problems := c.checkGuards(after)
	if len(problems) == 0 {
		problems = c.checkTraffic(after)
	}
	return toRefusals(c.self, problems)
}

// toRefusals converts problems to refusals of vm, at most maxRefusals.
func toRefusals(vm string, problems []config.Problem) []*pb.Refusal {
	out := make([]*pb.Refusal, 0, min(len(problems), maxRefusals))
	for _, p := range problems[:min(len(problems), maxRefusals)] {
		out = append(out, &pb.Refusal{Vm: vm, File: p.File, Line: int32(p.Line), Key: p.Key, Reason: p.Message})
	}
	return out
}

// checkGuards runs the deterministic checks that compare after with the
// configuration in force or with this VM's site.
func (c *checker) checkGuards(after *config.Set) []config.Problem {
	if _, err := after.Site(c.site); err != nil {
		return []config.Problem{{Key: "site", Message: fmt.Sprintf("this VM's %v", err)}}
	}
	if c.before == nil {
		return nil
	}
	problems := c.checkCallStreams(after)
	if c.override {
		return problems
	}
	problems = append(problems, c.checkChangeSize(after)...)
	for _, site := range after.Sites() {
		problems = append(problems, c.checkCapacity(site, after)...)
	}
	return problems
}

// checkCallStreams refuses changes to the number of streams that calls are
// split over. The override does not skip it, because such a change could let a
// call run twice.
func (c *checker) checkCallStreams(after *config.Set) []config.Problem {
	var problems []config.Problem
	for _, site := range after.Sites() {
		old, err := c.before.Site(site)
		if err != nil {
			continue
		}
		current, err := after.Site(site)
		if err != nil {
			continue
		}
		if err := calls.ValidateChange(old, current); err != nil {
			p := after.LocateKey(site, "calls.streams")
			p.Message = err.Error()
			problems = append(problems, p)
		}
	}
	return problems
}

// checkChangeSize refuses changes to a larger share of the items than
// publish.change_max, as a guard against accidental edits. The lowest limit of
// all sites in force counts.
func (c *checker) checkChangeSize(after *config.Set) []config.Problem {
	limit := 1.0
	for _, site := range c.before.Sites() {
		if old, err := c.before.Site(site); err == nil {
			limit = min(limit, old.Publish.ChangeMax)
		}
	}
	share := config.ChangeShare(c.before, after)
	if share <= limit {
		return nil
	}
	return []config.Problem{{
		Key: "publish.change_max",
		Message: fmt.Sprintf("%.0f%% of the items are removed or changed; expected at most %.0f%%, or an explicit override",
			share*100, limit*100),
	}}
}

// checkCapacity refuses versions that leave a model less than the share
// orders.keep_share of its engines.
func (c *checker) checkCapacity(site string, after *config.Set) []config.Problem {
	old, err := c.before.Site(site)
	if err != nil {
		return nil
	}
	current, err := after.Site(site)
	if err != nil {
		return nil
	}
	var problems []config.Problem
	for _, model := range slices.Sorted(maps.Keys(current.Models)) {
		oldCount, newCount := countEngines(old, model), countEngines(current, model)
		if float64(newCount) < float64(oldCount)*old.Orders.KeepShare {
			p := after.Locate(site, "models", model)
			p.Message = fmt.Sprintf("%d of %d engines are left; expected at least %.0f%% (orders.keep_share), or an explicit override",
				newCount, oldCount, old.Orders.KeepShare*100)
			problems = append(problems, p)
		}
	}
	return problems
}

// countEngines returns the number of engines that serve model and aren't
// leaving.
func countEngines(c *config.Config, model string) int {
	n := 0
	for _, u := range c.Upstreams {
		if u.Kind == config.KindEngine && !u.Leaving && slices.Contains(u.Models, model) {
			n++
		}
	}
	return n
}

// checkTraffic runs the check against recent traffic and adds file and line to
// its problems.
func (c *checker) checkTraffic(after *config.Set) []config.Problem {
	if c.traffic == nil || c.before == nil {
		return nil
	}
	old, err := c.before.Site(c.site)
	if err != nil {
		return nil
	}
	current, err := after.Site(c.site)
	if err != nil {
		return nil
	}
	problems := c.traffic.Check(old, current)
	for i, p := range problems {
		if p.File == "" {
			at := after.LocateKey(c.site, p.Key)
			problems[i].File, problems[i].Line = at.File, at.Line
		}
	}
	return problems
}
