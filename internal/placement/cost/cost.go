// Package cost predicts the time to first token from the work at an engine: the
// tokens that it has to prefill and the requests that it runs meanwhile.
package cost

import (
	"time"

	"currantpulley/internal/placement/quantile"
)

// Options configures a Model.
type Options struct {
	// Quantile of the observed times that is predicted. A low one leaves out the
	// time in which requests wait behind others that this daemon can't see.
	Quantile   float64
	PerRequest time.Duration // that each running request adds, until that was observed
}

const (
	initialBase = 10 * time.Millisecond
	initialRate = 20_000.0 // tokens per second
	// manyRequests is the number of running requests from which a short prefill
	// shows what each of them adds; with fewer it shows the base.
	manyRequests = 8
)

// Work is what an engine does before and while it computes a request's first token.
type Work struct {
	Tokens  float64 // to prefill, those of the request included
	Running float64 // other requests at the engine
}

// Model predicts base + slope * tokens + perRequest * running requests. The zero value
// is not usable; see New.
type Model struct{ base, slope, perRequest quantile.Tracker } // seconds, seconds per token and per request

// New returns a model that predicts a base of 10 ms and 20,000 tokens per second
// until it has observations.
func New(o Options) *Model {
	return &Model{
		base:       quantile.New(o.Quantile, initialBase.Seconds()),
		slope:      quantile.New(o.Quantile, 1/initialRate),
		perRequest: quantile.New(o.Quantile, o.PerRequest.Seconds()),
	}
}

// Observe records that the first token took ttft after w. Prefills of pieceTokens, the
// size of a cache piece, or more update the slope. Shorter ones update the time that
// each running request adds where there are many of them, and the base elsewhere.
func (m *Model) Observe(w Work, pieceTokens float64, ttft time.Duration) {
	crowd := m.perRequest.Value() * w.Running
	switch part := m.shownBy(w, pieceTokens); part {
	case &m.slope:
		part.Observe((ttft.Seconds() - m.base.Value() - crowd) / w.Tokens)
	case &m.perRequest:
		part.Observe((ttft.Seconds() - m.base.Value() - m.slope.Value()*w.Tokens) / w.Running)
	default:
		part.Observe(ttft.Seconds() - m.slope.Value()*w.Tokens - crowd)
	}
}

// Seen reports whether the prediction for w follows from observations of such work.
func (m *Model) Seen(w Work, pieceTokens float64) bool { return m.shownBy(w, pieceTokens).Seen() }

// shownBy returns the part of the prediction that the time to first token after w shows.
func (m *Model) shownBy(w Work, pieceTokens float64) *quantile.Tracker {
	switch {
	case w.Tokens >= pieceTokens:
		return &m.slope
	case w.Running >= manyRequests:
		return &m.perRequest
	default:
		return &m.base
	}
}

// Predict returns the expected time to first token after prefilling tokens.
func (m *Model) Predict(tokens float64) time.Duration {
	return seconds(m.base.Value()) + m.Prefill(tokens)
}

// Prefill returns the expected time that prefilling tokens adds.
func (m *Model) Prefill(tokens float64) time.Duration {
	return seconds(m.slope.Value() * max(0, tokens))
}

// Crowd returns the expected time that running requests add.
func (m *Model) Crowd(running float64) time.Duration {
	return seconds(m.perRequest.Value() * max(0, running))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
