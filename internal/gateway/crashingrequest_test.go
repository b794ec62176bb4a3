package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// newCrashingReplica returns a replica that ends under requests whose path contains
// "harmful", counts these and answers all others.
func newCrashingReplica(t *testing.T, ended *atomic.Int64) *replica {
	t.Helper()
	var r *replica
	r = newReplica(t, func(w http.ResponseWriter, req *http.Request) {
		if !strings.Contains(req.URL.Path, "harmful") {
			_, _ = w.Write([]byte("answer"))
			return
		}
		ended.Add(1)
		_ = r.Listener.Close()
		go r.CloseClientConnections()
		panic(http.ErrAbortHandler)
	})
	return r
}

// Guards against a request that comes again under new ids and crashes one replica
// after the other: with a prompt or without, whether it may be repeated or not. A
// request of another path, query, caller or body is another request.
func TestRequestThatComesAgainIsHeldBack(t *testing.T) {
	for path, header := range map[string][]string{
		"/once/harmful":       nil,
		"/idempotent/harmful": nil,
		"/public/harmful":     nil,
		"/resumable/harmful":  {"Model", "m", "Parts", "template own"},
	} {
		t.Run(path, func(t *testing.T) {
			var ended atomic.Int64
			var replicas []*replica
			for range 8 {
				replicas = append(replicas, newCrashingReplica(t, &ended))
			}
			f := start(t, replicas...)
			for n := range 10 {
				res, body, err := f.post(t, path, append([]string{"Id", fmt.Sprint("harmful-", n)}, header...)...)
				if n > 3 && (err != nil || res.StatusCode != http.StatusServiceUnavailable || !strings.Contains(body, "not-run")) {
					t.Errorf("request %d: %v, %q, %v, want a refusal", n, res, body, err)
				}
			}
			if n := ended.Load(); n != 3 {
				t.Errorf("%d replicas ended, want 3", n)
			}
			if res, _, err := f.post(t, "/idempotent/sound"); err != nil || res.StatusCode != http.StatusOK {
				t.Errorf("a sound request: %v, %v", res, err)
			}
			_, _, _ = f.post(t, path+"?other", header...) // is cut
			if n := ended.Load(); n < 4 {
				t.Error("a request with another query was held back")
			}
		})
	}
}
