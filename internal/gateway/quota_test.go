package gateway_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"currantpulley/internal/admin"
	"currantpulley/internal/catalog"
	"currantpulley/internal/freshness"
	"currantpulley/internal/quota"
)

// fakeQuotas grants left requests.
type fakeQuotas struct{ left, owed atomic.Int64 }

func (*fakeQuotas) Refusal(*catalog.Workspace, float64) time.Duration { return 0 }

func (f *fakeQuotas) Charge(context.Context, *catalog.Workspace, float64) (quota.Charge, time.Duration, bool) {
	if f.left.Add(-1) < 0 {
		f.left.Add(1)
		return quota.Charge{}, 2 * time.Second, false
	}
	return quota.Charge{At: time.Now()}, 0, true
}

func (f *fakeQuotas) Covers(context.Context, *catalog.Workspace, float64) (time.Duration, bool) {
	return 2 * time.Second, f.left.Load() > 0
}

func (f *fakeQuotas) Return(quota.Charge) { f.left.Add(1) }

func (f *fakeQuotas) Owe(*catalog.Workspace, float64) { f.owed.Add(1) }

// A request over its workspace's quota must get 429 with the time at which it is covered,
// before anything is sent; one that did not run must cost nothing, and a repeat after a
// run must be charged.
func TestQuota(t *testing.T) {
	ok := func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) }
	busy := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	failed := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
	for name, tc := range map[string]struct {
		handler    http.HandlerFunc
		left       int64
		status     int
		runs       int64
		after, owe int64 // left and owed at the end
	}{
		"covered":         {ok, 1, http.StatusOK, 1, 0, 0},
		"not covered":     {ok, 0, http.StatusTooManyRequests, 0, 0, 0},
		"not run":         {busy, 1, http.StatusServiceUnavailable, 1, 1, 0},
		"repeated a run":  {failed, 1, http.StatusInternalServerError, 2, 0, 1},
		"no upstream has": {nil, 1, http.StatusServiceUnavailable, 0, 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var replicas []*replica
			runs := func() int64 { return 0 }
			if tc.handler != nil {
				a, b := newReplica(t, tc.handler), newReplica(t, tc.handler)
				if tc.runs == 1 {
					replicas = []*replica{a}
				} else {
					replicas = []*replica{a, b}
				}
				runs = func() int64 { return a.runs.Load() + b.runs.Load() }
			}
			quotas := &fakeQuotas{}
			quotas.left.Store(tc.left)
			f := startWithQuotas(t, quotas, replicas...)
			res, body, err := f.post(t, "/idempotent/")
			if err != nil || res.StatusCode != tc.status {
				t.Fatalf("%v %q %v, want %d", res, body, err, tc.status)
			}
			if res.StatusCode == http.StatusTooManyRequests && res.Header.Get("Retry-After") < "2" {
				t.Errorf("Retry-After %q, want 2 s or more", res.Header.Get("Retry-After"))
			}
			time.Sleep(20 * time.Millisecond) // the charge is settled after the answer
			if runs() != tc.runs || quotas.left.Load() != tc.after || quotas.owed.Load() != tc.owe {
				t.Errorf("%d runs, %d left, %d owed; want %d, %d, %d", runs(), quotas.left.Load(), quotas.owed.Load(), tc.runs, tc.after, tc.owe)
			}
		})
	}
}

// staleQuotas grants requests once the proof of the configuration is too old.
type staleQuotas struct{ fakeQuotas }

func (*staleQuotas) Charge(context.Context, *catalog.Workspace, float64) (quota.Charge, time.Duration, bool) {
	time.Sleep(300 * time.Millisecond)
	return quota.Charge{At: time.Now()}, 0, true
}

// Guards against requests that are sent with a key that may have been revoked while their
// charge waited for another daemon.
func TestKeyIsCheckedAfterTheCharge(t *testing.T) {
	r := newReplica(t, func(http.ResponseWriter, *http.Request) {})
	f := startProvedAt(t, freshness.Now().Add(200*time.Millisecond-time.Minute), r)
	f.quotas = &staleQuotas{}
	f.watcher.Load().Config.Workspaces["k"].Quota = quota.Quota{Rate: 1, Burst: 1}
	f.serve(t, f.logs)
	res, body, err := f.post(t, "/idempotent/")
	if err != nil || res.StatusCode != http.StatusServiceUnavailable || r.runs.Load() != 0 {
		t.Errorf("%v %q %v, %d runs, want a refusal", res, body, err, r.runs.Load())
	}
}

// startWithQuotas is start with quotas that bound the workspace.
func startWithQuotas(t *testing.T, quotas *fakeQuotas, replicas ...*replica) *fixture {
	t.Helper()
	f := start(t, replicas...)
	f.quotas = quotas
	f.watcher.Load().Config.Workspaces["k"].Quota = quota.Quota{Rate: 1, Burst: 1}
	f.serve(t, f.logs)
	return f
}

// The explanation of a request tells its quota and that it would be refused, and charges
// nothing.
func TestQuotaIsExplained(t *testing.T) {
	r := newReplica(t, func(http.ResponseWriter, *http.Request) {})
	for left, code := range map[int64]string{1: "", 0: "rate_limited"} {
		quotas := &fakeQuotas{}
		quotas.left.Store(left)
		f := startWithQuotas(t, quotas, r)
		x := f.gateway.Explain(&admin.RouteRequest{Host: "127.0.0.1", Path: "/once/", Workspace: "w"})
		if got := x.Refusal; (got == nil) != (code == "") || (got != nil && (got.Code != code || got.RetryAfter != 2*time.Second)) {
			t.Errorf("%d left: refusal %+v, expected %q", left, got, code)
		}
		if x.Quota == "" || quotas.left.Load() != left {
			t.Errorf("quota %q, %d left of %d", x.Quota, quotas.left.Load(), left)
		}
	}
}
