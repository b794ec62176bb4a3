// Package retention estimates how long an engine keeps a piece, a block of
// prompt tokens, in its cache after the last use. It learns from answers and
// from sampled cache events.
package retention

import "time"

const (
	initialAge = 30 * time.Second
	ageMin     = 200 * time.Millisecond
	ageMax     = 10 * time.Minute
	smoothing  = 0.2 // weight of a new observation
)

// Age is the estimated time from a piece's last use to its eviction. The zero
// value is not usable; see New.
type Age struct{ age time.Duration }

// New returns an Age without observations, which starts at 30 seconds.
func New() Age { return Age{age: initialAge} }

// ObserveHit records that a piece was still cached after it was unused for idle.
func (a *Age) ObserveHit(idle time.Duration) {
	if idle > a.age {
		a.adjust(idle)
	}
}

// ObserveMiss records that a piece was no longer cached after it was unused for idle.
func (a *Age) ObserveMiss(idle time.Duration) {
	if idle < a.age {
		a.adjust(idle)
	}
}

// ObserveEviction records that a piece was evicted after it was unused for idle.
func (a *Age) ObserveEviction(idle time.Duration) { a.adjust(idle) }

// Holds reports whether a piece that was unused for idle is probably still cached.
func (a *Age) Holds(idle time.Duration) bool { return idle <= a.age }

// Value returns the estimated age.
func (a *Age) Value() time.Duration { return a.age }

func (a *Age) adjust(idle time.Duration) {
	a.age += time.Duration(smoothing * float64(idle-a.age))
	a.age = min(ageMax, max(ageMin, a.age))
}
