package daemon

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"currantpulley/internal/admin"
	"currantpulley/internal/event"
	"currantpulley/internal/timeline"
)

// get reads a path of a daemon's admin listener and decodes its JSON answer into out.
func get(t *testing.T, d *Daemon, path string, out any) {
	t.Helper()
	res, err := http.Get("http://" + d.AdminAddress() + path)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		t.Fatalf("%s was answered with %s", path, res.Status)
	}
	if err := json.NewDecoder(res.Body).Decode(out); err != nil {
		t.Fatalf("%s: %v", path, err)
	}
}

// The admin listener must serve the daemon's status and its recorded events.
func TestAdminShowsStatusAndEvents(t *testing.T) {
	_, address := startEngine(t, "engine", nil)
	d := startDaemon(t, testConfig([]string{address}, nil))
	if err := d.loop.Do(context.Background(), func(time.Time) {}); err != nil { // runs after the configuration was applied
		t.Fatal(err)
	}
	var s admin.Status
	get(t, d, "/admin/status", &s)
	if !s.Admitting || s.Version == 0 || len(s.VMs) != 1 || len(s.Upstreams) != 1 {
		t.Errorf("status %+v", s)
	}
	var shown timeline.Timeline
	get(t, d, "/admin/timeline?format=json&kind=daemon_started", &shown)
	if len(shown.Entries) != 1 || shown.Entries[0].Number != event.DaemonStarted || len(shown.Missing) != 0 {
		t.Errorf("timeline %+v", shown)
	}
}
