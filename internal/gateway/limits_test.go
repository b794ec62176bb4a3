package gateway_test

import (
	"net/http"
	"testing"
)

// limitedReplica answers with status and states a limit of no requests.
func limitedReplica(t *testing.T, status int) *replica {
	t.Helper()
	return newReplica(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Limit", "0")
		if status >= http.StatusBadRequest {
			w.Header().Set("Not-Run", "yes")
		}
		w.WriteHeader(status)
	})
}

// A request that no replica may get must be refused at once, as not run and with a time
// to retry. Only the replica itself limits what it gets, not another one that answers at
// its address.
func TestRequestsBeyondALimit(t *testing.T) {
	for status, want := range map[int]int64{http.StatusOK: 1, http.StatusServiceUnavailable: 1, http.StatusMisdirectedRequest: 2} {
		r := limitedReplica(t, status)
		f := start(t, r)
		if _, _, err := f.post(t, "/once/"); err != nil {
			t.Fatal(err)
		}
		res, _, err := f.post(t, "/once/", "Id", "id-2")
		if err != nil {
			t.Fatal(err)
		}
		if res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Retry-After") == "" {
			t.Errorf("status %d after the limit came with %d, want 503 with a time to retry", res.StatusCode, status)
		}
		if got := r.runs.Load(); got != want {
			t.Errorf("%d requests reached the replica after the limit came with %d, want %d", got, status, want)
		}
	}
}

// Repeats must count against a limit as well.
func TestRepeatsBeyondALimit(t *testing.T) {
	a, b := limitedReplica(t, http.StatusInternalServerError), limitedReplica(t, http.StatusInternalServerError)
	f := start(t, a, b)
	for range 6 {
		if _, _, err := f.post(t, "/idempotent/"); err != nil {
			t.Fatal(err)
		}
	}
	if a.runs.Load() > 1 || b.runs.Load() > 1 {
		t.Errorf("%d and %d requests reached the replicas, at most 1 each may", a.runs.Load(), b.runs.Load())
	}
}
