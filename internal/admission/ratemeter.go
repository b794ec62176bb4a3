package admission

import (
	"math"
	"time"
)

// measuredMin is the time of measurement from which the rate is used.
const measuredMin = 0.3 // seconds

// rateMeter measures the rate of service while the queue is not empty, in seconds
// of cost served per second.
type rateMeter struct {
	served float64 // decayed seconds of cost
	busy   float64 // decayed seconds with a queue that is not empty
	at     time.Time
}

// advance moves the meter to now. The time since the last call counts as busy
// when waiting is true, and is ignored otherwise.
func (m *rateMeter) advance(waiting bool, now time.Time) {
	dt := now.Sub(m.at).Seconds()
	first := m.at.IsZero()
	m.at = now
	if first || dt <= 0 || !waiting {
		return
	}
	decay := math.Exp(-dt / serviceRateTime.Seconds())
	m.served *= decay
	m.busy = m.busy*decay + dt
}

// rate returns the measured rate, or fallback while it was measured for less than
// measuredMin.
func (m *rateMeter) rate(fallback float64) float64 {
	if m.busy < measuredMin || m.served <= 0 {
		return max(fallback, 1e-3)
	}
	return m.served / m.busy
}
