package retry

import (
	"testing"
	"time"
)

// BenchmarkRefusedRepeat measures what a refused repeat costs: with all upstreams
// failing, each request asks for one.
func BenchmarkRefusedRepeat(b *testing.B) {
	w := NewWindow(Options{Clock: time.Now, Span: 10 * time.Second, Ratio: 0.2, Part: func() float64 { return 0 }, Stale: never})
	for b.Loop() {
		w.Allow()
	}
}
