package crossing

import (
	"math"
	"testing"
	"time"
)

func TestPrices(t *testing.T) {
	p := Prices{RoundTrip: time.Millisecond, PerMB: 500 * time.Millisecond, PerCacheGB: 100 * time.Millisecond}
	if got := p.Request(10_000); got != 6*time.Millisecond {
		t.Errorf("10 KB cost %v, want 6ms", got)
	}
	if got := p.Cache(2e9); got != 200*time.Millisecond {
		t.Errorf("2 GB of cache entries cost %v, want 200ms", got)
	}
	if (Prices{}).AreSet() || !p.AreSet() {
		t.Error("wrong whether prices are set")
	}
}

func TestWhy(t *testing.T) {
	ms := time.Millisecond
	here := Option{Available: true, InTime: true, Cost: 100 * ms, Parts: 60 * ms}
	for want, elsewhere := range map[Reason]Option{
		Parts: {Available: true, InTime: true, Cost: 50 * ms, Parts: 0},
		Wait:  {Available: true, InTime: true, Cost: 50 * ms, Parts: 55 * ms},
	} {
		if got := Why(here, elsewhere); got != want {
			t.Errorf("%v, want %v", got, want)
		}
	}
	best := Option{Available: true, InTime: true}
	if got := Why(Option{InTime: true}, best); got != NoneHere {
		t.Errorf("%v without a server here", got)
	}
	if got := Why(Option{Available: true}, best); got != InTime {
		t.Errorf("%v where the answer is late here", got)
	}
}

func TestPartLevelsTheWaits(t *testing.T) {
	d := Division{Gap: 100 * time.Millisecond, Here: 10, Elsewhere: 20, Arriving: 4, Delay: time.Second}
	if got, want := d.Part(), 0.1/(0.1+0.05)/4; math.Abs(got-want) > 1e-9 {
		t.Errorf("part %.3f, want %.3f", got, want)
	}
	for _, c := range []struct {
		change func(*Division)
		want   float64
	}{
		{func(d *Division) { d.Gap = 0 }, 0},
		{func(d *Division) { d.Elsewhere = 0 }, 0},
		{func(d *Division) { d.Here = 0 }, 1},
		{func(d *Division) { d.Arriving = 0 }, 1},
		{func(d *Division) { d.Gap = time.Hour }, 1},
	} {
		other := d
		c.change(&other)
		if got := other.Part(); got != c.want {
			t.Errorf("part %v of %+v, want %v", got, other, c.want)
		}
	}
}

func TestMeter(t *testing.T) {
	m, now := Meter{}, time.Unix(10, 0)
	for range 2000 {
		now = now.Add(10 * time.Millisecond)
		m.Add(5*time.Millisecond, now)
	}
	if got := m.Rate(now); math.Abs(got-0.5) > 0.01 {
		t.Errorf("rate %.3f, want 0.5", got)
	}
	if got := m.Rate(now.Add(10 * rateTime)); got > 0.01 {
		t.Errorf("rate %.3f long after", got)
	}
}
