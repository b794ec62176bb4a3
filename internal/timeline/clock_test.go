package timeline

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var start = time.UnixMilli(1_700_000_000_000)

// step is an event at one of three VMs. The VM's physical clock moves by millis,
// which may be negative; then the VM receives the last message of VM from, or,
// if from is 3, has a local event.
type step struct{ vm, from, millis int }

// Timestamps must increase at each VM and along each message also when physical
// clocks differ or go back, else the timeline shows effects before their causes.
func TestClockRespectsCausality(t *testing.T) {
	genStep := gopter.CombineGens(gen.IntRange(0, 2), gen.IntRange(0, 3), gen.IntRange(-50, 50)).Map(
		func(v []any) step { return step{v[0].(int), v[1].(int), v[2].(int)} })
	properties := gopter.NewProperties(nil)
	properties.Property("timestamps increase at each VM and along each message, and stay near the fastest clock", prop.ForAll(
		func(steps []step) bool {
			physical := [3]time.Time{start, start.Add(-time.Second), start.Add(time.Second)}
			highest := start.Add(time.Second)
			var clocks [3]*Clock
			var last [3]Timestamp
			for i := range clocks {
				clocks[i] = NewClock(func() time.Time { return physical[i] })
			}
			for _, s := range steps {
				physical[s.vm] = physical[s.vm].Add(time.Duration(s.millis) * time.Millisecond)
				if physical[s.vm].After(highest) {
					highest = physical[s.vm]
				}
				before := last[s.vm]
				if s.from < 3 {
					before = max(before, last[s.from])
					last[s.vm] = clocks[s.vm].Observe(last[s.from])
				} else {
					last[s.vm] = clocks[s.vm].Now()
				}
				if last[s.vm] <= before || last[s.vm].Time().Sub(highest) > time.Millisecond {
					return false
				}
			}
			return true
		},
		gen.SliceOf(genStep),
	))
	properties.TestingRun(t)
}

// A peer whose clock is an hour ahead must not move this clock, while one that is
// a second ahead must.
func TestClockIgnoresAPeerFarAhead(t *testing.T) {
	clock := NewClock(func() time.Time { return start })
	farAhead := Timestamp(start.Add(time.Hour).UnixMilli()) << counterBits
	if got := clock.Observe(farAhead); got.Time().Sub(start) > maxAhead {
		t.Errorf("the clock followed a peer to %v", got.Time())
	}
	slightlyAhead := Timestamp(start.Add(time.Second).UnixMilli()) << counterBits
	if got := clock.Observe(slightlyAhead); got <= slightlyAhead {
		t.Errorf("the clock stayed behind a peer that is a second ahead: %v", got.Time())
	}
}
