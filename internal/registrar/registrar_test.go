package registrar_test

import (
	"testing"
	"time"

	"currantpulley/internal/catalog"
	"currantpulley/internal/event"
	"currantpulley/internal/registrar"
)

func ready(id string, started int64) *catalog.Upstream {
	return &catalog.Upstream{ID: id, Started: started, Service: "s", Address: "10.0.0.1:80"}
}

func leaving(id string, started int64) *catalog.Upstream {
	u := ready(id, started)
	u.Leaving = true
	return u
}

// An upstream's state must follow its entries, except that one run of it never
// returns from leaving.
func TestStateFollowsEntries(t *testing.T) {
	for name, tc := range map[string]struct {
		do   func(g *registrar.Registrar)
		want *catalog.Upstream // nil: not known
	}{
		"ready":                     {func(g *registrar.Registrar) { g.Put(ready("a", 1)) }, ready("a", 1)},
		"leaving":                   {func(g *registrar.Registrar) { g.Put(ready("a", 1)); g.Put(leaving("a", 1)) }, leaving("a", 1)},
		"an older entry":            {func(g *registrar.Registrar) { g.Put(leaving("a", 1)); g.Put(ready("a", 1)) }, leaving("a", 1)},
		"restarted":                 {func(g *registrar.Registrar) { g.Put(leaving("a", 1)); g.Put(ready("a", 2)) }, ready("a", 2)},
		"removed":                   {func(g *registrar.Registrar) { g.Put(ready("a", 1)); g.Remove("a") }, nil},
		"removed and back":          {func(g *registrar.Registrar) { g.Put(ready("a", 1)); g.Remove("a"); g.Put(ready("a", 1)) }, ready("a", 1)},
		"left and back":             {func(g *registrar.Registrar) { g.Put(leaving("a", 1)); g.Remove("a"); g.Put(ready("a", 1)) }, nil},
		"left and restarted":        {func(g *registrar.Registrar) { g.Put(leaving("a", 1)); g.Remove("a"); g.Put(ready("a", 2)) }, ready("a", 2)},
		"others removed":            {func(g *registrar.Registrar) { g.Put(ready("a", 1)); g.RemoveOthers(map[string]bool{"b": true}) }, nil},
		"removed after an outage":   {func(g *registrar.Registrar) { g.Put(ready("a", 1)); g.Recovered(); g.Remove("a") }, ready("a", 1)},
		"unreadable after outage":   {func(g *registrar.Registrar) { g.Put(ready("a", 1)); g.Recovered(); g.RemoveNow("a") }, nil},
		"never known, then removed": {func(g *registrar.Registrar) { g.Remove("a") }, nil},
	} {
		w := catalog.NewWatcher()
		tc.do(registrar.New(w, event.Discard{}))
		got := w.Load().Upstreams["a"]
		if (got == nil) != (tc.want == nil) || (got != nil && (got.Leaving != tc.want.Leaving || got.Started != tc.want.Started)) {
			t.Errorf("%s: %+v, want %+v", name, got, tc.want)
		}
	}
}

// An upstream whose entry expired in an outage must stay if it registers again at
// the moment at which its removal is due.
func TestRegistrationAtTheTimeOfADelayedRemoval(t *testing.T) {
	const upstreams = 20
	w := catalog.NewWatcher()
	g := registrar.New(w, event.Discard{})
	ids := make([]string, upstreams)
	for i := range ids {
		ids[i] = string(rune('a' + i))
		g.Put(ready(ids[i], 1))
	}
	g.Recovered()
	for _, id := range ids {
		g.Remove(id)
	}
	time.Sleep(1495 * time.Millisecond) // just before the removals
	for range 20 {
		for _, id := range ids {
			g.Put(ready(id, 1))
		}
		time.Sleep(time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond)
	if n := len(w.Load().Upstreams); n != upstreams {
		t.Errorf("%d of %d upstreams are known", n, upstreams)
	}
}
