package retry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Parameters of the simulated deployment.
const (
	simTick   = 100 * time.Millisecond
	simSpan   = 10 * time.Second
	simRatio  = 0.2
	simExtra  = 135.0
	simDetect = 5 * time.Second // after which a daemon that is not heard from counts as dead
	simSpread = 4 * time.Second // within which daemons learn of each other, at the earliest after simHello
	simHello  = time.Second
	simLag    = 2 * time.Second  // of the store's list
	simReread = 10 * time.Second // between two reads of the list, once others are known
	simProof  = 5 * time.Second  // age of the last contact at which a daemon still is in contact
	simListed = 12               // daemons that the store lists
	simSends  = 4                // sends of one request
)

// simulation runs daemons on a virtual clock against a service that fails, so that
// each request is repeated as often as its daemon allows.
type simulation struct {
	*rand.Rand
	now       time.Time
	tick      int
	nodes     []*node
	asked     []int // requests, by the tick in which callers sent them
	arrived   []int // arrivals beyond the first of each request, by tick
	rate      float64
	failing   bool
	events    map[int][]func()
	cut       func(from, to int) bool // whether the way between two daemons is cut
	noStore   func(i int) bool        // whether the store can't be reached
	momentary bool                    // control: the part is 1 / daemons seen now
}

// node is one daemon.
type node struct {
	id      int
	up      bool
	paused  bool
	started time.Time
	slept   time.Time
	held    int // requests that wait for the process to run again
	share   *Share
	windows *Windows
	pending []Permit
	heard   map[int]time.Time // when other daemons were last heard from
	learnt  map[int]time.Time // when this daemon learns of others
	listed  time.Time         // latest read of the store's list
	contact time.Time
}

func newSimulation(seed uint64, n int) *simulation {
	s := &simulation{
		Rand: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1e6, 0), events: make(map[int][]func()), failing: true,
		cut: func(int, int) bool { return false }, noStore: func(int) bool { return false },
	}
	s.now = s.now.Add(time.Duration(s.IntN(int(simTick)))) // not aligned with the buckets
	s.rate = []float64{1, 10, 46, 200}[s.IntN(4)]
	s.add(n)
	return s
}

// add adds n daemons and starts them.
func (s *simulation) add(n int) {
	for range n {
		s.nodes = append(s.nodes, &node{id: len(s.nodes)})
		s.start(len(s.nodes) - 1)
	}
}

// start starts daemon i, which remembers nothing.
func (s *simulation) start(i int) {
	d := s.nodes[i]
	*d = node{id: i, up: true, started: s.now, heard: make(map[int]time.Time), learnt: make(map[int]time.Time)}
	d.share = NewShare(func() time.Time { return s.now }, simSpan)
	part := d.share.Part
	if s.momentary {
		part = func() float64 { return 1 / float64(s.seen(d)) }
	}
	d.windows = NewWindows(Options{Clock: func() time.Time { return s.now }, Span: simSpan, Ratio: simRatio, Extra: simExtra, Part: part, Stale: d.share.Stale})
	for _, other := range s.nodes {
		delete(other.learnt, i)
	}
}

func (s *simulation) pause(i int) { s.nodes[i].paused, s.nodes[i].slept = true, s.now }
func (s *simulation) resume(i int) {
	d := s.nodes[i]
	if !d.paused {
		return
	}
	d.paused = false
	for j := range d.heard { // a pause alone makes no other daemon dead
		d.heard[j] = d.heard[j].Add(s.now.Sub(d.slept))
	}
}

// after schedules f for t after the present.
func (s *simulation) after(t time.Duration, f func()) {
	at := s.tick + int(t/simTick)
	s.events[at] = append(s.events[at], f)
}

// upTo returns a random duration below d.
func (s *simulation) upTo(d time.Duration) time.Duration {
	return time.Duration(s.Int64N(int64(max(d, 1))))
}

// linked reports whether two daemons reach each other. A connection needs both ways.
func (s *simulation) linked(i, j int) bool { return !s.cut(i, j) && !s.cut(j, i) }

// seen returns the number of daemons that d takes to be live.
func (s *simulation) seen(d *node) int {
	n := 1
	for _, at := range d.heard {
		if s.now.Sub(at) < simDetect {
			n++
		}
	}
	return n
}

// exchange lets d hear from the other daemons and from the store.
func (s *simulation) exchange(d *node) {
	if !s.noStore(d.id) {
		d.contact = s.now
		s.readList(d)
	}
	for j, other := range s.nodes {
		if j == d.id || !other.up || other.paused || !s.linked(d.id, j) {
			continue
		}
		if d.learnt[j].IsZero() {
			d.learnt[j] = s.now.Add(simHello + s.upTo(simSpread-simHello))
		}
		if !s.now.Before(d.learnt[j]) {
			d.heard[j] = s.now
			if !s.noStore(j) {
				d.contact = s.now
			}
		}
	}
	d.share.Observe(s.seen(d), !d.contact.IsZero() && s.now.Sub(d.contact) <= simProof)
}

// readList lets d read the store's list, which names some of the daemons. A daemon
// that d knew before is not taken to be live because it is listed.
func (s *simulation) readList(d *node) {
	if s.now.Sub(d.listed) < simReread && len(d.heard) > 0 {
		return
	}
	d.listed = s.now
	for j, other := range s.nodes[:min(len(s.nodes), simListed)] {
		if j != d.id && other.up && s.now.Sub(other.started) > simLag && d.heard[j].IsZero() {
			d.heard[j] = s.now
		}
	}
}

// run runs the simulation for t.
func (s *simulation) run(t time.Duration) {
	for range int(t / simTick) {
		for _, f := range s.events[s.tick] {
			f()
		}
		s.asked = append(s.asked, 0)
		for len(s.arrived) < s.tick+1+int(time.Second/simTick) {
			s.arrived = append(s.arrived, 0)
		}
		for _, d := range s.nodes {
			s.step(d)
		}
		s.tick++
		s.now = s.now.Add(simTick)
	}
}

// step runs daemon d for one tick.
func (s *simulation) step(d *node) {
	mean := s.rate * simTick.Seconds() / float64(len(s.nodes))
	n := int(mean)
	if s.Float64() < mean-float64(n) {
		n++
	}
	if !d.up {
		return
	}
	s.asked[s.tick] += n
	if d.held += n; d.paused {
		return
	}
	if s.tick%5 == d.id%5 || s.now.Equal(d.started) {
		s.exchange(d)
	}
	s.sendPending(d)
	for ; d.held > 0; d.held-- {
		d.windows.Request("s")
		for sends := 1; s.failing && sends < simSends; sends++ {
			p, ok := d.windows.Allow("s")
			if !ok {
				break
			}
			d.pending = append(d.pending, p)
		}
	}
}

// sendPending sends what was allowed in the tick before, if it still may be. It
// arrives up to 0.8 s after it was allowed.
func (s *simulation) sendPending(d *node) {
	for i := range d.pending {
		if d.windows.Confirm(&d.pending[i]) {
			s.arrived[s.tick+s.IntN(8)]++
		}
	}
	d.pending = d.pending[:0]
}

// worst returns the largest ratio of repeats to the bound in any span.
func (s *simulation) worst() (ratio float64, detail string) {
	asked, arrived := running(s.asked), running(s.arrived)
	n := int(simSpan / simTick)
	for from := range s.asked {
		requests := max(asked(from, from+n), asked(from-n/2, from+n/2), asked(from-n, from))
		bound := simRatio*float64(requests) + simExtra
		if r := float64(arrived(from, from+n)) / bound; r > ratio {
			ratio = r
			detail = fmt.Sprintf("%d repeats of %d requests from %v on, the bound is %.0f",
				arrived(from, from+n), requests, time.Duration(from)*simTick, bound)
		}
	}
	return ratio, detail
}

// running returns a function that sums counts from first to last, both included.
func running(counts []int) func(first, last int) int {
	sums := make([]int, len(counts)+1)
	for i, c := range counts {
		sums[i+1] = sums[i] + c
	}
	return func(first, last int) int {
		first, last = max(first, 0), min(last, len(counts)-1)
		if first > last {
			return 0
		}
		return sums[last+1] - sums[first]
	}
}

// settle runs without failures until views agree and all parts may be used.
func (s *simulation) settle() {
	s.failing = false
	s.run(30 * time.Second)
	s.failing = true
}

// troubles are the disturbances under which the bound must hold.
var troubles = []struct {
	name      string
	fleet     []int // numbers of daemons
	sameViews bool  // all daemons see the same
	run       func(s *simulation)
}{
	{"all start at once", []int{2, 21, 140}, false, func(s *simulation) { s.run(40 * time.Second) }},
	{"restarts in series", []int{2, 21, 140}, false, func(s *simulation) {
		s.settle()
		for i := range 30 {
			s.after(time.Duration(i)*s.upTo(3*time.Second), func() { s.start(i % len(s.nodes)) })
		}
		s.run(70 * time.Second)
	}},
	{"one crashes again and again", []int{2, 21}, false, func(s *simulation) {
		s.settle()
		for i := range 15 {
			s.after(time.Duration(i)*4*time.Second, func() { s.start(0) })
		}
		s.run(70 * time.Second)
	}},
	{"all restart at once", []int{2, 21, 140}, false, func(s *simulation) {
		s.settle()
		for i := range s.nodes {
			s.after(5*time.Second, func() { s.nodes[i].up = false })
			s.after(6*time.Second+s.upTo(300*time.Millisecond), func() { s.start(i) })
		}
		s.run(40 * time.Second)
	}},
	{"some are paused", []int{2, 21, 140}, false, func(s *simulation) {
		s.settle()
		for i := range (len(s.nodes) + 1) / 2 {
			at := s.upTo(10 * time.Second)
			s.after(at, func() { s.pause(i) })
			s.after(at+simTick+s.upTo(40*time.Second), func() { s.resume(i) })
		}
		s.run(70 * time.Second)
	}},
	{"one is paused for long", []int{2, 21}, false, func(s *simulation) {
		s.settle()
		s.pause(0)
		s.after(2*time.Minute+s.upTo(5*time.Minute), func() { s.resume(0) })
		s.run(8 * time.Minute)
	}},
	{"some can't reach the others", []int{2, 21, 140}, false, func(s *simulation) {
		s.settle()
		some := 1 + s.IntN(len(s.nodes)-1)
		s.cut = func(i, j int) bool { return (i < some) != (j < some) }
		s.after(10*time.Second+s.upTo(2*time.Minute), func() { s.cut = func(int, int) bool { return false } })
		s.run(150 * time.Second)
	}},
	{"some reach nobody, for long", []int{2, 21}, false, func(s *simulation) {
		s.settle()
		some := 1 + s.IntN(len(s.nodes)-1)
		s.cut = func(i, j int) bool { return (i < some) != (j < some) }
		s.noStore = func(i int) bool { return i < some }
		s.after(5*time.Minute+s.upTo(5*time.Minute), func() {
			s.cut = func(int, int) bool { return false }
			s.noStore = func(int) bool { return false }
		})
		s.run(11 * time.Minute)
	}},
	{"one way is cut", []int{2, 21, 140}, false, func(s *simulation) {
		s.settle()
		s.cut = func(i, j int) bool { return i == 0 && j != 0 }
		s.run(70 * time.Second)
	}},
	{"restarts while cut off", []int{12, 140}, false, func(s *simulation) {
		s.settle()
		s.cut = func(i, j int) bool { return (i == 0) != (j == 0) }
		s.after(15*time.Second, func() { s.start(0) })
		s.run(70 * time.Second)
	}},
	{"daemons are added", []int{2, 21, 70}, false, func(s *simulation) {
		s.settle()
		s.after(s.upTo(10*time.Second), func() { s.add(len(s.nodes)) })
		s.run(50 * time.Second)
	}},
	{"daemons are replaced", []int{2, 21, 70}, false, func(s *simulation) {
		s.settle()
		s.after(s.upTo(10*time.Second), func() {
			for _, d := range s.nodes {
				d.up = false
			}
			s.add(len(s.nodes))
		})
		s.run(50 * time.Second)
	}},
	{"failures and traffic come and go", []int{2, 21, 140}, true, func(s *simulation) {
		s.settle()
		for range 20 {
			s.failing = s.IntN(2) == 0
			s.rate = []float64{0, 1, 10, 46, 200, 600}[s.IntN(6)]
			s.run(s.upTo(8 * time.Second))
		}
	}},
	{"all at once", []int{2, 21, 140}, false, func(s *simulation) {
		for range 10 {
			s.failing = s.IntN(3) > 0
			s.rate = []float64{0, 1, 10, 46, 200, 600}[s.IntN(6)]
			switch i := s.IntN(len(s.nodes)); s.IntN(6) {
			case 0:
				s.start(i)
			case 1:
				s.pause(i)
				s.after(simTick+s.upTo(20*time.Second), func() { s.resume(i) })
			case 2:
				s.cut = func(a, b int) bool { return a == i && b != i }
			case 3:
				s.cut = func(a, b int) bool { return (a < i) != (b < i) }
			case 4:
				s.add(1)
			default:
				s.cut = func(int, int) bool { return false }
			}
			s.run(s.upTo(15 * time.Second))
		}
	}},
}

// simSeeds returns the number of seeds with which a trouble is simulated. Large fleets
// take long.
func simSeeds(daemons int) uint64 {
	if daemons > 100 {
		return 1
	}
	return 4
}

// However many daemons there are and whatever they see of each other, their repeats
// must stay within the bound in any span, counted when they arrive.
func TestSharesKeepTheBoundInTrouble(t *testing.T) {
	for _, tc := range troubles {
		for _, n := range tc.fleet {
			for seed := range simSeeds(n) {
				t.Run(fmt.Sprintf("%s/%d daemons/seed %d", tc.name, n, seed), func(t *testing.T) {
					t.Parallel()
					s := newSimulation(seed, n)
					tc.run(s)
					if ratio, detail := s.worst(); ratio > 1 {
						t.Errorf("%.2f of the bound: %s", ratio, detail)
					}
				})
			}
		}
	}
}

// The simulation must find the fault of a part that follows the number of daemons
// seen now, in each trouble that makes daemons see different numbers.
func TestSimulationFindsMomentaryParts(t *testing.T) {
	for _, tc := range troubles {
		if tc.sameViews {
			continue
		}
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			for _, n := range tc.fleet {
				for seed := range simSeeds(n) {
					if exceedsWithMomentaryParts(seed, n, tc.run) {
						return
					}
				}
			}
			t.Error("the bound holds with momentary parts")
		})
	}
}

// exceedsWithMomentaryParts reports whether daemons exceed the bound in a trouble if
// each takes the part that follows from the daemons it sees at that moment.
func exceedsWithMomentaryParts(seed uint64, n int, trouble func(*simulation)) bool {
	s := newSimulation(seed, n)
	s.momentary = true
	for i := range s.nodes {
		s.start(i)
	}
	trouble(s)
	ratio, _ := s.worst()
	return ratio > 1
}

// While nothing is wrong but the service, a good part of the allowance must be usable.
func TestSharesCanBeUsedWhenAllIsCalm(t *testing.T) {
	const least = 0.6
	for _, tc := range []struct {
		daemons int
		rate    float64 // with fewer requests, 140 daemons lose much by rounding
	}{{1, 46}, {2, 46}, {21, 46}, {21, 1000}, {140, 200}, {140, 1000}} {
		s := newSimulation(1, tc.daemons)
		s.rate = tc.rate
		s.settle()
		s.run(30 * time.Second)
		if ratio, detail := s.worst(); ratio < least {
			t.Errorf("%d daemons, %.0f requests/s: only %.2f of the bound used: %s", tc.daemons, tc.rate, ratio, detail)
		}
	}
}
