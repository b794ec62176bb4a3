package timeline

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/rs/zerolog"

	"currantpulley/internal/event"
	"currantpulley/internal/fleet"
	"currantpulley/internal/peer"
)

// clockLag is how far each VM's clock is behind that of the VM before it.
const clockLag = 20 * time.Second

// newTestRecorder returns a recorder without a log.
func newTestRecorder(vm string, keep int) *Recorder {
	return NewRecorder(vm, NewClock(nil), zerolog.Nop(), keep)
}

// The recorder must keep the latest events in bounded memory, and a flood of debug
// events must not evict the others.
func TestRingKeepsTheLatest(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("bounded, in order, debug events separate", prop.ForAll(
		func(keep int, debug []bool) bool {
			r := newTestRecorder("vm", keep)
			var want [2][]string
			for i, d := range debug {
				id, ring := event.MemberDied, 0
				if d {
					id, ring = event.MemberForgotten, 1
				}
				r.Record(event.Event{ID: id, Detail: fmt.Sprint(i)})
				want[ring] = append(want[ring], fmt.Sprint(i))
			}
			for ring, level := range []event.Level{event.Warn, event.Debug} {
				want[ring] = want[ring][max(0, len(want[ring])-keep):]
				var got []string
				entries, _ := r.Query(Filter{})
				for _, e := range entries {
					if e.Level == level {
						got = append(got, e.Detail)
					}
				}
				if strings.Join(got, " ") != strings.Join(want[ring], " ") {
					return false
				}
			}
			return true
		},
		gen.IntRange(1, 20), gen.SliceOf(gen.Bool()),
	))
	properties.TestingRun(t)
}

// A log line must have all fields of the event, and neither the log nor the
// timeline may show a credential that an error text quotes.
func TestLogHasAllFieldsAndNoCredentials(t *testing.T) {
	var out bytes.Buffer
	r := NewRecorder("vm", NewClock(nil), zerolog.New(&out), 0)
	r.Record(event.Event{
		ID: event.AttemptFailed, Request: "r1", Workspace: "w1", Upstream: "u1", Peer: "p1", Version: 7, Step: "s1",
		Detail: `sent Authorization: Bearer topsecret1`, Err: errors.New(`api_key="topsecret2" refused`),
	})
	line := out.String()
	for _, want := range []string{`"event":2004`, "attempt_failed", `"level":"warn"`, `"r1"`, `"w1"`, `"u1"`, `"p1"`, `"version":7`, `"s1"`, "refused"} {
		if !strings.Contains(line, want) {
			t.Errorf("the line lacks %s: %s", want, line)
		}
	}
	entries, _ := r.Query(Filter{})
	if all := line + fmt.Sprint(entries); strings.Contains(all, "topsecret") {
		t.Errorf("a credential was not masked: %s", all)
	}
}

// Filter parameters of a query must select the matching entries; malformed ones
// must be refused.
func TestFilters(t *testing.T) {
	r := newTestRecorder("vm-1", 0)
	old := time.Now().Add(-time.Hour)
	r.Record(event.Event{ID: event.MemberDied, Peer: "vm-2", At: old})
	r.Record(event.Event{ID: event.AttemptFailed, Request: "r", Upstream: "u", Version: 3})
	cases := []struct {
		query string
		want  int
	}{
		{"", 2}, {"vm=vm-2", 1}, {"vm=vm-1", 2}, {"vm=vm-3", 0}, {"request=r", 1}, {"upstream=u&version=3", 1}, {"version=4", 0},
		{"kind=member_died", 1}, {"kind=5004&kind=2004", 2}, {"since=10m", 1}, {"limit=1", 1},
		{"since=" + url.QueryEscape(old.Add(-time.Minute).Format(time.RFC3339)), 2},
	}
	for _, c := range cases {
		q, _ := url.ParseQuery(c.query)
		f, err := ParseFilter(q, time.Now())
		if err != nil {
			t.Fatal(err)
		}
		if got, _ := r.Query(f); len(got) != c.want {
			t.Errorf("%q selects %d entries, want %d", c.query, len(got), c.want)
		}
	}
	for _, bad := range []string{"version=x", "limit=x", "since=x"} {
		q, _ := url.ParseQuery(bad)
		if _, err := ParseFilter(q, time.Now()); err == nil {
			t.Errorf("%q was accepted", bad)
		}
	}
}

// startVMs starts a peer server for each named VM, with one event recorded. Each
// VM's physical clock is behind that of the VM before it. It returns a collector
// at the first VM, the view of all VMs and their recorders.
func startVMs(t *testing.T, names ...string) (first *Collector, view fleet.View, recorders []*Recorder) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	view.Self = names[0]
	for i, name := range names {
		clock := NewClock(func() time.Time { return time.Now().Add(-time.Duration(i) * clockLag) })
		server, err := peer.Listen("127.0.0.1:0", nil, clock.ServerOption())
		if err != nil {
			t.Fatal(err)
		}
		r := NewRecorder(name, clock, zerolog.Nop(), 0)
		NewService(r).Register(server.Server)
		go func() { _ = server.Run(ctx) }()
		view.VMs = append(view.VMs, fleet.VM{Name: name, PeerAddress: server.Address()})
		if first == nil {
			pool := peer.NewPool(nil, clock.ClientOption())
			t.Cleanup(pool.Close)
			first = NewCollector(r, pool, func() fleet.View { return view })
		}
		r.Record(event.Event{ID: event.MemberDied, Peer: "before", At: time.Now()})
		recorders = append(recorders, r)
	}
	return first, view, recorders
}

// The result must name the VMs that are dead or do not answer, and the collector
// must record that it is incomplete.
func TestCollectorMergesAndNamesTheMissing(t *testing.T) {
	c, view, _ := startVMs(t, "vm-a", "vm-b", "vm-c")
	unreachable := fleet.VM{Name: "vm-unreachable", PeerAddress: "127.0.0.1:1"}
	dead := fleet.VM{Name: "vm-dead", State: fleet.Dead}
	c.view = func() fleet.View { return fleet.View{Self: "vm-a", VMs: append(view.VMs, unreachable, dead)} }
	got := c.Collect(context.Background(), Filter{})
	if strings.Join(got.VMs, " ") != "vm-a vm-b vm-c" || len(got.Entries) != 3 {
		t.Errorf("got answers of %v and %d entries", got.VMs, len(got.Entries))
	}
	if len(got.Missing) != 2 || got.Missing[0].VM != "vm-dead" || got.Missing[1].VM != "vm-unreachable" {
		t.Errorf("missing %+v", got.Missing)
	}
	events, _ := c.recorder.Query(Filter{Kinds: []string{"timeline_incomplete"}})
	if len(events) != 1 || events[0].Detail != "vm-dead, vm-unreachable" {
		t.Errorf("recorded %+v", events)
	}
}

// An event must sort after the one that caused it also when its VM's clock is
// behind.
func TestEffectSortsAfterItsCauseDespiteClockLag(t *testing.T) {
	c, _, recorders := startVMs(t, "vm-a", "vm-b")
	recorders[0].Record(event.Event{ID: event.MemberSuspected, Detail: "cause"})
	c.Collect(context.Background(), Filter{}) // calls vm-b, whose clock is behind, and so moves that clock
	recorders[1].Record(event.Event{ID: event.MemberRefuted, Detail: "effect"})
	var order []string
	for _, e := range c.Collect(context.Background(), Filter{}).Entries {
		if e.Detail != "" {
			order = append(order, e.Detail)
		}
	}
	if strings.Join(order, " ") != "cause effect" {
		t.Errorf("events are in the order %v", order)
	}
}

// Calls to an excluded service must not carry the clock's time.
func TestClientOptionExcludesServices(t *testing.T) {
	c, view, recorders := startVMs(t, "vm-a", "vm-b")
	pool := peer.NewPool(nil, c.recorder.clock.ClientOption("currantpulley.timeline.Events"))
	t.Cleanup(pool.Close)
	before := recorders[1].clock.Now()
	NewCollector(c.recorder, pool, func() fleet.View { return view }).Collect(context.Background(), Filter{})
	if after := recorders[1].clock.Now(); after.Time().Sub(before.Time()) > clockLag/2 {
		t.Errorf("vm-b adopted the time of vm-a: %v after %v", after.Time(), before.Time())
	}
}

// Each format must show the entries and the VMs that did not answer; the HTML page
// must escape the texts of events.
func TestRenderers(t *testing.T) {
	hostile := `<script>alert("x")</script>`
	entry := Entry{Timestamp: 1 << 40, VM: "vm-a", Number: event.MemberDied, Name: "member_died", Level: event.Warn, Detail: hostile}
	timeline := Timeline{
		Entries: []Entry{entry}, VMs: []string{"vm-a"}, Truncated: []string{"vm-a"},
		Missing: []Missing{{VM: "vm-z", Error: "no answer"}},
	}
	for _, c := range []struct{ format, want string }{
		{FormatText, "member_died"}, {FormatJSON, `"missing": [`}, {FormatHTML, "<!doctype html>"},
	} {
		var out bytes.Buffer
		write := map[string]func() error{
			FormatText: func() error { return WriteText(&out, timeline) },
			FormatJSON: func() error { return WriteJSON(&out, timeline) },
			FormatHTML: func() error { return WriteHTML(&out, timeline) },
		}[c.format]
		if err := write(); err != nil {
			t.Fatal(err)
		}
		for _, want := range []string{c.want, "vm-a", "vm-z", "member_died"} {
			if !strings.Contains(out.String(), want) {
				t.Errorf("%s lacks %q", c.format, want)
			}
		}
		if c.format == FormatHTML && strings.Contains(out.String(), hostile) {
			t.Error("the page does not escape the texts of events")
		}
	}
}

func TestHandlerRefusesBadQueries(t *testing.T) {
	c, _, _ := startVMs(t, "vm-a")
	for query, want := range map[string]int{"": 200, "?format=html": 200, "?format=json&vm=vm-a": 200, "?format=pdf": 400, "?since=x": 400} {
		w := httptest.NewRecorder()
		Handler(c).ServeHTTP(w, httptest.NewRequest("GET", "/admin/timeline"+query, nil))
		if w.Code != want {
			t.Errorf("%q was answered with %d, want %d", query, w.Code, want)
		}
	}
}
