package quarantine

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// fleet simulates daemons that tell each other their evidence with a delay, and engines
// that end under requests with a harmful part.
type fleet struct {
	rng      *rand.Rand
	tables   []*Table
	now      time.Time
	events   []fleetEvent // in the order of time
	upstream uint32
	arrivals []time.Time // of requests with the harmful part
	crashes  []time.Time
	told     time.Duration // longest time that evidence takes to another daemon
	held     int           // sound requests
}

// fleetEvent is what happens at a time.
type fleetEvent struct {
	at     time.Time
	happen func()
}

func newFleet(daemons int, told time.Duration, seed uint64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, uint64(daemons))), now: start, told: told}
	for i := range daemons {
		f.tables = append(f.tables, New(Options{
			Announce: func(s Suspect) { f.broadcast(i, s) },
			Turn:     func(p Part, slot int64) bool { return (int64(p)+slot)%int64(daemons) == int64(i) },
		}))
	}
	return f
}

// after lets something happen later.
func (f *fleet) after(d time.Duration, happen func()) {
	e := fleetEvent{f.now.Add(d), happen}
	at, _ := slices.BinarySearchFunc(f.events, e, func(a, b fleetEvent) int { return cmp.Or(a.at.Compare(b.at), -1) })
	f.events = slices.Insert(f.events, at, e)
}

// broadcast tells all other daemons, each after another delay.
func (f *fleet) broadcast(from int, s Suspect) {
	sent := f.now
	for i, table := range f.tables {
		if i != from {
			f.after(time.Duration(f.rng.Int64N(int64(f.told))), func() { table.Merge(s.Older(f.now.Sub(sent)), f.now) })
		}
	}
}

// run lets things happen until the time is over.
func (f *fleet) run(length time.Duration) {
	for end := f.now.Add(length); len(f.events) > 0 && f.events[0].at.Before(end); {
		e := f.events[0]
		f.events = f.events[1:]
		f.now = e.at
		e.happen()
	}
}

// send sends a harmful request, whose engine ends, and repeats it if that is allowed.
func (f *fleet) send(daemon int, parts []Part, repeat bool) {
	if f.tables[daemon].Check(parts, repeat, f.now) != nil {
		return
	}
	sentAt := f.now
	f.arrivals = append(f.arrivals, f.now)
	f.after(time.Duration(50+f.rng.IntN(200))*time.Millisecond, func() {
		f.upstream++
		f.crashes = append(f.crashes, f.now)
		f.tables[daemon].Crashed(f.upstream, parts, sentAt, f.now)
		if !repeat {
			f.send(daemon, parts, true)
		}
	})
}

// each lets something happen again and again, at random times with a mean.
func (f *fleet) each(mean time.Duration, happen func(n int)) {
	n := 0
	var next func()
	next = func() {
		happen(n)
		n++
		f.after(time.Duration(f.rng.ExpFloat64()*float64(mean)), next)
	}
	f.after(0, next)
}

// Guards against a harmful part whose requests go on reaching engines: the bound holds
// over all daemons, at any rate of the requests and with evidence that takes up to a
// second. Sound requests under the same templates must be served.
func TestHarmfulPartIsHeldBackByTheFleet(t *testing.T) {
	const (
		contact    = 3 * time.Second
		length     = 90 * time.Second
		mostAfter  = 3
		soundMean  = 20 * time.Millisecond
		maxHeld    = 0.02 // of the sound requests
		soundBegin = 100 * time.Millisecond
	)
	for _, daemons := range []int{1, 13, 40} {
		for _, mean := range []time.Duration{100 * time.Millisecond, 400 * time.Millisecond, 2 * time.Second, 8 * time.Second} {
			for seed := range uint64(3) {
				t.Run(fmt.Sprintf("%d daemons, a request each %v, seed %d", daemons, mean, seed), func(t *testing.T) {
					f := newFleet(daemons, time.Second, seed)
					sent := 0
					f.each(soundMean, func(n int) {
						sent++
						table := f.tables[f.rng.IntN(daemons)]
						parts := []Part{Part(10 + n%4), Part(100 + f.rng.IntN(50))}
						if table.Check(parts, false, f.now) != nil {
							f.held++
							return
						}
						f.after(soundBegin, func() { table.Began(parts, f.now) })
					})
					f.each(mean, func(n int) { f.send(f.rng.IntN(daemons), []Part{Part(10 + n%4), harmful}, false) })
					f.run(length)
					after := 0
					for _, at := range f.arrivals {
						if len(f.crashes) >= 5 && at.Sub(f.crashes[4]) > contact {
							after++
						}
					}
					if after > mostAfter {
						t.Errorf("%d requests reached engines later than %v after the fifth crash, at most %d may; %d in all", after, contact, mostAfter, len(f.arrivals))
					}
					if share := float64(f.held) / float64(sent); share > maxHeld {
						t.Errorf("%.3f of the sound requests were held back, at most %.3f may be", share, maxHeld)
					}
				})
			}
		}
	}
}
