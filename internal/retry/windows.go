package retry

import (
	"sync"
	"time"
)

// Windows holds a window for each service, so that the requests for one service
// allow no extra attempts at another. It is safe for concurrent use.
type Windows struct {
	clock func() time.Time
	span  time.Duration
	open  func() *Window

	mu       sync.Mutex
	services map[string]*entry
}

// entry is the window of a service.
type entry struct {
	*Window
	used time.Time // latest use
}

// NewWindows returns windows with the parameters of NewWindow.
func NewWindows(clock func() time.Time, span time.Duration, ratio, extra float64, live func() int) *Windows {
	return &Windows{
		clock:    clock,
		span:     span,
		open:     func() *Window { return NewWindow(clock, span, ratio, extra, live) },
		services: make(map[string]*entry),
	}
}

// Request counts a request for a service.
func (w *Windows) Request(service string) { w.of(service).Request() }

// Allow takes one extra attempt at a service, and reports whether one was allowed.
func (w *Windows) Allow(service string) bool { return w.of(service).Allow() }

// Left returns the number of extra attempts that are allowed now, by service. It
// has the services that were used lately.
func (w *Windows) Left() map[string]float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropIdle()
	left := make(map[string]float64, len(w.services))
	for name, e := range w.services {
		left[name] = e.Left()
	}
	return left
}

// of returns the window of a service.
func (w *Windows) of(service string) *Window {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.services[service]
	if e == nil {
		w.dropIdle()
		e = &entry{Window: w.open()}
		w.services[service] = e
	}
	e.used = w.clock()
	return e.Window
}

// idleSpans is the number of spans after whose end a window that was not used holds
// no counts.
const idleSpans = 3

// dropIdle drops the windows that hold no counts, such as those of services that
// left the configuration. w.mu is held.
func (w *Windows) dropIdle() {
	oldest := w.clock().Add(-idleSpans * w.span)
	for name, e := range w.services {
		if e.used.Before(oldest) {
			delete(w.services, name)
		}
	}
}
