package lease

import (
	"fmt"
	"testing"
	"time"

	"currantpulley/internal/logrecord"
)

// BenchmarkHour measures the appends and log bytes of an hour in which a number
// of groups hold their leases all the time.
func BenchmarkHour(b *testing.B) {
	const (
		hour = time.Hour
		step = 100 * time.Millisecond
	)
	for _, groups := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("groups=%d", groups), func(b *testing.B) {
			appends, size := 0, 0
			for b.Loop() {
				appends, size = 0, 0
				d := &daemons{t: &testing.T{}, now: time.UnixMilli(1_700_000_000_000)}
				t := NewTable("vm")
				t.Start(1)
				for i := range groups {
					t.Acquire(d.now, fmt.Sprintf("group/atlas/group-%d", i), testLease, 1)
				}
				for end := d.now.Add(hour); d.now.Before(end); d.advance(step) {
					t.Expire(d.now)
					r := t.NextRecord(d.now)
					if r == nil {
						continue
					}
					data, err := logrecord.Encode(recordVersion, r)
					if err != nil {
						b.Fatal(err)
					}
					appends++
					size += len(data)
					t.AppendDone(r, false)
					for _, c := range r.Claims {
						t.apply(d.now, t.next, r.Seen, c)
					}
					t.next++
				}
			}
			b.ReportMetric(float64(appends)/float64(groups), "appends/group-hour")
			b.ReportMetric(float64(size)/float64(groups), "log-B/group-hour")
		})
	}
}
