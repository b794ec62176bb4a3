package orders

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"currantpulley/internal/config"
	"currantpulley/internal/control/lease"
	"currantpulley/internal/upstream"
)

// BenchmarkTick measures the time of one tick over engines that are in the
// configured state, and the memory that the planner uses per engine.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{12, 120, 1500} {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			now := time.UnixMilli(1_700_000_000_000)
			c := &config.Config{Site: "s", Models: map[string]*config.Model{"m": {Name: "m", Weights: "v1"}}, Upstreams: make(map[string]*config.Upstream)}
			for i := range n {
				name := fmt.Sprint("engine-", i)
				c.Upstreams[name] = &config.Upstream{Name: name, Kind: config.KindEngine, Address: name, Models: []string{"m"}, Group: "g"}
			}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			p := newPlanner(lease.NewTable("vm"), func(Status) {})
			ownGroups := map[string]bool{"g": true}
			p.configure(now, 1, c, ownGroups)
			for _, t := range p.duePolls(now) {
				p.recordState(now, t, &upstream.State{Weights: map[string]string{"m": "v1"}}, nil)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ResetTimer()
			for b.Loop() {
				p.configure(now, 1, c, ownGroups)
				if orders := p.plan(now, func(string, string) bool { return true }); len(orders) > 0 {
					b.Fatalf("%d orders to engines that are in the configured state", len(orders))
				}
				p.duePolls(now)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/engine")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/engine-tick")
			runtime.KeepAlive(p)
		})
	}
}
