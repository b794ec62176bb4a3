package load

import (
	"math"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"currantpulley/internal/snapshot"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func TestOwnRequestsCountImmediately(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("the estimate is never below the daemon's own load", prop.ForAll(func(sent []uint8, reported uint8) bool {
		var e Estimate
		now, own, tokens := start, 0, 0.0
		for _, n := range sent {
			now = now.Add(time.Duration(n) * time.Millisecond)
			e.Sent(float64(n), now)
			own++
			tokens += float64(n)
			e.Reported(snapshot.Load{Running: int(reported), QueuedTokens: int(reported)}, now)
		}
		return e.InFlight(1, now) >= float64(own) && e.Tokens(1, now) >= tokens && e.Own() == own
	}, gen.SliceOf(gen.UInt8()), gen.UInt8()))
	properties.TestingRun(t)
}

func TestSingleDaemonIsNotCountedTwice(t *testing.T) {
	var e Estimate
	now := start
	for range 5 {
		e.Sent(100, now)
	}
	for range 200 { // reports that contain only the daemon's own requests
		now = now.Add(100 * time.Millisecond)
		e.Reported(snapshot.Load{Running: 5, QueuedTokens: 500}, now)
	}
	if in := e.InFlight(1, now); math.Abs(in-5) > 0.01 {
		t.Errorf("%.2f requests estimated, expected the daemon's own 5", in)
	}
	for range 5 {
		e.Prefilled(100, now)
		e.Ended(now)
	}
	if e.Own() != 0 {
		t.Errorf("%d own requests left", e.Own())
	}
}

func TestGrowthFollowsOwnRequests(t *testing.T) {
	var g Growth
	g.Add(10, start)
	later := start.Add(time.Minute)
	if f := g.Factor(later); math.Abs(f-1) > 0.01 {
		t.Errorf("factor %.2f at a constant load, expected 1", f)
	}
	g.Add(18, later)
	if f := g.Factor(later); f < 2 || f > growthMax {
		t.Errorf("factor %.2f after the load grew from 10 to 28 requests", f)
	}
}
