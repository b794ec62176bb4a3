package retry

import (
	"sync"
	"time"
)

// Windows holds a window for each service, so that the requests for one service
// allow no extra attempts at another. It is safe for concurrent use.
type Windows struct {
	opts Options

	mu       sync.Mutex
	services map[string]*entry
}

// entry is the window of a service.
type entry struct {
	*Window
	used time.Time // latest use
}

// Permit is the permission to send a request again. The zero value belongs to a
// request's first send, which needs none.
type Permit struct {
	service string
	at      time.Time
}

// renewBuckets is the age, in buckets of a window, after which a permit that was not
// used is taken anew. With a span of 10 s it is 0.2 s.
const renewBuckets = delayBuckets / 5

// NewWindows returns a budget in which each service has the bound of o.
func NewWindows(o Options) *Windows {
	return &Windows{opts: o, services: make(map[string]*entry)}
}

// Request counts a request for a service.
func (w *Windows) Request(service string) { w.of(service).Request() }

// Allow takes one extra attempt at a service, and reports whether one was allowed.
func (w *Windows) Allow(service string) (Permit, bool) {
	now := w.opts.Clock()
	return Permit{service: service, at: now}, w.of(service).Allow()
}

// Confirm reports whether a request may be sent on p now. It must be called right
// before the send: a process that was paused may hold a permit that is too old. Such
// a permit is taken anew if the budget allows it.
func (w *Windows) Confirm(p *Permit) bool {
	if p.service == "" || w.opts.Clock().Sub(p.at) <= renewBuckets*w.opts.Span/bucketsPerSpan {
		return true
	}
	renewed, ok := w.Allow(p.service)
	if ok {
		*p = renewed
	}
	return ok
}

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
		e = &entry{Window: NewWindow(w.opts)}
		w.services[service] = e
	}
	e.used = w.opts.Clock()
	return e.Window
}

// idleSpans is the number of spans after which a window that was not used holds no
// counts.
const idleSpans = 3

// dropIdle drops the windows that hold no counts, such as those of services that
// left the configuration. w.mu is held.
func (w *Windows) dropIdle() {
	oldest := w.opts.Clock().Add(-idleSpans * w.opts.Span)
	for name, e := range w.services {
		if e.used.Before(oldest) {
			delete(w.services, name)
		}
	}
}
