package holdoff

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// A pause must hold for its time, whatever responses come in between, and no longer.
func TestPauses(t *testing.T) {
	for _, tc := range []struct {
		name  string
		asked []time.Duration // one response each 100 ms
		until time.Duration
	}{
		{"none", nil, 0},
		{"one", []time.Duration{2 * time.Second}, 2 * time.Second},
		{"zero and negative", []time.Duration{0, -time.Second}, 0},
		{"longer later", []time.Duration{time.Second, 2 * time.Second}, 2100 * time.Millisecond},
		{"shorter later", []time.Duration{2 * time.Second, time.Second}, 2 * time.Second},
		{"huge", []time.Duration{1 << 62}, MaxPause},
	} {
		table := New(nil)
		for i, d := range tc.asked {
			table.Record(Notice{Upstream: 1, Pause: d}, at(time.Duration(i)*100*time.Millisecond))
		}
		if s, _ := table.State(1, at(tc.until)); s != Open {
			t.Errorf("%s: state %d after %v", tc.name, s, tc.until)
		}
		if s, until := table.State(1, at(tc.until-time.Millisecond)); tc.until > 0 && (s != Paused || !until.Equal(at(tc.until))) {
			t.Errorf("%s: state %d until %v a millisecond before %v", tc.name, s, until, tc.until)
		}
		if s, _ := table.State(2, start); s != Open {
			t.Errorf("%s: state %d of another upstream", tc.name, s)
		}
	}
}

// An upstream that leaves must get no requests any more, also after a pause.
func TestLeaving(t *testing.T) {
	var changes []Change
	table := New(func(c Change) { changes = append(changes, c) })
	table.Record(Notice{Upstream: 1, Pause: time.Second}, start)
	table.Record(Notice{Upstream: 1, Pause: 2 * time.Second}, start)
	table.Record(Notice{Upstream: 1, Leaving: true}, at(time.Millisecond))
	table.Record(Notice{Upstream: 1, Leaving: true}, at(2*time.Millisecond))
	table.Record(Notice{Upstream: 1, Pause: time.Second}, at(3*time.Millisecond))
	if s, _ := table.State(1, at(10*time.Minute)); s != Leaving {
		t.Errorf("state %d", s)
	}
	if len(changes) != 2 || changes[0] != (Change{1, Paused, time.Second}) || changes[1].State != Leaving {
		t.Errorf("changes %v", changes)
	}
}

// Whoever answers must not be able to fill the memory.
func TestMemoryIsBounded(t *testing.T) {
	table := New(nil)
	for u := range uint32(maxUpstreams + 64) {
		table.Record(Notice{Upstream: u, Pause: time.Duration(1+u) * time.Millisecond}, start)
	}
	if n := len(table.upstreams); n > maxUpstreams {
		t.Errorf("%d upstreams are remembered", n)
	}
	if s, _ := table.State(maxUpstreams+63, start); s != Paused {
		t.Error("the longest pause was forgotten")
	}
}

// The path without such responses must cost next to nothing.
func BenchmarkStateWithoutEntries(b *testing.B) {
	table := New(nil)
	for range b.N {
		table.State(1, start)
	}
}
