package slowness

import (
	"math"
	"slices"
)

// median returns the median ratio of the meters that are not marked slow and
// have samplesMin observations, or 1 when there is none. It is at least 1/2, so
// that an upstream of normal speed does not look slow where most answer faster
// than predicted.
func median(meters []*Meter) float64 {
	logs := make([]float64, 0, len(meters))
	for _, m := range meters {
		if !m.slow && m.samples >= samplesMin {
			logs = append(logs, m.logRatio)
		}
	}
	if len(logs) == 0 {
		return 1
	}
	slices.Sort(logs)
	return max(0.5, math.Exp(logs[(len(logs)-1)/2]))
}
