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
	Refuse      int `json:"refuse"`       // number of calls to refuse with 503 and the statement that they did not run
	Overload    int `json:"overload"`     // number of calls to run and answer with 503
	Cross       int `json:"cross"`        // number of calls to run and answer with a refusal of another call
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
	time.Sleep(s.delay())
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	switch {
	case s.takeFault(func(f *Faults) *int { return &f.ResetBefore }):
		fakehttp.Abort()
	case s.takeFault(func(f *Faults) *int { return &f.Refuse }):
		refuse(w)
		return
	}
	key := r.Header.Get("Idempotency-Key")
	runs := s.run(r.Method, key)
	switch {
	case s.takeFault(func(f *Faults) *int { return &f.ResetAfter }):
		fakehttp.Abort()
	case s.takeFault(func(f *Faults) *int { return &f.Overload }):
		http.Error(w, "overloaded", http.StatusServiceUnavailable)
		return
	case s.takeFault(func(f *Faults) *int { return &f.Cross }):
		w.Header().Set("X-Request-Id", "another-request")
		refuse(w)
		return
	}
	fakehttp.WriteJSON(w, http.StatusOK, Response{s.name, r.URL.Path, key, runs, len(body)})
}

// refuse responds with 503 and the statement that the call did not run.
func refuse(w http.ResponseWriter) {
	w.Header().Set("X-Effect", "not-run")
	http.Error(w, "refused", http.StatusServiceUnavailable)
}

// delay returns the time to wait before a call runs.
func (s *Service) delay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.faults.SlowMS) * time.Millisecond
}

// takeFault takes one fault from the count that field selects, and reports whether
// there was one.
func (s *Service) takeFault(field func(*Faults) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := field(&s.faults)
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// run counts a call and returns the runs with its key.
func (s *Service) run(method, key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if method != http.MethodGet {
		s.runs[key]++
	}
	return s.runs[key]
}
