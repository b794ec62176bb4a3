package catalog

import (
	"maps"
	"testing"
	"time"
)

// The builds of a service must include those of upstreams that were removed or
// replaced within the window, and are unknown while the watcher is younger.
func TestBuildsOf(t *testing.T) {
	const window = 10 * time.Second
	now := time.Unix(1000, 0)
	w := NewWatcher()
	w.now = func() time.Time { return now }
	v1, v2 := BuildOf("s", "v1"), BuildOf("s", "v2")
	for _, step := range []struct {
		name   string
		after  time.Duration
		do     func()
		builds map[Build]bool
	}{
		{"no upstream", 0, func() {}, map[Build]bool{}},
		{"first upstream", 0, func() { w.PutUpstream(&Upstream{ID: "a", Service: "s", Software: "v1"}) }, map[Build]bool{v1: true}},
		{"known for the window", window, func() {}, map[Build]bool{v1: true}},
		{"second version", time.Second, func() { w.PutUpstream(&Upstream{ID: "b", Service: "s", Software: "v2"}) }, map[Build]bool{v1: true, v2: true}},
		{"first version gone", time.Second, func() { w.RemoveUpstream("a") }, map[Build]bool{v1: true, v2: true}},
		{"gone for the window", window, func() {}, map[Build]bool{v1: true, v2: true}},
		{"gone for longer", time.Second, func() {}, map[Build]bool{v2: true}},
		{"replaced under its id", 0, func() { w.PutUpstream(&Upstream{ID: "b", Service: "s", Software: "v1"}) }, map[Build]bool{v1: true, v2: true}},
		{"replaced long ago", 2 * window, func() {}, map[Build]bool{v1: true}},
	} {
		now = now.Add(step.after)
		step.do()
		known := now.Sub(time.Unix(1000, 0)) >= window
		if got, all := w.BuildsOf("s", window); !maps.Equal(got, step.builds) || all != known {
			t.Errorf("%s: %v, %v", step.name, got, all)
		}
	}
}
