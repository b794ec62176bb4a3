package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"currantpulley/internal/catalog"
)

// Many daemons with the same reports must not all send what comes to them before the next
// ones to the upstream that has a little less to do than the others. Where reports come
// often, and without other daemons, each takes the best.
func TestDaemonsWithOldReportsDontSendToTheSameUpstream(t *testing.T) {
	const daemons, upstreams = 40, 12
	for _, tc := range []struct {
		interval    time.Duration // between two reports
		least, most int           // requests at the idle upstream
	}{
		{700 * time.Millisecond, 1, daemons / 2},
		{30 * time.Millisecond, daemons, daemons},
		{0, daemons, daemons},
	} {
		atIdle := 0
		for i := range daemons {
			b, w := New(Options{DataCentre: "a", UsePaces: true}), catalog.NewWatcher()
			b.random = rand.New(rand.NewPCG(uint64(i), 3)).Float64
			uses := make(map[catalog.Key]Use)
			for j := range upstreams {
				u := &catalog.Upstream{ID: fmt.Sprint("c", j), Service: "calls", DataCentre: "a", Slots: brittleSlots}
				w.PutUpstream(u)
				uses[u.Key()] = Use{Requests: min(1, j)}
			}
			if tc.interval > 0 {
				b.SetPeerWork("vm-0", uses, testNow.Add(-tc.interval), testNow.Add(time.Second))
			}
			b.SetPeerWork("vm-0", uses, testNow, testNow.Add(time.Second))
			if p := b.Pick(w.Load(), &Work{Service: "calls"}, testNow); p.Upstream.ID == "c0" {
				atIdle++
			}
		}
		if atIdle < tc.least || atIdle > tc.most {
			t.Errorf("reports each %v: %d of %d requests go to the idle upstream, want %d to %d", tc.interval, atIdle, daemons, tc.least, tc.most)
		}
	}
}
