package rollout

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"currantpulley/internal/catalog"
)

var planNow = time.Unix(1000, 0)

func engines(versions ...uint64) []Engine {
	var out []Engine
	for i, v := range versions {
		out = append(out, Engine{Key: catalog.Key{ID: fmt.Sprintf("e%02d", i)}, Version: v})
	}
	return out
}

func ids(keys []catalog.Key) []string {
	var out []string
	for _, k := range keys {
		out = append(out, k.ID)
	}
	return out
}

func TestPlan(t *testing.T) {
	loading := engines(1, 1, 1, 1, 1, 1, 1, 1)
	loading[3].OrderedVersion, loading[3].OrderedAt = 2, planNow.Add(-time.Second)
	timedOut := engines(1, 1, 1, 1)
	timedOut[0].OrderedVersion, timedOut[0].OrderedAt = 2, planNow.Add(-orderTimeout)
	backingOff := engines(1, 1, 1, 1)
	backingOff[0].RetryAt = planNow.Add(time.Second)
	lanes := engines(1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1)
	for i := range 3 {
		lanes[i].ShortLane = true
	}
	busy := engines(1, 1, 1, 1)
	busy[0].Load = 5
	for _, tc := range []struct {
		name    string
		engines []Engine
		target  uint64
		want    []string
	}{
		{"nothing behind", engines(2, 2, 2), 2, nil},
		{"a quarter at once", engines(1, 1, 1, 1, 1, 1, 1, 1), 2, []string{"e00", "e01"}},
		{"one of few", engines(1, 1), 2, []string{"e00"}},
		{"furthest behind first", engines(2, 2, 1, 2), 3, []string{"e02"}},
		{"superseded version skipped", engines(1, 3, 3, 3), 3, []string{"e00"}},
		{"an engine that loads counts against the limit", loading, 2, []string{"e00"}},
		{"an order without effect is repeated", timedOut, 2, []string{"e00"}},
		{"not before the retry", backingOff, 2, []string{"e01"}},
		{"least busy first", busy, 2, []string{"e01"}},
		{"lanes are limited separately", lanes, 2, []string{"e00", "e03", "e04"}},
	} {
		if got := ids(Plan(tc.engines, tc.target, planNow)); !slices.Equal(got, tc.want) {
			t.Errorf("%s: %v, want %v", tc.name, got, tc.want)
		}
	}
}

// Versions are announced faster than all engines can load them. Every engine
// must still be updated: none may miss a version for more than two periods.
func TestNoEngineStarvesUnderAStreamOfVersions(t *testing.T) {
	const (
		n        = 12
		loadTime = 700 * time.Millisecond
		period   = 3 * time.Second
		tick     = 50 * time.Millisecond
		rounds   = 40
	)
	all := engines(make([]uint64, n)...)
	for i := range all {
		all[i].Version = 1
	}
	announcedAt := make(map[uint64]time.Time)
	now, target, maxLag := planNow, uint64(1), time.Duration(0)
	loadedAt := make(map[int]time.Time)
	for step := range int(period/tick) * rounds {
		if step%int(period/tick) == 0 {
			target++
			announcedAt[target] = now
		}
		for i, at := range loadedAt {
			if !now.Before(at) {
				all[i].Version, all[i].OrderedVersion = all[i].OrderedVersion, 0
				delete(loadedAt, i)
			}
		}
		for _, k := range Plan(all, target, now) {
			i := slices.IndexFunc(all, func(e Engine) bool { return e.Key == k })
			all[i].OrderedVersion, all[i].OrderedAt = target, now
			loadedAt[i] = now.Add(loadTime)
		}
		for _, e := range all {
			if at, ok := announcedAt[e.Version+1]; ok {
				maxLag = max(maxLag, now.Sub(at))
			}
		}
		now = now.Add(tick)
	}
	if bound := 2 * period; maxLag > bound {
		t.Errorf("an engine was behind for %v, more than %v", maxLag, bound)
	}
}

func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{18, 1500} {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			all := engines(make([]uint64, n)...)
			for b.Loop() {
				Plan(all, 1, planNow)
			}
		})
	}
}
