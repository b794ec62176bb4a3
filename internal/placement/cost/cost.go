// Package cost predicts the time to first token from the number of tokens that
// an engine has to prefill.
//
// Most requests also wait behind requests that this daemon can't see. So the
// model tracks a low quantile of the observed times, that of requests that
// hardly waited.
package cost

import (
	"time"

	"currantpulley/internal/placement/quantile"
)

const (
	unqueuedQuantile = 0.25 // quantile of the observed times that is taken as free of waiting
	initialBase      = 10 * time.Millisecond
	initialRate      = 20_000.0 // tokens per second
)

// Model predicts base + slope * tokens. The zero value is not usable; see New.
type Model struct{ base, slope quantile.Tracker } // seconds, seconds per token

// New returns a model that predicts a base of 10 ms and 20,000 tokens per second
// until it has observations.
func New() *Model {
	return &Model{
		base:  quantile.New(unqueuedQuantile, initialBase.Seconds()),
		slope: quantile.New(unqueuedQuantile, 1/initialRate),
	}
}

// Observe records that the first token took ttft after a prefill of tokens.
// Prefills of less than pieceTokens, the size of a cache piece, update the base
// and longer ones the slope.
func (m *Model) Observe(tokens, pieceTokens float64, ttft time.Duration) {
	if tokens >= pieceTokens {
		m.slope.Observe((ttft.Seconds() - m.base.Value()) / tokens)
		return
	}
	m.base.Observe(ttft.Seconds() - m.slope.Value()*tokens)
}

// Predict returns the expected time to first token after prefilling tokens.
func (m *Model) Predict(tokens float64) time.Duration {
	return seconds(m.base.Value()) + m.Prefill(tokens)
}

// Prefill returns the expected time that prefilling tokens adds.
func (m *Model) Prefill(tokens float64) time.Duration {
	return seconds(m.slope.Value() * max(0, tokens))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
