package quarantine

import (
	"math/rand/v2"
	"testing"
	"time"
)

// crashDay is a simulated day in which engines end for reasons that have nothing to do
// with the requests.
type crashDay struct {
	rng      *rand.Rand
	table    *Table
	pending  []pendingRequest
	upstream []uint32    // short id of the engine in each place
	back     []time.Time // when the engine in that place serves
	sent     int
	held     int
}

// pendingRequest is a request whose response has not begun.
type pendingRequest struct {
	place  int
	sentAt time.Time
	begins time.Time
	parts  []Part
}

const (
	crashEngines = 18
	crashStep    = 5 * time.Millisecond
	crashLength  = 60 * time.Second
)

// requestParts returns the shared parts of a request: of a long one under one of few
// templates, or a short one under one of many.
func (d *crashDay) requestParts() (parts []Part, begins time.Duration) {
	if d.rng.IntN(100) < 39 {
		return []Part{Part(1 + d.rng.IntN(4)), Part(1000 + d.rng.IntN(376))}, time.Duration(150+d.rng.IntN(500)) * time.Millisecond
	}
	return []Part{Part(100 + d.rng.IntN(40)), Part(2000 + d.rng.IntN(257))}, time.Duration(30+d.rng.IntN(150)) * time.Millisecond
}

// send sends a request to an engine that serves, and again after a crash.
func (d *crashDay) send(parts []Part, begins time.Duration, repeat bool, now time.Time) {
	d.sent++
	if d.table.Check(parts, repeat, now) != nil {
		d.held++
		return
	}
	for range 100 {
		place := d.rng.IntN(crashEngines)
		if !now.Before(d.back[place]) {
			d.pending = append(d.pending, pendingRequest{place, now, now.Add(begins), parts})
			return
		}
	}
}

// end ends the engine in a place for three seconds.
func (d *crashDay) end(place int, now time.Time) {
	kept := d.pending[:0:0]
	var lost []pendingRequest
	for _, r := range d.pending {
		if r.place != place {
			kept = append(kept, r)
			continue
		}
		d.table.Crashed(d.upstream[place], r.parts, r.sentAt, now)
		lost = append(lost, r)
	}
	d.pending = kept
	d.upstream[place] += crashEngines
	d.back[place] = now.Add(3 * time.Second)
	for _, r := range lost {
		d.send(r.parts, 100*time.Millisecond, true, now)
	}
}

// advance lets responses begin and sends 100 requests a second.
func (d *crashDay) advance(now time.Time) {
	kept := d.pending[:0]
	for _, r := range d.pending {
		if now.Before(r.begins) {
			kept = append(kept, r)
			continue
		}
		d.table.Began(r.parts, now)
	}
	d.pending = kept
	if d.rng.IntN(2) == 0 {
		parts, begins := d.requestParts()
		d.send(parts, begins, false, now)
	}
}

// Guards against sound requests that are held back on days with crashes of other
// causes: single engines, several at once, a data centre, one after the other.
func TestCrashesOfOtherCausesHoldNothingBack(t *testing.T) {
	const maxHeldShare = 0.005
	for name, crashes := range map[string]func(d *crashDay, step int, now time.Time){
		"single engines": func(d *crashDay, step int, now time.Time) {
			if step%600 == 0 {
				d.end(d.rng.IntN(crashEngines), now)
			}
		},
		"three at once": func(d *crashDay, step int, now time.Time) {
			if step%1000 == 0 {
				for _, place := range d.rng.Perm(crashEngines)[:3] {
					d.end(place, now)
				}
			}
		},
		"a data centre": func(d *crashDay, step int, now time.Time) {
			if step%2000 == 0 {
				for place := range crashEngines / 3 {
					d.end(place, now)
				}
			}
		},
		"one after the other": func(d *crashDay, step int, now time.Time) {
			if step%200 == 0 {
				d.end(step/200%crashEngines, now)
			}
		},
		"two a second": func(d *crashDay, step int, now time.Time) {
			if step%100 == 0 {
				d.end(d.rng.IntN(crashEngines), now)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5) {
				d := &crashDay{rng: rand.New(rand.NewPCG(seed, 1)), table: New(Options{}), upstream: make([]uint32, crashEngines), back: make([]time.Time, crashEngines)}
				for place := range d.upstream {
					d.upstream[place] = uint32(place + 1)
				}
				for step := range int(crashLength / crashStep) {
					now := start.Add(time.Duration(step) * crashStep)
					d.advance(now)
					crashes(d, step, now)
				}
				if share := float64(d.held) / float64(d.sent); share > maxHeldShare {
					t.Errorf("seed %d: %d of %d sound requests were held back, share %.4f, at most %.4f may be", seed, d.held, d.sent, share, maxHeldShare)
				}
			}
		})
	}
}
