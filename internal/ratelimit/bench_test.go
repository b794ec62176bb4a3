package ratelimit

import (
	"fmt"
	"testing"
	"time"

	"currantpulley/internal/rendezvous"
)

// BenchmarkAvailable measures one check of an upstream that states a limit, of which
// this daemon has turns, beside the choice of a slot's owner among all daemons.
func BenchmarkAvailable(b *testing.B) {
	for _, daemons := range []int{21, 440} {
		names := make([]uint64, daemons)
		for i := range names {
			names[i] = rendezvous.Hash(fmt.Sprint("vm-", i))
		}
		choices := 0
		now := start
		table := New(Options{
			Part:      func() float64 { return 1 / float64(daemons) },
			WallClock: func() time.Time { return now },
			Turn: func(_ uint32, slot int64) bool {
				choices++
				return rendezvous.Top(names, rendezvous.Hash(fmt.Sprint(slot)), 1)[0] == 0
			},
		})
		table.Observe(upstream, rate(1), now, now)
		b.Run(fmt.Sprint("daemons=", daemons), func(b *testing.B) {
			choices = 0
			for b.Loop() {
				now = now.Add(time.Millisecond)
				table.Available(upstream, now)
			}
			b.ReportMetric(float64(choices)/float64(b.N), "choices/check")
		})
	}
}
