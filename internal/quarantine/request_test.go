package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// crashingDesks are the few replicas of a plain service, which end under a harmful
// request and are back some seconds later.
type crashingDesks struct {
	*fleet
	id      []uint32    // of the replica in each place
	back    []time.Time // when the replica in that place serves
	running []map[*deskRun]bool
	sound   int
}

// deskRun is a request that runs at a replica.
type deskRun struct {
	daemon int
	parts  []Part
	sentAt time.Time
	repeat bool
}

const deskDown = 3300 * time.Millisecond

func newCrashingDesks(f *fleet, places int) *crashingDesks {
	d := &crashingDesks{fleet: f}
	for range places {
		f.upstream++
		d.id = append(d.id, f.upstream)
		d.back = append(d.back, f.now)
		d.running = append(d.running, make(map[*deskRun]bool))
	}
	return d
}

// run sends a request to a replica that serves, if it isn't held back. If it runs to
// its end there, then is called.
func (d *crashingDesks) run(r *deskRun, length time.Duration, then func(place int)) {
	if d.tables[r.daemon].Check(r.parts, r.repeat, d.now) != nil {
		if r.parts[0] != theRequest {
			d.held++
		}
		return
	}
	for _, place := range d.rng.Perm(len(d.back)) {
		if d.now.Before(d.back[place]) {
			continue
		}
		r.sentAt = d.now
		if r.parts[0] == theRequest {
			d.arrivals = append(d.arrivals, d.now)
		}
		d.running[place][r] = true
		d.after(length, func() {
			if d.running[place][r] {
				delete(d.running[place], r)
				then(place)
			}
		})
		return
	}
}

// end ends the replica in a place under the request r and all others that run there.
func (d *crashingDesks) end(place int, r *deskRun) {
	d.crashes = append(d.crashes, d.now)
	lost := d.running[place]
	lost[r] = true
	d.running[place] = make(map[*deskRun]bool)
	for r := range lost {
		d.tables[r.daemon].Crashed(d.id[place], r.parts, r.sentAt, d.now)
	}
	d.upstream++
	d.id[place] = d.upstream
	d.back[place] = d.now.Add(deskDown)
	for r := range lost {
		switch {
		case r.repeat:
		case r.parts[0] == theRequest:
			d.harmful(r.daemon, true)
		default:
			d.lookUp(r.daemon, r.parts, true)
		}
	}
}

// theRequest is the harmful request.
var theRequest = RequestOf(1)

func (d *crashingDesks) harmful(daemon int, repeat bool) {
	r := &deskRun{daemon: daemon, parts: []Part{theRequest}, repeat: repeat}
	d.run(r, time.Duration(15+d.rng.IntN(90))*time.Millisecond, func(place int) { d.end(place, r) })
}

func (d *crashingDesks) lookUp(daemon int, parts []Part, repeat bool) {
	d.sound++
	r := &deskRun{daemon: daemon, parts: parts, repeat: repeat}
	d.run(r, time.Duration(15+d.rng.IntN(30))*time.Millisecond, func(int) { d.tables[daemon].Began(parts, d.now) })
}

// Guards against a request that comes again and goes on reaching the replicas of a
// small service: the bound holds over all daemons, at any rate, also if several of
// them run at the same time. The lookups beside it, some of which come again too, must
// not be held back.
func TestHarmfulRequestIsHeldBackByTheFleet(t *testing.T) {
	const (
		contact   = 3 * time.Second
		length    = 15 * time.Minute
		mostAfter = 3
		known     = 3 // crashes
		soundMean = 30 * time.Millisecond
		maxHeld   = 0.002 // of the sound requests
	)
	for _, daemons := range []int{1, 13, 40} {
		for _, mean := range []time.Duration{20 * time.Millisecond, 100 * time.Millisecond, 400 * time.Millisecond, 2 * time.Second, 8 * time.Second} {
			for seed := range uint64(3) {
				t.Run(fmt.Sprintf("%d daemons, a request each %v, seed %d", daemons, mean, seed), func(t *testing.T) {
					f := newFleet(daemons, time.Second, seed)
					d := newCrashingDesks(f, 3)
					f.each(soundMean, func(n int) {
						request := n + 1000
						if n%2 == 0 {
							request = 2 + f.rng.IntN(20)
						}
						d.lookUp(f.rng.IntN(daemons), []Part{RequestOf(uint64(request))}, false)
					})
					f.each(mean, func(int) { d.harmful(f.rng.IntN(daemons), false) })
					f.run(length)
					after := 0
					for _, at := range f.arrivals {
						if len(f.crashes) >= known && at.Sub(f.crashes[known-1]) > contact {
							after++
						}
					}
					if after > mostAfter {
						t.Errorf("%d requests reached replicas later than %v after the third crash, at most %d may; %d in all", after, contact, mostAfter, len(f.arrivals))
					}
					if share := float64(f.held) / float64(d.sound); share > maxHeld {
						t.Errorf("%.4f of the sound requests were held back, at most %.4f may be", share, maxHeld)
					}
				})
			}
		}
	}
}
