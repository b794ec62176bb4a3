package retry

import (
	"testing"
	"time"
)

// fleetOfShares is a number of daemons that all fail all their requests, with what each
// of them knows of the others.
type fleetOfShares struct {
	now     time.Time
	shares  []*Share
	windows []*Windows
	seen    []int  // daemons that each sees
	paused  []bool // daemons that do nothing
	granted []int  // by tick
}

const (
	fleetTick  = 100 * time.Millisecond
	fleetSpan  = 10 * time.Second
	fleetExtra = 100.0
)

func newFleetOfShares(daemons, seen int) *fleetOfShares {
	f := &fleetOfShares{
		now: time.Unix(1000, 0), shares: make([]*Share, daemons), windows: make([]*Windows, daemons),
		seen: make([]int, daemons), paused: make([]bool, daemons),
	}
	f.see(seen)
	for i := range daemons {
		f.restart(i)
	}
	return f
}

// restart replaces what a daemon knows, which forgets what it has allowed.
func (f *fleetOfShares) restart(i int) {
	clock := func() time.Time { return f.now }
	f.shares[i] = NewShare(clock, fleetSpan)
	f.windows[i] = NewWindows(Options{Clock: clock, Span: fleetSpan, Extra: fleetExtra, Part: f.shares[i].Part, Stale: f.shares[i].Stale})
}

// see sets the number of daemons that every daemon sees.
func (f *fleetOfShares) see(daemons int) {
	for i := range f.seen {
		f.seen[i] = daemons
	}
}

// run lets time pass while every daemon takes what it is allowed.
func (f *fleetOfShares) run(d time.Duration) {
	for range d / fleetTick {
		granted := 0
		for i := range f.windows {
			if !f.paused[i] {
				granted += f.takeAll(i)
			}
		}
		f.granted = append(f.granted, granted)
		f.now = f.now.Add(fleetTick)
	}
}

// takeAll takes all that daemon i is allowed and returns how much that is.
func (f *fleetOfShares) takeAll(i int) int {
	f.shares[i].Observe(f.seen[i], true)
	for n := 0; ; n++ {
		if _, ok := f.windows[i].Allow("s"); !ok {
			return n
		}
	}
}

// most returns the most extra attempts in any span.
func (f *fleetOfShares) most() int {
	most, sum, ticks := 0, 0, int(fleetSpan/fleetTick)
	for i, n := range f.granted {
		sum += n
		if i >= ticks {
			sum -= f.granted[i-ticks]
		}
		most = max(most, sum)
	}
	return most
}

// Guards against shares of the common allowance that add up to more than it while
// daemons start, restart or don't see each other.
func TestSharesKeepTheAllowanceWhileViewsDiffer(t *testing.T) {
	const calm = time.Minute
	for name, play := range map[string]func() *fleetOfShares{
		"every daemon sees only itself for the first second": func() *fleetOfShares {
			f := newFleetOfShares(8, 1)
			f.run(time.Second)
			f.see(8)
			f.run(calm)
			return f
		},
		"every daemon restarts, one after the other": func() *fleetOfShares {
			f := newFleetOfShares(8, 8)
			f.run(calm)
			for i := range f.windows {
				f.run(500 * time.Millisecond)
				f.restart(i)
			}
			f.run(calm)
			return f
		},
		"two halves don't see each other": func() *fleetOfShares {
			f := newFleetOfShares(8, 8)
			f.run(calm)
			f.see(4)
			f.run(calm)
			return f
		},
		"one of two daemons is paused and comes back": func() *fleetOfShares {
			f := newFleetOfShares(2, 2)
			f.run(calm)
			f.paused[1], f.seen[0] = true, 1
			f.run(2 * shareMemory)
			f.paused[1] = false
			f.run(time.Second)
			f.see(2)
			f.run(calm)
			return f
		},
	} {
		t.Run(name, func(t *testing.T) {
			if n := play().most(); n == 0 || float64(n) > fleetExtra {
				t.Errorf("%d extra attempts in %v, want 1 to %.0f, which all daemons may make together", n, fleetSpan, fleetExtra)
			}
		})
	}
}
