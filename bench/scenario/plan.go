// Package scenario runs one scenario with one policy and one seed and computes
// its figures.
package scenario

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"currantpulley/bench/cluster"
	"currantpulley/bench/measure"
	"currantpulley/bench/site"
	"currantpulley/bench/workload"
)

// Names lists the scenarios in the order of the tables.
var Names = []string{"steady", "crest", "hol", "slow", "shift", "restart"}

// Default loads as a share of capacity.
const (
	defaultLoad   = 0.8
	crestBaseLoad = 0.5 // of the scenario crest, before and after the crest
)

const (
	warmUpPhase      = "warm"
	warmUpLength     = 8 * time.Second
	warmUpStartShare = 0.4 // of the load at the end of the warm-up
	crestFactor      = 5
	slowFactor       = 5
	slowReportLag    = 2 * time.Second
	slowOneIn        = 6 // one engine in six is slowed
)

// phase is one step of a plan.
type phase struct {
	workload.Phase
	measured bool                                          // whether its requests count for the main figures
	onStart  func(context.Context, *cluster.Cluster) error // called at its start; may be nil
}

// plan is the sequence of phases of a scenario at a site.
type plan struct {
	phases   []phase
	capacity float64 // requests per second
	load     float64
}

// builder builds a plan. Loads are shares of capacity.
type builder struct {
	*plan
	mix workload.Mix
}

// add adds a phase with a constant load.
func (b *builder) add(name string, length time.Duration, load float64) *phase {
	rate := load * b.capacity
	b.phases = append(b.phases, phase{Phase: workload.Phase{Name: name, Length: length, Mix: b.mix, From: rate, To: rate}})
	return &b.phases[len(b.phases)-1]
}

// addWarmUp adds a phase that fills the caches. Its load ramps up because engines
// with cold caches can't handle the full load.
func (b *builder) addWarmUp(load float64) {
	b.add(warmUpPhase, warmUpLength, max(load, defaultLoad)).From *= warmUpStartShare
}

// addMeasured adds a phase that counts for the main figures.
func (b *builder) addMeasured(name string, length time.Duration, load float64) *phase {
	p := b.add(name, length, load)
	p.measured = true
	return p
}

// newPlan returns the plan of the scenario called name. A load of 0 stands for the
// default of the scenario.
func newPlan(name string, s site.Site, load float64, seed uint64) (*plan, error) {
	if load == 0 {
		load = defaultLoad
		if name == "crest" {
			load = crestBaseLoad
		}
	}
	mix := workload.Usual
	if name == "hol" {
		mix = workload.WithLong
	}
	b := &builder{plan: &plan{capacity: measure.Capacity(s, mix), load: load}, mix: mix}
	switch name {
	case "steady":
		b.steady(load)
	case "crest":
		b.crest(load)
	case "hol":
		b.headOfLine(load)
	case "slow":
		b.slow(load, s, seed)
	case "shift":
		b.shift(load)
	case "restart":
		b.restart(load)
	default:
		return nil, fmt.Errorf("scenario %q does not exist, expected one of %v", name, Names)
	}
	return b.plan, nil
}

// steady keeps the load constant.
func (b *builder) steady(load float64) {
	b.addWarmUp(load)
	b.addMeasured("measured", 14*time.Second, load)
}

// crest multiplies the load by crestFactor for a while.
func (b *builder) crest(load float64) {
	b.addWarmUp(load)
	b.add("before", 4*time.Second, load)
	b.addMeasured("crest", 10*time.Second, crestFactor*load)
	b.add("after", 8*time.Second, load)
}

// headOfLine runs short work alone and then the same rate of it mixed with long
// work.
func (b *builder) headOfLine(load float64) {
	alone := load * (1 - workload.WithLong[workload.Manifest])
	b.mix = workload.ShortOnly
	b.addWarmUp(alone)
	b.add("alone", 9*time.Second, alone)
	b.mix = workload.WithLong
	b.addMeasured("with long", 12*time.Second, load)
}

// slow slows down a random sixth of the engines and delays their load reports.
func (b *builder) slow(load float64, s site.Site, seed uint64) {
	b.addWarmUp(load)
	b.add("before", 8*time.Second, load)
	engines := rand.New(rand.NewPCG(seed, 2)).Perm(s.Engines)[:s.Engines/slowOneIn]
	b.addMeasured("slowed", 12*time.Second, load).onStart = func(_ context.Context, c *cluster.Cluster) error {
		c.Slow(engines, slowFactor, slowReportLag)
		return nil
	}
}

// shift makes other prefixes popular.
func (b *builder) shift(load float64) {
	b.addWarmUp(load)
	b.add("before", 8*time.Second, load)
	b.addMeasured("moving", 5*time.Second, load).Epoch = 1
	b.addMeasured("moved", 6*time.Second, load).Epoch = 1
}

// restart kills and restarts all daemons at once.
func (b *builder) restart(load float64) {
	b.addWarmUp(load)
	b.add("before", 7*time.Second, load)
	b.addMeasured("restarted", 5*time.Second, load).onStart = func(ctx context.Context, c *cluster.Cluster) error {
		return c.RestartDaemons(ctx)
	}
	b.addMeasured("later", 3*time.Second, load)
}

// length returns the total length of the phases.
func (p *plan) length() time.Duration {
	var sum time.Duration
	for _, ph := range p.phases {
		sum += ph.Length
	}
	return sum
}

// scale multiplies the length of all phases by factor.
func (p *plan) scale(factor float64) {
	for i := range p.phases {
		p.phases[i].Length = time.Duration(float64(p.phases[i].Length) * factor)
	}
}

// arrivals generates the requests of all phases.
func (p *plan) arrivals(seed uint64) []*workload.Request {
	phases := make([]workload.Phase, len(p.phases))
	for i, ph := range p.phases {
		phases[i] = ph.Phase
	}
	return workload.New(seed).Arrivals(phases)
}

// index returns the index of the phase called name, or -1.
func (p *plan) index(name string) int {
	for i, ph := range p.phases {
		if ph.Name == name {
			return i
		}
	}
	return -1
}
