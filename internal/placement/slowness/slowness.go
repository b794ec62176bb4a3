// Package slowness detects upstreams that answer more slowly than predicted, from
// the daemon's own observations, and marks them slow. A slow upstream gets only
// probe requests until it has recovered.
package slowness

import (
	"math"
	"time"
)

const (
	smoothing       = 0.5  // weight of a new observation
	ratioMax        = 20.0 // bound of a single observed ratio, and of its inverse
	slowRatio       = 2.5  // over the median, from which an upstream is marked slow
	recoveredRatio  = 1.4  // over the median, below which a slow upstream has recovered
	samplesMin      = 2    // observations before a meter is compared
	probeInterval   = 400 * time.Millisecond
	recoverySamples = 2 // observations while marked slow before it can recover
)

// Meter measures the slowness of one upstream. The zero value stands for an
// upstream of normal speed.
type Meter struct {
	logRatio float64 // smoothed logarithm of observed over predicted time
	samples  int
	probes   int // observations since it was marked slow
	slow     bool
	probedAt time.Time
}

// Observe records an observed time and the time predicted for it.
func (m *Meter) Observe(observed, predicted time.Duration) {
	if observed <= 0 || predicted <= 0 {
		return
	}
	ratio := min(ratioMax, max(1/ratioMax, float64(observed)/float64(predicted)))
	if m.samples == 0 {
		m.logRatio = smoothing * math.Log(ratio)
	} else {
		m.logRatio += smoothing * (math.Log(ratio) - m.logRatio)
	}
	m.samples++
	if m.slow {
		m.probes++
	}
}

// Ratio returns the smoothed ratio of observed to predicted time.
func (m *Meter) Ratio() float64 { return math.Exp(m.logRatio) }

// Slow reports whether the upstream is marked slow.
func (m *Meter) Slow() bool { return m.slow }

// Probe reports whether a slow upstream may get a probe request now, and records
// it as sent.
func (m *Meter) Probe(now time.Time) bool {
	if !m.slow || now.Sub(m.probedAt) < probeInterval {
		return false
	}
	m.probedAt = now
	return true
}

// ProbeDue reports whether Probe would return true.
func (m *Meter) ProbeDue(now time.Time) bool {
	return m.slow && now.Sub(m.probedAt) >= probeInterval
}

// Change states that a meter was marked slow, or has recovered.
type Change struct {
	Index int     // of the meter
	Slow  bool    // marked slow
	Ratio float64 // of observed to predicted time; 1 for a recovered meter
}

// Review compares the meters with each other, marks the slowest ones and clears
// the mark of those that have recovered. It returns the changes. At most
// MaxSlow(len(meters), share) meters are marked.
func Review(meters []*Meter, share float64, now time.Time) []Change {
	var changes []Change
	normal := median(meters)
	slow := 0
	for i, m := range meters {
		if !m.slow {
			continue
		}
		if m.probes >= recoverySamples && m.Ratio() < recoveredRatio*normal {
			*m = Meter{}
			changes = append(changes, Change{i, false, 1})
			continue
		}
		slow++
	}
	for slow < MaxSlow(len(meters), share) {
		worst := slowest(meters)
		if worst < 0 || meters[worst].Ratio() < slowRatio*normal {
			break
		}
		m := meters[worst]
		m.slow, m.probes, m.probedAt = true, 0, now
		changes = append(changes, Change{worst, true, m.Ratio()})
		slow++
	}
	return changes
}

// MaxSlow returns the largest number of n upstreams that may be marked slow:
// share of them, rounded down, but at least one of three or more.
func MaxSlow(n int, share float64) int {
	if n < 3 || share <= 0 {
		return 0
	}
	return max(1, int(share*float64(n)))
}

// slowest returns the index of the meter with the highest ratio that is not
// marked slow and has samplesMin observations, or -1.
func slowest(meters []*Meter) int {
	worst := -1
	for i, m := range meters {
		if m.slow || m.samples < samplesMin {
			continue
		}
		if worst < 0 || m.logRatio > meters[worst].logRatio {
			worst = i
		}
	}
	return worst
}
