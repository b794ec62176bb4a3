package fairness

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPlace places requests of 16 workspaces at one of 141 daemons while room is
// short.
func BenchmarkPlace(b *testing.B) {
	now := time.Unix(10, 0)
	table := New(func(uint32) float64 { return 0 })
	for vm := range 140 {
		uses := []Use{{Flow{1, uint32(vm % 16)}, 9000}, {Flow{1, uint32(vm % 5)}, 900}}
		table.SetPeer(fmt.Sprint(vm), uses, now, now.Add(time.Second))
	}
	table.Observe(1, 0, 3*time.Second, time.Second, now)
	for i := range b.N {
		table.Place(Flow{1, uint32(i % 16)}, 0, uint64(i), now)
	}
}
