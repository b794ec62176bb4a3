package exchange

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"currantpulley/internal/balance"
	"currantpulley/internal/fleet"
)

// BenchmarkState measures the size of a state and the bytes per second that one
// daemon sends. The load is that of docs/CAPACITY.md, where a daemon has work at
// fifteen engines at a time.
func BenchmarkState(b *testing.B) {
	for _, vms := range []int{21, 440} {
		e := New(Options{
			Self: "front-casa-a-1",
			View: func() fleet.View { return fleet.View{VMs: view(vms)} },
			Collect: func() []Use {
				uses := make([]Use, 15)
				for i := range uses {
					uses[i] = Use{uint32(i) << 20, balance.Use{Requests: 2, NotResumable: 1, Tokens: 9200}}
				}
				return uses
			},
			ComputedPrefixes: func(_ time.Duration, limit int) []balance.Held { return make([]balance.Held, limit/2) },
			Announcements:    func() []Announcement { return []Announcement{{"model", 7, time.Second}, {"model", 6, 5 * time.Second}} },
			Proof:            func() (int64, time.Duration, bool) { return 1000, time.Second, true },
		})
		b.Run(fmt.Sprint("vms=", vms), func(b *testing.B) {
			size := 0
			for b.Loop() {
				size = proto.Size(e.state(time.Now()))
			}
			b.ReportMetric(float64(size), "B/state")
			b.ReportMetric(float64(size)*float64(vms)/period(vms).Seconds(), "B/s")
		})
	}
}
