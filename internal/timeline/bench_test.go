package timeline

import (
	"runtime"
	"testing"

	"github.com/rs/zerolog"

	"currantpulley/internal/event"
)

// BenchmarkRecorder measures the memory per event of a full ring buffer and the
// time to record one event.
func BenchmarkRecorder(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	r := NewRecorder("vm", NewClock(nil), zerolog.Nop(), 0)
	e := event.Event{ID: event.RequestServed, Workspace: "workspace", Upstream: "upstream", Step: "account"}
	fill := func() {
		for range defaultKeep {
			e.Request = string(make([]byte, 26))
			r.Record(e)
		}
	}
	fill()
	runtime.GC()
	runtime.ReadMemStats(&after)
	for b.Loop() {
		r.Record(e)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/defaultKeep, "B/event")
	runtime.KeepAlive(r)
}
