package gateway_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"currantpulley/internal/catalog"
)

// slotReplica is an upstream that runs one request at a time, each for runFor.
func slotReplica(t *testing.T) *replica {
	var slot sync.Mutex
	return newReplica(t, func(w http.ResponseWriter, req *http.Request) {
		slot.Lock()
		defer slot.Unlock()
		select {
		case <-req.Context().Done():
			return
		case <-time.After(runFor):
		}
		if isStreamPath(req) {
			writeEvents(w, 1, 1)
			return
		}
		_, _ = w.Write([]byte("done"))
	})
}

// runFor is the time that slotReplica runs a request, and runsAhead the number of requests
// that go before the one that is judged.
const (
	runFor    = 300 * time.Millisecond
	runsAhead = 4
)

// startWithWork starts a gateway in front of an upstream with one slot that has answered
// once and has runsAhead requests now.
func startWithWork(t *testing.T, engine bool, change func(*catalog.Route)) *fixture {
	t.Helper()
	f, r := startAfterOneRun(t, engine, change)
	var done sync.WaitGroup
	t.Cleanup(done.Wait)
	for i := range runsAhead {
		done.Go(func() { _, _, _ = f.post(t, "/public/", "Id", fmt.Sprint("ahead-", i), "Model", "m") })
	}
	r.awaitRuns(t, 1+runsAhead)
	return f
}

// startAfterOneRun starts a gateway in front of an upstream with one slot that has answered
// once, after runFor. A gateway whose first answer a busy machine held up has learnt
// another time, and is replaced.
func startAfterOneRun(t *testing.T, engine bool, change func(*catalog.Route)) (*fixture, *replica) {
	t.Helper()
	const tries, heldUp = 20, runFor / 6
	for range tries {
		r := slotReplica(t)
		f := start(t, r)
		f.useOneSlot(engine, change)
		began := time.Now()
		if res, body, err := f.post(t, "/public/", "Id", "first", "Model", "m"); err != nil || res.StatusCode != http.StatusOK {
			t.Fatal(res, body, err)
		}
		took := time.Since(began)
		f.awaitServed(t)
		if took < runFor+heldUp {
			return f, r
		}
	}
	t.Fatalf("the machine held up %d first answers", tries)
	return nil, nil
}

// setupTime bounds the waits for what a test needs before it checks anything.
const setupTime = 5 * time.Second

// awaitServed waits until the daemon has recorded that it served a request, from which it
// learns. Its caller has the answer before that.
func (f *fixture) awaitServed(t *testing.T) {
	t.Helper()
	f.awaitMetric(t, setupTime, `currantpulley_gateway_attempts_total{result="served"} 1`)
}

// awaitRuns waits until r has got a number of requests.
func (r *replica) awaitRuns(t *testing.T, runs int64) {
	t.Helper()
	await(t, setupTime, "requests at the upstream", func() bool { return r.runs.Load() >= runs })
}

// useOneSlot gives each upstream one slot, routes a long timeout, and makes the upstreams
// engines if asked to. Then it changes each route.
func (f *fixture) useOneSlot(engine bool, change func(*catalog.Route)) {
	config := f.watcher.Load().Config
	if engine {
		config.Services["s"].Engine = &catalog.Engine{}
	}
	for _, routes := range config.Routes {
		for _, route := range routes {
			route.Timeout = 30 * time.Second
			change(route)
		}
	}
	for _, u := range f.watcher.Load().UpstreamsOf("s") {
		one := *u
		one.Slots = 1
		f.watcher.PutUpstream(&one)
	}
}

// A caller whose time ends before the work that goes before its request is told so at
// once, and one that waits long enough is served. Nothing else decides: not the kind of
// the route, not how long the route would let a request wait, so not whether the caller
// has tried before, and not what its stream's caller would bear between two events.
func TestOnlyTheCallersTimeDecides(t *testing.T) {
	for _, engine := range []bool{true, false} {
		for _, path := range []string{"/once/", "/idempotent/", "/stream/", "/resumable/"} {
			for _, left := range []time.Duration{400 * time.Millisecond, 10 * time.Second} {
				for _, timeout := range []time.Duration{left, 30 * time.Second} {
					for _, events := range []time.Duration{0, 2 * time.Second, 80 * time.Second} {
						t.Run(fmt.Sprintf("engine %t%s%v of %v events %v", engine, path, left, timeout, events), func(t *testing.T) {
							t.Parallel()
							f := startWithWork(t, engine, func(r *catalog.Route) {
								if r.Name == path {
									r.Timeout, r.EventTimeout = timeout, events
								}
							})
							checkCallerTime(t, f, path, left)
						})
					}
				}
			}
		}
	}
}

// checkCallerTime sends a request behind runsAhead others for a caller that waits as long
// as left.
func checkCallerTime(t *testing.T, f *fixture, path string, left time.Duration) {
	t.Helper()
	const soon = 200 * time.Millisecond
	began := time.Now()
	res, body, err := f.post(t, path, "Id", "judged", "Model", "m", "Budget", strconv.FormatInt(left.Milliseconds(), 10))
	took := time.Since(began)
	if err != nil {
		t.Fatal(err)
	}
	if left > 2*runsAhead*runFor {
		if res.StatusCode != http.StatusOK {
			t.Errorf("status %d %q for a caller that waits %v", res.StatusCode, body, left)
		}
		return
	}
	if res.StatusCode != http.StatusServiceUnavailable || took > soon {
		t.Fatalf("status %d %q after %v for a caller that waits %v, less than the work ahead takes", res.StatusCode, body, took, left)
	}
	after, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
	if wait := (runsAhead * runFor).Seconds(); err != nil || after <= 0 || after > 2*wait {
		t.Errorf("Retry-After %q, the work ahead takes %v s", res.Header.Get("Retry-After"), wait)
	}
}

// A caller that leaves a stream without events sooner than its deadline is refused if the
// first event can't come before it leaves.
func TestStreamsCallersLeaveWithoutEvents(t *testing.T) {
	for _, tc := range []struct {
		path string
		want int
	}{{"/stream/", http.StatusServiceUnavailable}, {"/resumable/", http.StatusServiceUnavailable}, {"/once/", http.StatusOK}} {
		t.Run(tc.path, func(t *testing.T) {
			t.Parallel()
			f := startWithWork(t, true, func(r *catalog.Route) {
				if r.Kind == catalog.Stream {
					r.EventTimeout = 2 * runFor
				}
			})
			res, body, err := f.post(t, tc.path, "Id", "judged", "Model", "m", "Budget", "10000")
			if err != nil || res.StatusCode != tc.want {
				t.Errorf("%v %q %v, want status %d", res, body, err, tc.want)
			}
		})
	}
}

// An upstream that fails at once shows nothing of the time that work takes there: callers
// must still be told when those that work need longer than they wait.
func TestQuickFailuresShowNoTime(t *testing.T) {
	f := startWithWork(t, true, func(*catalog.Route) {})
	failing := newReplica(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) })
	f.watcher.PutUpstream(&catalog.Upstream{ID: "failing", Service: "s", Address: strings.TrimPrefix(failing.URL, "http://"), Slots: 100})
	for i := range 30 {
		if res, body, err := f.post(t, "/public/", "Id", fmt.Sprint("failed-", i), "Model", "m"); err != nil || res.StatusCode != http.StatusNotFound {
			t.Fatal(res, body, err)
		}
	}
	f.watcher.RemoveUpstream("failing")
	checkCallerTime(t, f, "/once/", 2*runFor)
}

// A caller that takes a stream up again near its end has time for what is left, though not
// for an answer from the beginning.
func TestCallersWaitOnlyForTheRestOfAStream(t *testing.T) {
	const events, interval = 10, 100 * time.Millisecond
	r := newReplica(t, func(w http.ResponseWriter, req *http.Request) {
		after, _ := strconv.Atoi(req.Header.Get("After"))
		for id := after + 1; id <= events; id++ {
			time.Sleep(interval)
			writeEvents(w, id, id)
		}
	})
	f := start(t, r)
	f.useOneSlot(true, func(*catalog.Route) {})
	ask := func(id string, header ...string) (*http.Response, string, error) {
		return f.post(t, "/resumable/", append(header, "Id", id, "Model", "m", "Output", fmt.Sprint(events))...)
	}
	if res, body, err := ask("first"); err != nil || res.StatusCode != http.StatusOK {
		t.Fatal(res, body, err)
	}
	f.awaitServed(t)
	var done sync.WaitGroup
	t.Cleanup(done.Wait)
	done.Go(func() { _, _, _ = ask("ahead") })
	r.awaitRuns(t, 2)
	budget := strconv.FormatInt((3 * events * interval / 2).Milliseconds(), 10)
	for _, tc := range []struct {
		last string
		want int
	}{{"0", http.StatusServiceUnavailable}, {"9", http.StatusOK}} {
		if res, body, err := ask("after-"+tc.last, "Budget", budget, "Last", tc.last); err != nil || res.StatusCode != tc.want {
			t.Errorf("after event %s: %v %q %v, want status %d", tc.last, res, body, err, tc.want)
		}
	}
}
