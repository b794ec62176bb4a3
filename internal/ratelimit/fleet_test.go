package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"currantpulley/internal/rendezvous"
)

// fleet simulates daemons that send all they may to one upstream that states a limit.
type fleet struct {
	rng     *rand.Rand
	names   []uint64 // hashes
	tables  []*Table
	sees    func(daemon, other int) bool
	clock   func(daemon int, now time.Time) time.Time // of its time of day
	now     time.Time
	slots   map[int64][]int // daemons by rank, of a slot
	arrived []time.Time
}

// newFleet returns n daemons with an allowance of the given part of a limit each.
func newFleet(n int, part float64) *fleet {
	f := &fleet{
		rng: rand.New(rand.NewPCG(uint64(n), 1)), now: start, slots: make(map[int64][]int),
		sees: func(int, int) bool { return true }, clock: func(_ int, now time.Time) time.Time { return now },
	}
	for i := range n {
		f.names = append(f.names, rendezvous.Hash(fmt.Sprint("vm-", i)))
		f.tables = append(f.tables, New(Options{
			Part:      func() float64 { return part },
			Turn:      func(_ uint32, slot int64) bool { return f.first(i, slot) == i },
			WallClock: func() time.Time { return f.clock(i, f.now) },
		}))
	}
	return f
}

// first returns the first owner of a slot among the daemons that a daemon sees.
func (f *fleet) first(daemon int, slot int64) int {
	if f.slots[slot] == nil {
		f.slots[slot] = rendezvous.Top(f.names, rendezvous.Hash(fmt.Sprint(slot)), min(20, len(f.names)))
	}
	for _, i := range f.slots[slot] {
		if i == daemon || f.sees(daemon, i) {
			return i
		}
	}
	return -1
}

const simulationStep = 10 * time.Millisecond

// run advances the simulation. In each step each daemon has a request for the upstream
// with the given probability.
func (f *fleet) run(length time.Duration, demand float64) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(simulationStep) {
		for _, i := range f.rng.Perm(len(f.tables)) {
			if f.rng.Float64() >= demand || !f.tables[i].Available(upstream, f.now) {
				continue
			}
			f.tables[i].Take(upstream, f.now)
			f.arrived = append(f.arrived, f.now)
		}
	}
}

// most returns the most arrivals in 4 s from a time on.
func (f *fleet) most(from time.Time) int {
	most, first := 0, 0
	for last, at := range f.arrived {
		for at.Sub(f.arrived[first]) > 4*time.Second {
			first++
		}
		if !f.arrived[first].Before(from) {
			most = max(most, last-first+1)
		}
	}
	return most
}

// state makes each daemon learn the limit, one after the other within a second.
func (f *fleet) state(limit float64) {
	for _, table := range f.tables {
		table.Observe(upstream, &limit, f.now, f.now.Add(time.Duration(f.rng.IntN(1000))*time.Millisecond))
	}
	f.now = f.now.Add(time.Second)
}

// The requests of all daemons together must stay below one and a half times the limit
// and five more in any 4 s, at any number of daemons, also when demand comes all at
// once, views differ, clocks are wrong or parts are not known. Most of the limit must be
// used under steady demand.
func TestLimitHoldsOverAllDaemons(t *testing.T) {
	const (
		length  = 20 * time.Second
		minUsed = 0.6
	)
	few := []float64{1, 20}
	all := []float64{0, 0.5, 1, 2.2, 6, 20, 100}
	for daemons, limits := range map[int][]float64{1: all, 2: all, 13: all, 21: all, 136: few, 440: few} {
		for _, limit := range limits {
			for name, prepare := range map[string]func(f *fleet) (demand float64){
				"steady":          func(*fleet) float64 { return 1 },
				"little demand":   func(*fleet) float64 { return 0.02 },
				"idle, then much": func(f *fleet) float64 { f.run(20*time.Second, 0); return 1 },
				"wrong clocks": func(f *fleet) float64 {
					f.clock = func(daemon int, now time.Time) time.Time {
						if daemon%4 == 0 && now.Unix()%16 < 8 {
							return now.Add(2400 * time.Millisecond)
						}
						return now
					}
					return 1
				},
				"views differ": func(f *fleet) float64 {
					f.sees = func(daemon, other int) bool { return (daemon*7+other*3)%10 != 0 }
					return 1
				},
				"parts unknown": func(f *fleet) float64 {
					for _, table := range f.tables {
						table.opts.Part = func() float64 { return 0 }
					}
					return 1
				},
			} {
				f := newFleet(daemons, 1/float64(daemons))
				f.state(limit)
				demand := prepare(f)
				from := f.now
				f.run(length, demand)
				if got, bound := f.most(from), int(1.5*limit*4)+5; got > bound {
					t.Errorf("%d daemons, limit %v, %s: %d requests in 4 s, at most %d may come", daemons, limit, name, got, bound)
				}
				if used := float64(len(f.arrived)) / (limit * length.Seconds()); limit >= 1 && name == "steady" && used < minUsed {
					t.Errorf("%d daemons, limit %v: %.2f of it was used, want %v", daemons, limit, used, minUsed)
				}
			}
		}
	}
}
