// Package quantile estimates a quantile of a stream of positive values by
// stochastic approximation (Robbins and Monro, 1951), in constant space.
package quantile

const (
	step         = 0.08 // relative change per value
	startStep    = 0.5  // relative change for the first startSamples values
	startSamples = 16
)

// Tracker estimates one quantile. The zero value is not usable; see New. The
// first observed value replaces the initial one.
type Tracker struct {
	quantile float64
	value    float64
	samples  int
}

// New returns a tracker of a quantile in (0, 1) that starts at value.
func New(quantile, value float64) Tracker { return Tracker{quantile: quantile, value: value} }

// Observe updates the estimate with a value. It ignores values that are not
// positive.
func (t *Tracker) Observe(v float64) {
	if v <= 0 {
		return
	}
	if t.samples == 0 {
		t.value = v
	}
	s := t.nextStep()
	if v < t.value {
		t.value = max(v, t.value*(1-s*(1-t.quantile)))
		return
	}
	t.value = min(v, t.value*(1+s*t.quantile))
}

// ObserveAtLeast updates the estimate with a value of which only a lower bound is known.
// It is ignored if the bound is below the estimate, about which it says nothing then.
func (t *Tracker) ObserveAtLeast(bound float64) {
	if bound <= 0 || (t.samples > 0 && bound < t.value) {
		return
	}
	if t.samples == 0 {
		t.value = bound
	}
	t.value *= 1 + t.nextStep()*t.quantile
}

// nextStep counts a value and returns the relative change for it.
func (t *Tracker) nextStep() float64 {
	t.samples++
	if t.samples <= startSamples {
		return startStep
	}
	return step
}

// Value returns the estimate.
func (t *Tracker) Value() float64 { return t.value }

// Seen reports whether a value was observed.
func (t *Tracker) Seen() bool { return t.samples > 0 }
