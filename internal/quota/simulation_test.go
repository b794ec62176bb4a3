package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

const (
	simTick     = 50 * time.Millisecond
	simWindow   = 8 * time.Second
	simExchange = 28  // ticks between two deposits, as of a large fleet
	simSpread   = 30  // ticks within which a daemon that joins is known to all
	simListed   = 24  // daemons that the store lists at most
	simRequest  = 9.0 // units of most requests
)

var simQuota = Quota{Rate: 1000, Burst: 1000, Unit: Tokens}

const simID = ID(1)

// fleet simulates daemons with one workspace on a virtual clock.
type fleet struct {
	*rand.Rand
	now     time.Time
	tick    int
	nodes   []*node
	used    []float64           // by tick
	cut     func(a, b int) bool // whether two daemons reach each other is cut
	fault   bool                // planted: grants are copied
	momenta bool                // planted: parts by momentary views
	asked   float64
	served  float64
}

type node struct {
	name       string
	up, frozen bool
	joined     int // tick
	skew       time.Duration
	book       *Book
	share      Share
}

func newFleet(seed uint64, n int) *fleet {
	f := &fleet{Rand: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(3, 0), cut: func(int, int) bool { return false }}
	f.add(n)
	return f
}

func (f *fleet) add(n int) {
	for range n {
		f.nodes = append(f.nodes, &node{})
		f.start(len(f.nodes) - 1)
	}
}

// start starts daemon i, which remembers nothing. Each has a clock of its own.
func (f *fleet) start(i int) {
	d := &node{name: fmt.Sprint("vm-", i), up: true, joined: f.tick, skew: time.Duration(f.Int64N(int64(time.Minute))), book: NewBook(Tolerance{})}
	d.book.SetQuotas(map[ID]Quota{simID: simQuota}, f.now.Add(d.skew))
	f.nodes[i] = d
}

func (f *fleet) time(d *node) time.Time { return f.now.Add(d.skew) }

func (f *fleet) reach(a, b int) bool {
	x, y := f.nodes[a], f.nodes[b]
	return x.up && y.up && !x.frozen && !y.frozen && !f.cut(a, b)
}

// seen returns how many daemons i sees: those that it reaches, a while after the later of
// the two started, and those that the store lists.
func (f *fleet) seen(i int) int {
	n := 1
	for j, d := range f.nodes {
		since := f.tick - max(d.joined, f.nodes[i].joined)
		if j != i && ((f.reach(i, j) && since > f.IntN(simSpread)) || (!f.momenta && d.up && j < simListed)) {
			n++
		}
	}
	return n
}

// tell tells daemon i what others have seen, each of them about once in simExchange.
func (f *fleet) tell(i int) {
	for j, d := range f.nodes {
		if (j+f.tick/5)%(simExchange/5) == 0 && j != i && f.reach(i, j) {
			f.nodes[i].share.Learn(d.name, d.share.Seen(f.time(d)), f.time(f.nodes[i]))
		}
	}
}

// holder returns the first daemon that i reaches, the same for all in a calm fleet.
func (f *fleet) holder(i int) int {
	for j := range f.nodes {
		if j == i || f.reach(i, j) {
			return j
		}
	}
	return i
}

// step runs all daemons for a tick; each of askers has demand at its share of rate.
func (f *fleet) step(rate float64, askers int) {
	f.used = append(f.used, 0)
	for i, d := range f.nodes {
		if !d.up || d.frozen {
			continue
		}
		if (f.tick+i)%5 == 0 {
			f.tell(i)
			seen := f.seen(i)
			d.share.Observe(seen, true, f.time(d))
			part := d.share.Part(f.time(d))
			if f.momenta {
				part = 1 / float64(seen)
			}
			d.book.SetPart(part, f.time(d))
		}
		if h := f.holder(i); h != i && (f.tick+i)%simExchange == 0 {
			f.deposit(d, f.nodes[h])
		}
	}
	mean := rate * simTick.Seconds() / simRequest
	for n := mean; n > f.Float64(); n-- {
		f.ask(f.IntN(min(askers, len(f.nodes))))
	}
	f.tick++
	f.now = f.now.Add(simTick)
}

func (f *fleet) deposit(from, to *node) {
	lots := from.book.TakeAll(simID, f.time(from))
	if f.Float64() < 0.02 {
		return // lost
	}
	_ = to.book.Put(simID, lots, 0, f.time(to))
}

// ask asks daemon i to send a request.
func (f *fleet) ask(i int) {
	d := f.nodes[i]
	f.asked += simRequest
	if !d.up || d.frozen {
		return
	}
	own := d.book.TakeUpTo(simID, simRequest, f.time(d))
	lots, ok := own, Sum(own) >= simRequest-1e-9
	if h := f.nodes[f.holder(i)]; !ok {
		rest, _, granted := h.book.Take(simID, simRequest-Sum(own), f.time(h))
		lots, ok = append(own, rest...), granted
		if f.fault {
			h.book.Restore(simID, rest, f.time(h), f.time(h))
		}
	}
	if ok {
		f.served += simRequest
	}
	if ok && f.Float64() > 0.1 {
		f.used[f.tick] += simRequest
		return
	}
	if !ok {
		d.book.Restore(simID, own, f.time(d), f.time(d))
		return
	}
	_ = d.book.Put(simID, lots, 0, f.time(d)) // it did not run
}

// disturb does something to the fleet.
func (f *fleet) disturb() {
	i := f.IntN(len(f.nodes))
	switch f.IntN(7) {
	case 0:
		f.nodes[i].up = false
	case 1:
		f.nodes[i].frozen = true
	case 2, 3:
		for j, d := range f.nodes {
			if d.frozen = false; !d.up {
				f.start(j)
			}
		}
	case 4:
		side := 1 + f.IntN(len(f.nodes))
		f.cut = func(a, b int) bool { return (a < side) != (b < side) }
	case 5:
		f.cut = func(int, int) bool { return false }
	case 6:
		f.add(1 + len(f.nodes)/20)
	}
}

// worst returns the most units used in any window, in parts of the stated bound.
func (f *fleet) worst() float64 {
	n := int(simWindow / simTick)
	bound := simQuota.Rate*(simWindow+moveTime).Seconds() + simQuota.Burst
	sum, most := 0.0, 0.0
	for i, u := range f.used {
		sum += u
		if i >= n {
			sum -= f.used[i-n]
		}
		most = max(most, sum)
	}
	return most / bound
}

// troubled runs a fleet in trouble, with demand far above the quota.
func troubled(f *fleet) float64 {
	for range 1200 {
		if f.tick > 120 && f.IntN(40) == 0 {
			f.disturb()
		}
		f.step(4*simQuota.Rate, len(f.nodes))
	}
	return f.worst()
}

// Load that it answers: a workspace asks for four times its quota while daemons are
// killed, frozen, partitioned, started and added.
func TestBoundHoldsInTrouble(t *testing.T) {
	t.Parallel()
	properties := gopter.NewProperties(nil)
	properties.Property("no window takes more than the stated bound", prop.ForAll(
		func(seed uint64, n int) bool {
			return troubled(newFleet(seed, n)) <= 1
		},
		gen.UInt64(), gen.OneConstOf(2, 5, 21, 60)))
	properties.TestingRun(t)
	for _, seed := range []uint64{6502055038920582507, 2305777570194145811} { // joins in a partition
		if worst := troubled(newFleet(seed, 60)); worst > 1 {
			t.Errorf("seed %d: %.2f of the stated bound", seed, worst)
		}
	}
}

// Planted faults must be found.
func TestPlantedFaultsBreakTheBound(t *testing.T) {
	t.Parallel()
	for name, plant := range map[string]func(*fleet){
		"grants are copied":        func(f *fleet) { f.fault = true },
		"parts by momentary views": func(f *fleet) { f.momenta = true },
	} {
		t.Run(name, func(t *testing.T) {
			worst := 0.0
			for seed := range uint64(10) {
				f := newFleet(seed, 21)
				plant(f)
				worst = max(worst, troubled(f))
			}
			if worst <= 1 {
				t.Errorf("at most %.2f of the bound were used", worst)
			}
		})
	}
}

// Load that it answers: what a workspace asks below its quota comes to one, a few or all
// of many daemons.
func TestCalmFleetServesWhatIsBelowTheQuota(t *testing.T) {
	t.Parallel()
	for _, askers := range []int{1, 5, 141} {
		f := newFleet(7, 141)
		for range 200 {
			f.step(0, 1)
		}
		f.asked, f.served = 0, 0
		for range 2400 {
			f.step(0.9*simQuota.Rate, askers)
		}
		if share := f.served / f.asked; share < 0.99 {
			t.Errorf("%d daemons: %.3f of the requests were served", askers, share)
		}
	}
}

// Load that it answers: a workspace whose quota of a second holds three of its long
// requests uses 0.56 of it on average, at any of 141 daemons. An ideal bucket without
// tolerance refuses 0.026 of these requests.
func TestToleranceServesLongRequests(t *testing.T) {
	t.Parallel()
	const (
		rate      = 29_000.0
		longShare = 0.65
		long      = 9200.0 // tokens on average
		short     = 826.0
		use       = 0.56
	)
	f := newFleet(7, 141)
	for _, d := range f.nodes {
		d.book = NewBook(Tolerance{Window: simWindow, Overage: 0.1, Slack: 110_000})
		d.book.SetQuotas(map[ID]Quota{simID: {Rate: rate, Burst: rate, Unit: Tokens}}, f.time(d))
	}
	for range 200 {
		f.step(0, 1)
	}
	mean := longShare*long + (1-longShare)*short
	for range 12_000 {
		f.step(0, 1)
		if f.Float64() > use*rate/mean*simTick.Seconds() {
			continue
		}
		size := short
		if f.Float64() < longShare {
			size = long * math.Exp(0.5*f.NormFloat64()-0.125)
		}
		f.asked++
		if f.grant(f.nodes[f.IntN(len(f.nodes))], size) {
			f.served++
		}
	}
	if share := f.served / f.asked; share < 0.99 {
		t.Errorf("%.3f of the requests were served", share)
	}
}

// grant reports whether a daemon gets the tokens of a request.
func (f *fleet) grant(d *node, size float64) bool {
	own := d.book.TakeUpTo(simID, size, f.time(d))
	h := f.nodes[f.holder(0)]
	_, _, ok := h.book.Take(simID, max(1, size-Sum(own)), f.time(h))
	if !ok {
		d.book.Restore(simID, own, f.time(d), f.time(d))
	}
	return ok
}
