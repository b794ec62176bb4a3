package explain

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"currantpulley/internal/event"
	"currantpulley/internal/timeline"
)

// line returns a daemon's log line of an event ms milliseconds after a fixed time.
func line(ms int, vm string, id event.ID, fields string) string {
	at := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC).Add(time.Duration(ms) * time.Millisecond)
	hlc := uint64(at.UnixMilli()) << 16
	d, _ := event.Lookup(id)
	return fmt.Sprintf(`  12.5 %s {"level":"%s","vm":"%s","event":%d,"hlc":%d%s,"message":"%s"}`, vm, d.Level, vm, id, hlc, fields, d.Name)
}

func read(t *testing.T, lines ...string) *timeline.Log {
	t.Helper()
	log, err := timeline.ReadLog(strings.NewReader(strings.Join(lines, "\n")))
	if err != nil {
		t.Fatal(err)
	}
	return log
}

// The cause must name the final event, the failed attempts and what had happened
// to their upstreams and VMs.
func TestCauses(t *testing.T) {
	log := read(t,
		"built in 5 s", // not an event
		line(0, "vm-1", event.ProviderUpstream, `,"upstream":"i-1","detail":"ready 10.0.0.1:80"`),
		line(1000, "vm-2", event.ProviderLost, `,"detail":"operators","error":"i/o timeout"`),
		line(2000, "vm-3", event.OrderGiven, `,"upstream":"i-1","detail":"model m, preempt true"`),
		line(2500, "vm-1", event.AttemptFailed, `,"request":"broken","upstream":"i-1","error":"unexpected EOF"`),
		line(2500, "vm-1", event.StreamBroken, `,"request":"broken","error":"the answer broke off"`),
		line(3000, "vm-1", event.RequestRefused, `,"request":"busy","detail":"overloaded not-run","error":"1s of work ahead at i-1"`),
		line(5000, "vm-2", event.RequestRefused, `,"request":"stale","detail":"detached not-run","error":"keys","left_out":7`),
		line(5100, "vm-1", event.AttemptFailed, `,"request":"half","upstream":"i-2","error":"reset"`),
	)
	for id, want := range map[string][]string{
		"broken":  {"broke off", "i-1: unexpected EOF", "vm-3 had ordered it to load weights"},
		"busy":    {"refused as overloaded", "1s of work ahead"},
		"stale":   {"refused as detached", "vm-2 had lost operators 4s before: i/o timeout"},
		"half":    {"its last event is attempt_failed", "i-2: reset"},
		"unknown": {"not known"},
	} {
		x := Request(log, id)
		for _, text := range want {
			if !strings.Contains(x.Cause, text) {
				t.Errorf("%s: cause %q does not contain %q", id, x.Cause, text)
			}
		}
	}
	for id, want := range map[string]string{
		"half": "the request's end", "stale": "7 events that vm-2 suppressed by sampling", "unknown": "no line names the request",
	} {
		if missing := strings.Join(Request(log, id).Missing, "\n"); !strings.Contains(missing, want) {
			t.Errorf("%s: missing is %q, want %q", id, missing, want)
		}
	}
	if log.Skipped != 1 {
		t.Errorf("%d lines were skipped, want 1", log.Skipped)
	}
}

// Entries must be sorted by time, also when the log files are read in another
// order.
func TestLogsOfSeveralDaemonsAreSortedByTime(t *testing.T) {
	log := read(t,
		line(3000, "vm-1", event.RequestRefused, `,"request":"r","detail":"overloaded"`),
		line(1000, "vm-2", event.AttemptFailed, `,"request":"r","upstream":"i-1"`),
	)
	x := Request(log, "r")
	if len(x.Events) != 2 || x.Events[0].VM != "vm-2" {
		t.Errorf("%+v", x.Events)
	}
}
