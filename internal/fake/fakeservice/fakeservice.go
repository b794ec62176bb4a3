// Package fakeservice is a fake of a plain service, such as a ledger, served over
// HTTP. It counts how often a call with each idempotency key ran.
package fakeservice

import (
	"io"
	"net/http"
	"sync"
	"time"

	"currantpulley/internal/fake/fakehttp"
)

// Faults are the faults that a Service injects. The zero value injects none.
type Faults struct {
	ResetBefore int `json:"reset_before"` // number of calls to abort before they run
	ResetAfter  int `json:"reset_after"`  // number of calls to run and abort before the response
	SlowMS      int `json:"slow_ms"`      // milliseconds before a call runs
}

// Response is the JSON response to a call.
type Response struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	Key     string `json:"key"`  // Idempotency-Key; may be empty
	Runs    int    `json:"runs"` // runs with this key, including this one
	Bytes   int    `json:"bytes"`
}

// Service is the fake service, an http.Handler. POST /faults sets its Faults and
// GET /runs returns the number of runs by key. Every other request is a call,
// which is counted unless its method is GET.
type Service struct {
	name   string
	mux    *http.ServeMux
	mu     sync.Mutex
	faults Faults
	runs   map[string]int
}

// New returns a Service with the given name.
func New(name string) *Service {
	s := &Service{name: name, mux: http.NewServeMux(), runs: make(map[string]int)}
	s.mux.HandleFunc("POST /faults", s.postFaults)
	s.mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) {
		fakehttp.WriteJSON(w, http.StatusOK, s.Runs())
	})
	s.mux.HandleFunc("/", s.call)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetFaults replaces the injected faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Runs returns the number of runs by idempotency key.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for key, n := range s.runs {
		runs[key] = n
	}
	return runs
}

func (s *Service) postFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if fakehttp.ReadJSON(w, r, &f) {
		s.SetFaults(f)
		fakehttp.WriteJSON(w, http.StatusOK, f)
	}
}

// call runs a call, with its faults.
func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	delay, abort := s.takeFaultBefore()
	time.Sleep(delay)
	if abort {
		fakehttp.Abort()
	}
	key := r.Header.Get("Idempotency-Key")
	runs, abort := s.run(r.Method, key)
	if abort {
		fakehttp.Abort()
	}
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	fakehttp.WriteJSON(w, http.StatusOK, Response{s.name, r.URL.Path, key, runs, len(body)})
}

// takeFaultBefore returns the delay of a call and whether to abort it before it
// runs.
func (s *Service) takeFaultBefore() (delay time.Duration, abort bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	abort = s.faults.ResetBefore > 0
	if abort {
		s.faults.ResetBefore--
	}
	return time.Duration(s.faults.SlowMS) * time.Millisecond, abort
}

// run counts a call and reports whether to abort its response.
func (s *Service) run(method, key string) (runs int, abort bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if method != http.MethodGet {
		s.runs[key]++
	}
	abort = s.faults.ResetAfter > 0
	if abort {
		s.faults.ResetAfter--
	}
	return s.runs[key], abort
}
