package cli

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"currantpulley/internal/backing/httplog"
	"currantpulley/internal/config"
	"currantpulley/internal/control/loop"
	"currantpulley/internal/control/publish"
	"currantpulley/internal/fake/fakelog"
	"currantpulley/internal/fleet"
	"currantpulley/internal/peer"
)

// refuseWeights refuses versions with the weights "broken".
type refuseWeights struct{}

func (refuseWeights) Check(_, after *config.Config) []config.Problem {
	if after.Models["manifests"].Weights == "broken" {
		return []config.Problem{{Key: "models.manifests.weights", Message: "recent requests need it"}}
	}
	return nil
}

// startFleet starts a log and the publisher of one daemon. It returns the URLs
// of the log and of the daemon's admin listener.
func startFleet(t *testing.T) (log, admin string) {
	logServer := httptest.NewServer(fakelog.New())
	t.Cleanup(logServer.Close)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	control := loop.New()
	go control.Run(ctx)
	p := publish.New(publish.Options{
		Loop: control, Log: httplog.New(logServer.URL, nil), Pool: peer.NewPool(nil),
		Traffic: refuseWeights{}, Site: "casablanca", Self: "vm-1",
		View: func() fleet.View {
			return fleet.View{Self: "vm-1", VMs: []fleet.VM{{Name: "vm-1", DataCentre: "cas-1"}}}
		},
		Apply: func(uint64, *config.Set) {},
	})
	go p.Run(ctx)
	mux := http.NewServeMux()
	mux.Handle(publish.StatusPath, p.StatusHandler())
	adminServer := httptest.NewServer(mux)
	t.Cleanup(adminServer.Close)
	return logServer.URL, adminServer.URL
}

// editedExample returns the paths of copies of the example with one replacement
// in each file.
func editedExample(t *testing.T, from, to string) []string {
	dir := t.TempDir()
	var paths []string
	for _, name := range []string{"base.toml", "casablanca.toml"} {
		data, err := os.ReadFile(examples + "atlas/" + name)
		if err != nil {
			t.Fatal(err)
		}
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(strings.Replace(string(data), from, to, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		paths = append(paths, path)
	}
	return paths
}

func TestPublishCommand(t *testing.T) {
	log, admin := startFleet(t)
	const weights = `weights = "2026-10-01"`
	for _, c := range []struct {
		name     string
		from, to string
		flags    []string
		code     int
		text     string
	}{
		{"first", "", "", []string{"--admin", admin}, ExitOK, "in force after"},
		{"again", "", "", nil, ExitOK, "is in force already"},
		{"invalid", "[models.manifests]", "[models.manifests]\nwheights = 1", nil, ExitRefused, "base.toml:6: models.manifests.wheights: unknown key"},
		{"refused by traffic", weights, `weights = "broken"`, nil, ExitRefused, "vm-1: base.toml:6: models.manifests.weights: recent requests need it"},
		{"workspace renamed, as JSON", "[workspaces.", "[workspaces.x", []string{"--json"}, ExitOK, `"result": "committed"`},
		{"second", weights, `weights = "2026-11-01"`, nil, ExitOK, "in force after"},
		{"replaced", "", "", nil, ExitRefused, "publish with --again"},
		{"stale parent", weights, `weights = "2026-12-01"`, []string{"--parent", "1"}, ExitRefused, "came into force first"},
	} {
		t.Run(c.name, func(t *testing.T) {
			args := append([]string{"publish", "--log", log, "--timeout", "30s"}, c.flags...)
			code, stdout, stderr := runTool(append(args, editedExample(t, c.from, c.to)...)...)
			if code != c.code || !strings.Contains(stdout+stderr, c.text) {
				t.Fatalf("exit %d, want %d with %q\n%s%s", code, c.code, c.text, stdout, stderr)
			}
		})
	}
}

// TestPublishWithoutLog publishes to a log that refuses connections.
func TestPublishWithoutLog(t *testing.T) {
	paths := editedExample(t, "", "")
	code, _, stderr := runTool(append([]string{"publish", "--log", "http://127.0.0.1:1", "--timeout", "300ms"}, paths...)...)
	if code != ExitUnreachable || !strings.Contains(stderr, "does not answer") {
		t.Fatalf("exit %d: %s", code, stderr)
	}
}
