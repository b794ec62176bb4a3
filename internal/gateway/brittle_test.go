package gateway_test

import (
	"net/http"
	"sync/atomic"
	"testing"
)

// Guards against requests that are sent to replicas which are full and end when they
// have to reject too many.
func TestFullBrittleReplicasGetNoRequests(t *testing.T) {
	var arrivals atomic.Int64
	full := func(w http.ResponseWriter, _ *http.Request) {
		arrivals.Add(1)
		w.Header().Set("Brittle", "5")
		w.Header().Set("Not-Run", "yes")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	f := start(t, newReplica(t, full), newReplica(t, full))
	for range 20 {
		if res, _, err := f.post(t, "/idempotent/"); err != nil || res.StatusCode != http.StatusServiceUnavailable {
			t.Fatalf("%v, %v", res, err)
		}
	}
	if n := arrivals.Load(); n > 2*(5+1) {
		t.Errorf("%d requests arrived at two replicas, want 12 at most", n)
	}
}
