// Package crossing decides when a request leaves its data centre: what that costs, why it
// pays, and what part of the requests goes while the daemons don't see yet what the others
// send. See docs/design/leaving-the-data-centre.md.
//
// The package does no I/O and reads no clock.
package crossing

import (
	"math"
	"time"

	"currantpulley/internal/rendezvous"
)

const (
	megabyte = 1e6
	gigabyte = 1e9
)

// Prices say what it costs to cross from one data centre to another, in time that a caller
// might as well wait. The zero value sets no prices.
type Prices struct {
	RoundTrip  time.Duration // there and back
	PerMB      time.Duration // for each megabyte that a request and its answer carry
	PerCacheGB time.Duration // for each gigabyte of cache entries that an engine fetches
}

// AreSet reports whether there are any prices.
func (p Prices) AreSet() bool { return p != Prices{} }

// Request returns the cost of a request that carries so many bytes, its answer included.
func (p Prices) Request(bytes int) time.Duration {
	return p.RoundTrip + time.Duration(float64(p.PerMB)*float64(bytes)/megabyte)
}

// Cache returns the cost of so many bytes of cache entries.
func (p Prices) Cache(bytes float64) time.Duration {
	return time.Duration(float64(p.PerCacheGB) * bytes / gigabyte)
}

// Reason tells why a request leaves its data centre.
type Reason uint8

// Reasons to leave.
const (
	Stays    Reason = iota
	NoneHere        // no upstream here takes it
	InTime          // only elsewhere it is answered while its caller waits
	Parts           // parts of its prompt are kept elsewhere
	Wait            // it is answered sooner elsewhere
)

// String returns the reason's name in logs and metrics.
func (r Reason) String() string {
	switch r {
	case Stays:
		return "stays"
	case NoneHere:
		return "none_here"
	case InTime:
		return "in_time"
	case Parts:
		return "parts"
	case Wait:
		return "wait"
	}
	return "unknown"
}

// Option is the best upstream of one side, here or elsewhere.
type Option struct {
	Available bool          // takes work now
	InTime    bool          // answers while the caller waits
	Cost      time.Duration // wait and all else that counts, the crossing included
	Parts     time.Duration // the part of Cost that depends on where parts of the prompt are kept
}

// Why returns the reason for which a request goes elsewhere although here is there too.
func Why(here, elsewhere Option) Reason {
	switch {
	case !here.Available && elsewhere.Available:
		return NoneHere
	case !here.InTime && elsewhere.InTime:
		return InTime
	case here.Parts-elsewhere.Parts >= here.Cost-elsewhere.Cost:
		return Parts
	}
	return Wait
}

// Division is what decides how much work leaves for a shorter wait.
type Division struct {
	Gap             time.Duration // between the waits, the cost of the crossing included
	Here, Elsewhere int           // upstreams that take work
	Arriving        float64       // seconds of upstreams' work that arrive here a second, at all daemons
	Delay           time.Duration // until a daemon sees what the others send
}

// Part returns the part of the requests that would leave that does: as much work as levels
// the waits.
func (d Division) Part() float64 {
	if d.Gap <= 0 || d.Elsewhere <= 0 {
		return 0
	}
	unseen := d.Arriving * d.Delay.Seconds()
	if d.Here <= 0 || unseen <= 0 {
		return 1
	}
	levels := d.Gap.Seconds() / (1/float64(d.Here) + 1/float64(d.Elsewhere))
	return min(1, levels/unseen)
}

// IsInPart reports whether the request whose id has the given hash belongs to a part of all.
func IsInPart(part float64, hash uint64) bool { return rendezvous.Fraction(hash) < part }

// rateTime is the time constant of the average rate of a Meter.
const rateTime = 3 * time.Second

// Meter measures how much work arrives. The zero value is ready for use.
type Meter struct {
	sum float64 // seconds of work, which fade with rateTime
	at  time.Time
}

// Add records work that arrives.
func (m *Meter) Add(work time.Duration, now time.Time) {
	m.fade(now)
	m.sum += max(0, work.Seconds())
}

// Rate returns the seconds of work that arrive a second.
func (m *Meter) Rate(now time.Time) float64 {
	m.fade(now)
	return m.sum / rateTime.Seconds()
}

func (m *Meter) fade(now time.Time) {
	age := max(0, now.Sub(m.at))
	m.sum *= math.Exp(-age.Seconds() / rateTime.Seconds())
	m.at = now
}
