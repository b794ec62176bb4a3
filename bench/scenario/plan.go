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

// Names of the scenarios, in the order of the tables.
var Names = []string{"steady", "crest", "hol", "slow", "shift", "restart"}

// Loads used when none is given, as a share of capacity.
const (
	defaultLoad   = 0.8
	crestBaseLoad = 0.5 // of crest, before and after
)

const (
	warmUpPhase      = "warm"
	warmUpLength     = 8 * time.Second
	warmUpStartShare = 0.4 // of the load at the end of the warm-up
	crestFactor      = 5
	slowFactor       = 5
	slowReportLag    = 2 * time.Second
	slowOneIn        = 6 // one engine in so many
)

// phase is a stretch of a plan.
type phase struct {
	workload.Phase
	measured bool                                          // its requests make the main figures
	onStart  func(context.Context, *cluster.Cluster) error // at its start; may be nil
}

// plan is a scenario at a site.
type plan struct {
	phases   []phase
	capacity float64 // requests per second
	load     float64
}

// builder collects phases at a constant share of capacity.
type builder struct {
	*plan
	mix workload.Mix
}

func (b *builder) add(name string, length time.Duration, load float64) *phase {
	rate := load * b.capacity
	b.phases = append(b.phases, phase{Phase: workload.Phase{Name: name, Length: length, Mix: b.mix, From: rate, To: rate}})
	return &b.phases[len(b.phases)-1]
}

// warm fills the caches under a load that grows, since cold caches can't carry
// the whole of it.
func (b *builder) addWarmUp(load float64) {
	b.add(warmUpPhase, warmUpLength, max(load, defaultLoad)).From *= warmUpStartShare
}

func (b *builder) addMeasured(name string, length time.Duration, load float64) *phase {
	p := b.add(name, length, load)
	p.measured = true
	return p
}

// newPlan returns the plan of the scenario called name. A load of 0 means the
// scenario's usual one.
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

func (b *builder) steady(load float64) {
	b.addWarmUp(load)
	b.addMeasured("measured", 14*time.Second, load)
}

func (b *builder) crest(load float64) {
	b.addWarmUp(load)
	b.add("before", 4*time.Second, load)
	b.addMeasured("crest", 10*time.Second, crestFactor*load)
	b.add("after", 8*time.Second, load)
}

// headOfLine runs the short work alone and then with long work beside it.
func (b *builder) headOfLine(load float64) {
	alone := load * (1 - workload.WithLong[workload.Manifest])
	b.mix = workload.ShortOnly
	b.addWarmUp(alone)
	b.add("alone", 9*time.Second, alone)
	b.mix = workload.WithLong
	b.addMeasured("with long", 12*time.Second, load)
}

func (b *builder) slow(load float64, s site.Site, seed uint64) {
	b.addWarmUp(load)
	b.add("before", 8*time.Second, load)
	engines := rand.New(rand.NewPCG(seed, 2)).Perm(s.Engines)[:s.Engines/slowOneIn]
	b.addMeasured("slowed", 12*time.Second, load).onStart = func(_ context.Context, c *cluster.Cluster) error {
		c.Slow(engines, slowFactor, slowReportLag)
		return nil
	}
}

func (b *builder) shift(load float64) {
	b.addWarmUp(load)
	b.add("before", 8*time.Second, load)
	b.addMeasured("moving", 5*time.Second, load).Epoch = 1
	b.addMeasured("moved", 6*time.Second, load).Epoch = 1
}

func (b *builder) restart(load float64) {
	b.addWarmUp(load)
	b.add("before", 7*time.Second, load)
	b.addMeasured("restarted", 5*time.Second, load).onStart = func(ctx context.Context, c *cluster.Cluster) error {
		return c.RestartDaemons(ctx)
	}
	b.addMeasured("later", 3*time.Second, load)
}

func (p *plan) length() time.Duration {
	var sum time.Duration
	for _, ph := range p.phases {
		sum += ph.Length
	}
	return sum
}

func (p *plan) scale(factor float64) {
	for i := range p.phases {
		p.phases[i].Length = time.Duration(float64(p.phases[i].Length) * factor)
	}
}

func (p *plan) arrivals(seed uint64) []*workload.Request {
	phases := make([]workload.Phase, len(p.phases))
	for i, ph := range p.phases {
		phases[i] = ph.Phase
	}
	return workload.New(seed).Arrivals(phases)
}

// index returns the number of the phase called name, or -1.
func (p *plan) index(name string) int {
	for i, ph := range p.phases {
		if ph.Name == name {
			return i
		}
	}
	return -1
}
