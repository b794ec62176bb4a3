package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"currantpulley/internal/catalog"
)

// arrivals counts the arrivals of each request at a service.
type arrivals struct {
	mu   sync.Mutex
	byID map[string]int
}

func (a *arrivals) add(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.byID[id]++
}

// repeats returns the number of arrivals beyond the first of each request.
func (a *arrivals) repeats() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, count := range a.byID {
		n += count - 1
	}
	return n
}

// addService adds a service with a route that allows two attempts.
func (f *fixture) addService(name, prefix string, replicas ...*replica) {
	c := *f.watcher.Load().Config
	c.Services[name] = &catalog.Service{Name: name}
	c.AddRoute(&catalog.Route{
		Name: name, Host: "127.0.0.1", Prefix: prefix, Timeout: time.Second, Kind: catalog.Idempotent, MaxAttempts: 2,
		Shares: []catalog.Share{{Service: name, Weight: 1}},
	})
	f.watcher.SetConfig(&c)
	for i, r := range replicas {
		f.watcher.PutUpstream(&catalog.Upstream{
			ID: fmt.Sprint(name, i), Service: name, Address: strings.TrimPrefix(r.URL, "http://"), Slots: 8,
		})
	}
}

// Requests for one service must not let another one get more repeats than its own
// requests allow.
func TestBusyServiceDoesNotPayRepeatsOfAnother(t *testing.T) {
	const (
		busy, failing = 600, 160
		bound         = 0.2*failing + 100 // of the fixture's budget
	)
	seen := &arrivals{byID: make(map[string]int)}
	refuse := func(w http.ResponseWriter, r *http.Request) {
		seen.add(r.Header.Get("Id"))
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	f := start(t, newReplica(t, func(http.ResponseWriter, *http.Request) {}))
	var replicas []*replica
	for range 16 { // enough that some are not held back after a refusal
		replicas = append(replicas, newReplica(t, refuse))
	}
	f.addService("failing", "/failing/", replicas...)
	for range busy {
		if res, _, err := f.post(t, "/idempotent/"); err != nil || res.StatusCode != http.StatusOK {
			t.Fatal(res, err)
		}
	}
	for i := range failing {
		if _, _, err := f.post(t, "/failing/", "Id", fmt.Sprint("f", i)); err != nil {
			t.Fatal(err)
		}
	}
	if n := seen.repeats(); n == 0 || float64(n) > bound {
		t.Errorf("%d repeats of %d requests, want 1 to %.0f", n, failing, bound)
	}
}
