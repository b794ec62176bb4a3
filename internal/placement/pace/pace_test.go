package pace

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var start = time.Unix(1000, 0)

// Whatever answers and claims come, at whatever times of a clock that may jump, paces stay
// within their bounds.
func TestPacesStayWithinBounds(t *testing.T) {
	numbers := gen.OneGenOf(gen.Float64(), gen.OneConstOf(0.0, -1.0, 1e-300, 1e300, math.Inf(1), math.Inf(-1), math.NaN(), 2.0, weightMax))
	properties := gopter.NewProperties(nil)
	properties.Property("bounded", prop.ForAll(func(durations []int64, values []float64, jumps []int64) bool {
		table, now := New(), start
		for i, d := range durations {
			upstream := uint32(i % 3)
			table.Observe(upstream, time.Duration(d), time.Duration(durations[len(durations)-1-i]), now)
			if len(values) > 1 {
				claim := Claim{upstream, values[i%len(values)], values[(i+1)%len(values)]}
				if err := table.Merge(fmt.Sprint("vm-", i%4), []Claim{claim}, now); (err != nil) != (claim.check() != nil) {
					return false
				}
			}
			if len(jumps) > 0 {
				now = start.Add(time.Duration(jumps[i%len(jumps)]))
			}
			for _, p := range table.Paces([]uint32{0, 1, 2, 3}, now) {
				if !(p >= 1/Max && p <= Max) {
					return false
				}
			}
			for _, c := range table.Claims(time.Hour, 2, now) {
				if c.check() != nil {
					return false
				}
			}
		}
		return true
	}, gen.SliceOf(gen.Int64Range(-int64(time.Minute), int64(time.Minute))), gen.SliceOf(numbers), gen.SliceOf(gen.Int64())))
	properties.TestingRun(t)
}

// What one daemon claims of an upstream counts as its few answers there, however often it
// is told, and the answers to the others outweigh it.
func TestOneDaemonDoesNotDecide(t *testing.T) {
	table := New()
	for range 100 {
		if err := table.Merge("liar", []Claim{{1, math.Log(8), weightMax}}, start); err != nil {
			t.Fatal(err)
		}
	}
	for i := range 10 {
		claims := []Claim{{1, 0, weightMax / 2}, {2, 0, weightMax / 2}}
		if err := table.Merge(fmt.Sprint("vm-", i), claims, start); err != nil {
			t.Fatal(err)
		}
	}
	if got := table.Paces([]uint32{1, 2}, start)[0]; got > 1.5 {
		t.Errorf("one daemon of eleven makes the pace %.2f", got)
	}
}

// Evidence that came long ago no longer counts, and what all upstreams of a service have in
// common isn't the pace of one.
func TestPacesAreRelativeAndRecent(t *testing.T) {
	table := New()
	observe := func(upstream uint32, ratio float64, now time.Time) {
		for range 20 {
			table.Observe(upstream, time.Duration(ratio*float64(time.Second)), time.Second, now)
		}
	}
	for upstream := range uint32(3) {
		observe(upstream, 3, start)
	}
	for i, p := range table.Paces([]uint32{0, 1, 2}, start) {
		if math.Abs(p-1) > 0.01 {
			t.Errorf("upstream %d of three that are all three times slower than expected has pace %.2f", i, p)
		}
	}
	now := start.Add(time.Minute)
	observe(0, 2, now)
	observe(1, 1, now)
	paces := table.Paces([]uint32{0, 1, 2}, now)
	if ratio := paces[0] / paces[1]; ratio < 1.8 || ratio > 2.2 || paces[2] != 1 {
		t.Errorf("paces %.2f, the first takes twice as long as the second, nothing is known of the third", paces)
	}
	if p := table.Paces([]uint32{0, 1}, now.Add(10*halfLife))[0]; math.Abs(p-1) > 0.02 {
		t.Errorf("pace %.2f long after the last answer", p)
	}
}
