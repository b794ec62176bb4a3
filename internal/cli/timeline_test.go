package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"currantpulley/internal/admin"
	"currantpulley/internal/timeline"
)

// fakeDaemon answers requests for the status and the timeline. It returns its
// URL and a function that returns the query of the last request.
func fakeDaemon(t *testing.T, s admin.Status, tl timeline.Timeline) (url string, query func() string) {
	t.Helper()
	var asked string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked = r.URL.RawQuery
		if r.URL.Path == "/admin/status" {
			_ = json.NewEncoder(w).Encode(s)
			return
		}
		_ = json.NewEncoder(w).Encode(tl)
	}))
	t.Cleanup(server.Close)
	return server.URL, func() string { return asked }
}

func TestStatusAndTimeline(t *testing.T) {
	entry := timeline.Entry{Timestamp: 1 << 40, VM: "vm-a", Name: "member_died", At: time.Now()}
	complete := timeline.Timeline{Entries: []timeline.Entry{entry}, VMs: []string{"vm-a"}}
	partial := complete
	partial.Missing = []timeline.Missing{{VM: "vm-z", Error: "no answer"}}
	page := filepath.Join(t.TempDir(), "page.html")
	cases := []struct {
		name   string
		status admin.Status
		tl     timeline.Timeline
		args   []string
		exit   int
		out    string
		query  string
	}{
		{"admitting", admin.Status{VM: "vm-a", Admitting: true}, complete, []string{"status"}, ExitOK, "vm-a", ""},
		{"not admitting", admin.Status{VM: "vm-a", Reason: "draining"}, complete, []string{"status"}, ExitRefused, "draining", ""},
		{"status as JSON", admin.Status{VM: "vm-a", Admitting: true}, complete, []string{"--json", "status"}, ExitOK, `"vm": "vm-a"`, ""},
		{"whole", admin.Status{}, complete, []string{"timeline", "--vm", "vm-a"}, ExitOK, "member_died", "vm=vm-a"},
		{"by version", admin.Status{}, complete, []string{"timeline", "--config-version", "7"}, ExitOK, "member_died", "version=7"},
		{"a VM is missing", admin.Status{}, partial, []string{"timeline"}, ExitUnreachable, "vm-z", ""},
		{"as JSON", admin.Status{}, complete, []string{"--json", "timeline"}, ExitOK, `"name": "member_died"`, ""},
		{"as a page", admin.Status{}, complete, []string{"timeline", "--html", page}, ExitOK, "1 events", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			url, query := fakeDaemon(t, c.status, c.tl)
			var out, errs bytes.Buffer
			got := New(&out, &errs).Run(context.Background(), append(c.args, "--admin", url))
			if got != c.exit || !strings.Contains(out.String(), c.out) || !strings.Contains(query(), c.query) {
				t.Errorf("exit %d, want %d; query %q; output %s%s", got, c.exit, query(), out.String(), errs.String())
			}
		})
	}
	if data, err := os.ReadFile(page); err != nil || !strings.Contains(string(data), "member_died") {
		t.Errorf("HTML page: %v, %d bytes", err, len(data))
	}
	if got := New(&bytes.Buffer{}, &bytes.Buffer{}).Run(context.Background(), []string{"timeline", "--admin", "http://127.0.0.1:1"}); got != ExitUnreachable {
		t.Errorf("exit %d without a daemon", got)
	}
}

// TestReadLogFiles runs explain and timeline on a log file, without a daemon.
func TestReadLogFiles(t *testing.T) {
	file := filepath.Join(t.TempDir(), "all.log")
	text := `{"level":"info","vm":"vm-1","event":2002,"hlc":115879141801820160,"request":"r1","detail":"overloaded not-run","error":"1s of work ahead","message":"request_refused"}` + "\n"
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		args []string
		exit int
		want string
	}{
		{[]string{"explain", "--log", file, "r1"}, ExitOK, "request r1: refused as overloaded not-run: 1s of work ahead"},
		{[]string{"explain", "--log", file, "r2"}, ExitRefused, "no line names the request"},
		{[]string{"timeline", "--log", file, "--request", "r1"}, ExitOK, "request_refused"},
		{[]string{"explain", file}, ExitUsage, "--workspace is missing"},
	} {
		var out bytes.Buffer
		exit := New(&out, &out).Run(context.Background(), tc.args)
		if exit != tc.exit || !strings.Contains(out.String(), tc.want) {
			t.Errorf("%v: exit %d, want %d\n%s", tc.args, exit, tc.exit, out.String())
		}
	}
}
