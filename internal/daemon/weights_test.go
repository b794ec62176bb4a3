package daemon

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"currantpulley/internal/backing/httplog"
	"currantpulley/internal/config"
	"currantpulley/internal/control/publish"
	"currantpulley/internal/fake/fakeengine"
	"currantpulley/internal/fake/fakelog"
)

// configWithWeights returns a configuration whose model has the given weights version.
func configWithWeights(t *testing.T, weights string, engines []string) *config.Set {
	t.Helper()
	base := fmt.Sprintf("schema = 1\n[models.m]\nweights = %q\npiece_tokens = 16\n[workspaces.depot]\nkey_sha256 = [\"%x\"]\nrequests_per_second = 1000.0\n",
		weights, sha256.Sum256([]byte(testKey)))
	overlay := "schema = 1\nsite = \"s\"\ndata_centres = [\"dc-1\"]\n"
	for i, a := range engines {
		overlay += fmt.Sprintf("[upstreams.e%d]\nkind = \"engine\"\naddress = %q\ndata_centre = \"dc-1\"\nmodels = [\"m\"]\nchecks_fencing = true\n", i, a)
	}
	set, err := config.Parse([]config.File{{Name: "base.toml", Data: []byte(base)}, {Name: "s.toml", Data: []byte(overlay)}})
	if err != nil {
		t.Fatal(err)
	}
	return set
}

// A new weights version is published while callers send requests. Every stream must
// be complete and correct, and every engine must end up with the new weights.
func TestNewWeightsUnderTraffic(t *testing.T) {
	log := httptest.NewServer(fakelog.New())
	defer log.Close()
	var engines []*fakeengine.Engine
	var addresses []string
	for i := range 3 {
		e := fakeengine.New(fakeengine.Options{Name: fmt.Sprintf("e%d", i), Weights: map[string]string{"m": "w1"},
			PieceTokens: 16, DecodeStep: time.Millisecond, ChecksFencing: true, LoadTime: 100 * time.Millisecond})
		s := httptest.NewServer(e)
		defer s.Close()
		engines, addresses = append(engines, e), append(addresses, s.Listener.Addr().String())
	}
	s := testSettings()
	s.Platform.Log = log.URL
	d, err := Start(context.Background(), s)
	if err != nil {
		t.Fatal(err)
	}
	defer d.Kill()
	submit := func(set *config.Set) {
		ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
		defer cancel()
		got, err := publish.NewSubmitter(httplog.New(log.URL, http.DefaultClient), func(string) {}).Submit(ctx, publish.Submission{Set: set})
		if err != nil || got.Result != publish.Committed {
			t.Fatalf("publish: %+v, %v", got, err)
		}
		waitUntil(t, func() bool { snap := d.holder.Load(); return snap != nil && snap.Version == got.Candidate })
	}
	submit(configWithWeights(t, "w1", addresses))
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for range 4 {
		callers.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				res := post(t, d, "/v1/completions", contractBody(true))
				raw, _ := io.ReadAll(res.Body)
				text, failed, done := streamText(t, bytes.NewReader(raw))
				if res.StatusCode != 200 || failed || !done {
					t.Errorf("status %d, error event %v, done %v: %s", res.StatusCode, failed, done, raw)
					return
				}
				if err := fakeengine.Verify([]byte(contractPrompt), contractOutput, text); err != nil {
					t.Error(err)
				}
			}
		})
	}
	submit(configWithWeights(t, "w2", addresses))
	waitUntil(t, func() bool { return len(engines) == enginesServing(d, "w2") })
	close(stop)
	callers.Wait()
}

// enginesServing returns the number of engines that are known to serve a weights
// version.
func enginesServing(d *Daemon, weights string) int {
	n := 0
	for _, u := range d.holder.Load().Upstreams {
		if u.Weights["m"] == weights {
			n++
		}
	}
	return n
}

// waitUntil polls ok until it returns true. It fails the test after a minute.
func waitUntil(t *testing.T, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(60 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the condition was not met within a minute")
		}
	}
}
