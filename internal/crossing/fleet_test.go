package crossing

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The replay: three data centres with ten servers each and 30 daemons. A request is 50 ms
// of work; a daemon sees the work of the others as it was a second ago.
const (
	step      = 10 * time.Millisecond
	sites     = 3
	perSite   = 10 // daemons
	servers   = 10
	work      = 50 * time.Millisecond
	delay     = time.Second
	cost      = 6 * time.Millisecond
	usualLoad = 0.6
	fullLoad  = 1.4 // of the data centre that is short of servers
)

// fleet plays data centres whose servers work off what was sent to them.
type fleet struct {
	rng     *rand.Rand
	now     time.Time
	herd    bool // all go where the wait is shorter
	servers [sites]int
	load    [sites]float64 // of perfect use of ten servers
	queue   [sites]float64 // seconds of work that wait or run
	past    [][sites]float64
	own     [sites][perSite][]sent // of the latest delay
	meters  [sites][perSite]Meter
	// Of the latest steps that were played.
	worst     time.Duration // longest wait anywhere
	sum       time.Duration // of all requests' waits, crossings included
	requests  int
	there     int // crossings away from data centre 0
	back      int // crossings to data centre 0
	noServers int // requests sent to a data centre without servers
}

// sent is a request that a daemon sent.
type sent struct {
	to         int
	at, doneAt time.Time
}

func newFleet(seed uint64, herd bool) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(0, 0), herd: herd}
	for s := range sites {
		f.servers[s], f.load[s] = servers, usualLoad
	}
	return f
}

// run plays the fleet for some time, with fresh figures.
func (f *fleet) run(d time.Duration) *fleet {
	f.worst, f.sum, f.requests, f.there, f.back, f.noServers = 0, 0, 0, 0, 0, 0
	for range int(d / step) {
		f.now = f.now.Add(step)
		f.past = append(f.past, f.queue)
		for s := range sites {
			rate := f.load[s] * servers / work.Seconds() * step.Seconds()
			for range int(rate + f.rng.Float64()) {
				f.request(s, f.rng.IntN(perSite))
			}
		}
		for s := range sites {
			f.queue[s] = max(0, f.queue[s]-float64(f.servers[s])*step.Seconds())
		}
	}
	return f
}

// wait returns the wait at a data centre with so much work: none while a server is free.
func (f *fleet) wait(site int, queued float64) time.Duration {
	n := float64(f.servers[site])
	if n == 0 {
		return time.Hour
	}
	return time.Duration(max(0, queued/n-work.Seconds()) * float64(time.Second))
}

// seen returns the work at a data centre as a daemon knows it: that of a while ago and what
// it sent itself since.
func (f *fleet) seen(site, daemon, at int) float64 {
	from := max(0, len(f.past)-int(delay/step))
	queued := f.past[from][at]
	for _, s := range f.own[site][daemon] {
		if s.to == at && s.doneAt.After(f.now) {
			queued += work.Seconds()
		}
	}
	return queued
}

// request decides where a request goes.
func (f *fleet) request(site, daemon int) {
	best, least := site, f.wait(site, f.seen(site, daemon, site))
	here := least
	for s := range sites {
		if w := f.wait(s, f.seen(site, daemon, s)) + cost; s != site && w < least {
			best, least = s, w
		}
	}
	meter := &f.meters[site][daemon]
	meter.Add(work, f.now)
	if best != site && !f.goes(site, best, here-least, meter.Rate(f.now)) {
		best = site
	}
	f.send(site, daemon, best)
}

// goes reports whether a request leaves that would wait shorter elsewhere by gap.
func (f *fleet) goes(site, best int, gap time.Duration, rate float64) bool {
	if f.herd || f.servers[site] == 0 {
		return true
	}
	d := Division{Gap: gap, Here: f.servers[site], Elsewhere: f.servers[best], Arriving: rate * perSite, Delay: delay}
	return IsInPart(d.Part(), f.rng.Uint64())
}

func (f *fleet) send(site, daemon, to int) {
	waits := f.wait(to, f.queue[to])
	f.worst = max(f.worst, waits)
	f.queue[to] += work.Seconds()
	own := slices.DeleteFunc(f.own[site][daemon], func(s sent) bool { return f.now.Sub(s.at) > delay })
	f.own[site][daemon] = append(own, sent{to, f.now, f.now.Add(waits + work)})
	if to != site {
		waits += cost
	}
	f.sum += waits
	f.requests++
	switch {
	case f.servers[to] == 0:
		f.noServers++
	case to == 0 && site != 0:
		f.back++
	case to != 0 && site == 0:
		f.there++
	}
}

func (f *fleet) mean() time.Duration { return f.sum / time.Duration(max(1, f.requests)) }

// One data centre has less room than it is asked for, the others have enough: its requests
// leave, and no herd makes the others wait longer than it does.
func TestOneDataCentreIsShortOfServers(t *testing.T) {
	for seed := range uint64(5) {
		herd, f := newFleet(seed, true), newFleet(seed, false)
		herd.load[0], f.load[0] = fullLoad, fullLoad
		herd.run(10 * time.Second)
		f.run(10 * time.Second)
		herd.run(20 * time.Second)
		f.run(20 * time.Second)
		t.Logf("seed %d: mean wait %v (%v in a herd), longest %v (%v), %d leave, %d come (%d, %d)",
			seed, f.mean(), herd.mean(), f.worst, herd.worst, f.there, f.back, herd.there, herd.back)
		if f.mean() > herd.mean()/2 || f.worst > herd.worst/2 {
			t.Errorf("seed %d: mean wait %v and longest %v, in a herd %v and %v", seed, f.mean(), f.worst, herd.mean(), herd.worst)
		}
		if f.back > f.there/20 {
			t.Errorf("seed %d: %d requests come while %d leave", seed, f.back, f.there)
		}
	}
}

// Demand moves from one data centre to another: what leaves follows within some delays.
func TestDemandMoves(t *testing.T) {
	f := newFleet(1, false)
	f.load = [sites]float64{fullLoad, usualLoad, usualLoad}
	f.run(10 * time.Second)
	f.load = [sites]float64{usualLoad, fullLoad, usualLoad}
	f.run(5 * delay)
	f.run(10 * time.Second)
	if f.there > f.back/20 {
		t.Errorf("%d requests leave the data centre that has room again, %d come", f.there, f.back)
	}
	if f.worst > 2*delay {
		t.Errorf("the longest wait is %v", f.worst)
	}
}

// A data centre loses all its servers: all its requests leave at once, and come back when
// the servers do.
func TestDataCentreWithoutServers(t *testing.T) {
	f := newFleet(1, false)
	f.run(2 * time.Second)
	f.servers[0] = 0
	f.run(10 * time.Second)
	if f.noServers > 0 {
		t.Errorf("%d requests stayed without a server", f.noServers)
	}
	if f.worst > 2*delay {
		t.Errorf("the longest wait is %v", f.worst)
	}
	f.servers[0] = servers
	f.run(5 * delay)
	f.run(5 * time.Second)
	if f.there > f.requests/100 {
		t.Errorf("%d of %d requests still leave", f.there, f.requests)
	}
}

// With room everywhere nothing leaves, however the waits vary.
func TestNothingLeavesWithRoomEverywhere(t *testing.T) {
	f := newFleet(1, false).run(20 * time.Second)
	if f.there+f.back > f.requests/100 {
		t.Errorf("%d and %d of %d requests cross", f.there, f.back, f.requests)
	}
}
