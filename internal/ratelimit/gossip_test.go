package ratelimit

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a withdrawn limit that comes back because daemons pass an old statement
// on and on.
func TestWithdrawnLimitDoesNotComeBack(t *testing.T) {
	const (
		daemons = 5
		latency = 40 * time.Millisecond
	)
	var tables []*Table
	for range daemons {
		tables = append(tables, New(Options{}))
	}
	now := at(0)
	gossip := func(length time.Duration) {
		for end := now.Add(length); now.Before(end); now = now.Add(30 * time.Millisecond) {
			for from := range tables {
				if s, ok := tables[from].Share(now); ok {
					tables[(from+1+int(now.UnixMilli())%(daemons-1))%daemons].Merge(s, now.Add(latency))
				}
			}
		}
	}
	tables[0].Observe(upstream, rate(1.9), now, now)
	gossip(time.Minute)
	for _, table := range tables {
		if table.Limited() != 1 {
			t.Fatal("a daemon did not learn the limit")
		}
	}
	tables[1].Observe(upstream, nil, now, now)
	gossip(5 * time.Second)
	for n, table := range tables {
		if table.Limited() != 0 {
			t.Errorf("daemon %d takes the upstream for limited", n)
		}
	}
}

// Guards against daemons that disagree on whose slot it is, because one was told the
// limit and another has read it.
func TestToldLimitHasTheSameSlots(t *testing.T) {
	for _, text := range []float64{1.9, 2.2, 1.0 / 3, 0.7, 13.37} {
		var told Statement
		reader := New(Options{Announce: func(s Statement) { told = s }})
		reader.Observe(upstream, &text, at(0), at(0))
		listener := New(Options{})
		listener.Merge(told, at(0))
		a, b := reader.limits[upstream].Rate, listener.limits[upstream].Rate
		if now := time.Unix(1_800_000_000, 0); slotOf(now, a) != slotOf(now, b) {
			t.Error(fmt.Sprint("limit ", text, ": slots ", slotOf(now, a), " and ", slotOf(now, b)))
		}
	}
}
