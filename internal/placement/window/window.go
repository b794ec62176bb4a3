// Package window bounds the requests of all daemons in flight at an upstream
// with additive increase and multiplicative decrease (AIMD), driven by the time
// that requests wait in the engine.
package window

import "time"

const (
	sizeMin          = 2.0   // requests
	sizeMax          = 512.0 // requests
	decreaseFactor   = 0.85
	decreaseInterval = 200 * time.Millisecond
	growThreshold    = 0.75 // share of the window that must be in use for it to grow
)

// Window is the concurrency limit of one upstream. The zero value is not usable;
// see New.
type Window struct {
	size        float64
	max         float64
	decreasedAt time.Time
}

// New returns a window of start requests that grows to at most limit requests. A
// limit of 0 stands for the default maximum of 512.
func New(start, limit int) Window {
	w := Window{max: sizeMax}
	if limit > 0 {
		w.max = float64(limit)
	}
	w.size = min(w.max, max(sizeMin, float64(start)))
	return w
}

// Observe adjusts the window to a request that waited for delay before its
// prefill, with inFlight requests at the upstream. A delay above target shrinks
// the window, at most once per decreaseInterval.
func (w *Window) Observe(delay, target time.Duration, inFlight float64, now time.Time) {
	if delay <= target {
		if inFlight >= w.size*growThreshold {
			w.size = min(w.max, w.size+1/w.size)
		}
		return
	}
	if now.Sub(w.decreasedAt) < decreaseInterval {
		return
	}
	w.decreasedAt = now
	w.size = max(sizeMin, w.size*decreaseFactor)
}

// Size returns the number of requests that may be in flight.
func (w *Window) Size() float64 { return w.size }
