package observe

import (
	"testing"
	"time"

	"currantpulley/internal/balance"
	"currantpulley/internal/catalog"
	"currantpulley/internal/freshness"
)

// served is an engine whose entry states the weights version that it serves.
func served(id string, version uint64) *catalog.Upstream {
	return &catalog.Upstream{ID: id, Service: "llm", Weights: map[string]uint64{"m": version}}
}

// The age must be that of the first version newer than the oldest weights, not of
// the newest version, however many versions were announced since.
func TestUpstreamsBehind(t *testing.T) {
	leaving := served("gone", 1)
	leaving.Leaving = true
	for _, tc := range []struct {
		name      string
		upstreams []*catalog.Upstream
		count     int
		oldest    time.Duration
	}{
		{"no upstream", nil, 0, 0},
		{"all at the target", []*catalog.Upstream{served("a", 4), served("b", 4)}, 0, 0},
		{"ahead of the known target", []*catalog.Upstream{served("a", 5)}, 0, 0},
		{"one version behind", []*catalog.Upstream{served("a", 4), served("b", 3)}, 1, 10 * time.Second},
		{"several versions behind", []*catalog.Upstream{served("a", 1), served("b", 3), served("c", 4)}, 2, 30 * time.Second},
		{"a leaving upstream", []*catalog.Upstream{served("a", 4), leaving}, 0, 0},
		{"an upstream without weights", []*catalog.Upstream{{ID: "plain", Service: "desk"}}, 0, 0},
		{"the balancer knows a newer version", []*catalog.Upstream{served("heard", 1), served("b", 3)}, 1, 10 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			now := freshness.Time()
			d := Daemon{Watcher: catalog.NewWatcher(), Balancer: balance.New(balance.Options{})}
			for version := uint64(2); version <= 4; version++ {
				d.Watcher.SetTarget("m", catalog.Announcement{Version: version, At: now.Add(-time.Duration(5-version) * 10 * time.Second)})
			}
			for _, u := range tc.upstreams {
				d.Watcher.PutUpstream(u)
			}
			d.Balancer.RecordVersion(catalog.Key{ID: "heard"}, "m", 4, now)
			got := d.behind()
			if got.upstreams != tc.count || got.oldest.Round(5*time.Second) != tc.oldest {
				t.Errorf("%d behind for %v, want %d for %v", got.upstreams, got.oldest, tc.count, tc.oldest)
			}
		})
	}
}

// Only the model whose weights are behind counts where an upstream serves several.
func TestUpstreamBehindInOneModel(t *testing.T) {
	now := freshness.Time()
	d := Daemon{Watcher: catalog.NewWatcher(), Balancer: balance.New(balance.Options{})}
	d.Watcher.SetTarget("m", catalog.Announcement{Version: 2, At: now.Add(-time.Hour)})
	d.Watcher.SetTarget("n", catalog.Announcement{Version: 7, At: now.Add(-10 * time.Second)})
	d.Watcher.SetTarget("other", catalog.Announcement{Version: 3, At: now.Add(-time.Hour)})
	d.Watcher.PutUpstream(&catalog.Upstream{ID: "a", Weights: map[string]uint64{"m": 2, "n": 6}})
	if got := d.behind(); got.upstreams != 1 || got.oldest.Round(5*time.Second) != 10*time.Second {
		t.Errorf("%d behind for %v", got.upstreams, got.oldest)
	}
}
