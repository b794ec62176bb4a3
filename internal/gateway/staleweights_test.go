package gateway_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"currantpulley/internal/catalog"
	"currantpulley/internal/freshness"
)

const (
	engineModel = "m"
	weightsCut  = 200 * time.Millisecond
	cutMargin   = 400 * time.Millisecond // for a busy machine; the timeout of the routes is later
	threeEvents = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\n"
)

// startEngine runs a gateway with weightsCut in front of an engine with weights
// version 1.
func startEngine(t *testing.T, r *replica) *fixture {
	t.Helper()
	f := start(t)
	f.watcher.Load().Config.Services["s"].Engine = &catalog.Engine{Slots: 8}
	f.staleWeightsCut = weightsCut
	f.serve(t, f.logs)
	f.putEngine(r, 1)
	return f
}

// putEngine adds an engine with the given weights version.
func (f *fixture) putEngine(r *replica, version uint64) {
	f.watcher.PutUpstream(&catalog.Upstream{
		ID: "engine-" + r.URL, Service: "s", Address: strings.TrimPrefix(r.URL, "http://"), Slots: 8,
		Weights: map[string]uint64{engineModel: version},
	})
}

// announce sets the target weights version to 2, announced the given time ago.
func (f *fixture) announce(ago time.Duration) {
	f.watcher.SetTarget(engineModel, 2, freshness.Time().Add(-ago))
}

// A request must not begin in an engine on weights that were replaced longer ago
// than the limit, however long the engine lets it wait. One that may be repeated
// must be served in full by another engine; one that may not must fail with a
// status that does not promise that it did not run.
func TestQueuedRequestDoesNotBeginOnReplacedWeights(t *testing.T) {
	for _, tc := range []struct {
		name   string
		path   string
		late   bool // version 2 is announced while the request waits
		status int
		body   string // of a served request
		second int64  // runs at the engine with version 2
	}{
		{"announced before", "/resumable/", false, http.StatusOK, threeEvents, 1},
		{"announced while waiting", "/resumable/", true, http.StatusOK, threeEvents, 1},
		{"idempotent", "/idempotent/", false, http.StatusOK, threeEvents, 1},
		{"stream that is not resumable", "/stream/", false, http.StatusBadGateway, "", 0},
		{"once", "/once/", true, http.StatusBadGateway, "", 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var f *fixture
			second := newReplica(t, func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 1, 3) })
			ended := make(chan time.Time, 1)
			first := newReplica(t, func(_ http.ResponseWriter, req *http.Request) {
				_, _ = io.Copy(io.Discard, req.Body) // net/http detects a disconnect only after the body was read
				f.putEngine(second, 2)
				if tc.late {
					f.announce(0)
				}
				<-req.Context().Done()
				ended <- freshness.Time()
			})
			f = startEngine(t, first)
			if !tc.late {
				f.announce(weightsCut / 2)
			}
			res, body, err := f.post(t, tc.path, "Model", engineModel)
			if err != nil {
				t.Fatal(err)
			}
			age, _ := f.watcher.Load().Weights[engineModel].Behind(1, <-ended)
			t.Logf("waited until %v after the announcement; status %d", age.Round(time.Millisecond), res.StatusCode)
			if age < weightsCut || age > weightsCut+cutMargin {
				t.Errorf("the request waited in the engine until %v after the announcement, want %v", age, weightsCut)
			}
			if res.StatusCode != tc.status || tc.body != "" && body != tc.body {
				t.Errorf("status %d, body %q, want %d, %q", res.StatusCode, body, tc.status, tc.body)
			}
			if first.runs.Load() != 1 || second.runs.Load() != tc.second {
				t.Errorf("%d and %d runs, want 1 and %d", first.runs.Load(), second.runs.Load(), tc.second)
			}
		})
	}
}
