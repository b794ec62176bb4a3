package daemon_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"currantpulley/internal/fake/crowd"
	"currantpulley/internal/fake/fakeengine"
	"currantpulley/internal/fake/flood"
)

// startFaultyService starts a plain service whose answers are floods, and returns its
// address.
func startFaultyService(t *testing.T, kind flood.Kind) string {
	t.Helper()
	return startFaulty(t, func(w http.ResponseWriter, r *http.Request) {
		flood.Answer(w, r, kind, http.StatusOK, "X-Request-Id: "+r.Header.Get("X-Request-Id")+"\r\n")
	})
}

// startFaultyEngine starts an engine whose answers to prompts are floods, and returns its
// address.
func startFaultyEngine(t *testing.T, kind flood.Kind) string {
	t.Helper()
	engine := fakeengine.New(fakeengine.Options{Name: "faulty", Weights: map[string]string{"m": "w1"}, PieceTokens: 16, MaxRunning: 1024})
	return startFaulty(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost || !strings.HasPrefix(r.URL.Path, "/v1/") {
			engine.ServeHTTP(w, r)
			return
		}
		flood.Answer(w, r, kind, http.StatusOK, "Content-Type: text/event-stream\r\nX-Request-Id: "+r.Header.Get("X-Request-Id")+"\r\n")
	})
}

// startFaulty starts an upstream and returns its address.
func startFaulty(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewUnstartedServer(h)
	s.Config.IdleTimeout = time.Second // an idle connection takes a descriptor of the daemon
	s.Start()
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s.Listener.Addr().String()
}

// faultyRequest returns a request that a faulty upstream gets, as d's plan has it.
func faultyRequest(d crowdDaemon, path, body string) string {
	head := strings.Replace(d.plan.Head, "POST /stock", "POST "+path, 1)
	return fmt.Sprintf("%sContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", head, len(body), body)
}

// Guards against engines at fault that end the process which polls them, many of them at
// once: their states without an end filled its memory.
func TestFloodsOfStatesEndNoProcess(t *testing.T) {
	const engines, polls = 40, 80
	binary := crowd.Build(t)
	for _, kind := range flood.Kinds {
		t.Run(string(kind), func(t *testing.T) {
			var polled atomic.Int64
			var all faulty
			for range engines {
				all.engines = append(all.engines, startFaulty(t, func(w http.ResponseWriter, r *http.Request) {
					polled.Add(1)
					flood.Answer(w, r, kind, http.StatusOK, "X-Request-Id: "+r.Header.Get("X-Request-Id")+"\r\n")
				}))
			}
			d := startCrowdDaemon(t, binary, "", all)
			for end := time.Now().Add(time.Minute); polled.Load() < polls && time.Now().Before(end); {
				time.Sleep(10 * time.Millisecond)
			}
			if got := polled.Load(); got < polls {
				t.Errorf("%d polls within a minute, want %d", got, polls)
			}
			crowd.CheckCalm(t, d.Process, d.plan)
		})
	}
}

// Guards against upstreams at fault that end a process: bytes without an end, in a head
// or in a body, filled its memory.
func TestFloodsOfUpstreamsEndNoProcess(t *testing.T) {
	binary := crowd.Build(t)
	for _, kind := range flood.Kinds {
		t.Run(string(kind), func(t *testing.T) {
			t.Run("service", func(t *testing.T) {
				d := startCrowdDaemon(t, binary, "", faulty{service: startFaultyService(t, kind)})
				d.plan.Kind, d.plan.Whole = crowd.Whole, faultyRequest(d, "/faulty", "x")
				crowd.Check(t, d.Process, d.plan)
			})
			t.Run("engine", func(t *testing.T) {
				d := startCrowdDaemon(t, binary, "", faulty{engines: []string{startFaultyEngine(t, kind)}})
				d.plan.Kind, d.plan.Whole = crowd.Whole, faultyRequest(d, "/v1/completions", `{"model":"m","prompt":"p","max_tokens":10,"stream":true}`)
				crowd.Check(t, d.Process, d.plan)
			})
		})
	}
}
