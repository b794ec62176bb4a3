package retry

import (
	"sync"
	"time"
)

// buckets is the number of buckets into which a window divides its span.
const buckets = 20

// safetyFactor is the part of the allowance that is used. It leaves a margin
// because the daemons disagree for a while on how many of them are live, and
// because the bound must hold in every span, which the buckets only approximate.
const safetyFactor = 0.75

// Window bounds the extra attempts in a sliding window of time to a share of the
// requests in it plus this daemon's part of an allowance shared by all daemons.
// It is safe for concurrent use.
type Window struct {
	clock func() time.Time
	span  time.Duration
	ratio float64    // extra attempts per request
	extra float64    // allowance of all daemons together
	live  func() int // number of daemons that may be serving

	mu       sync.Mutex
	at       int64 // number of the newest bucket
	requests [buckets]int
	extras   [buckets]int
}

// NewWindow returns a window of length span that allows ratio extra attempts per
// request plus this daemon's part of extra: extra divided by live().
func NewWindow(clock func() time.Time, span time.Duration, ratio, extra float64, live func() int) *Window {
	return &Window{clock: clock, span: span, ratio: ratio, extra: extra, live: live}
}

// Request counts a request.
func (w *Window) Request() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests[w.advance()]++
}

// Allow takes one extra attempt, and reports whether one was allowed.
func (w *Window) Allow() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.advance()
	if w.remaining() < 1 {
		return false
	}
	w.extras[now]++
	return true
}

// Left returns the number of extra attempts that are allowed now.
func (w *Window) Left() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	return w.remaining()
}

func (w *Window) remaining() float64 {
	requests, extras := 0, 0
	for i := range buckets {
		requests += w.requests[i]
		extras += w.extras[i]
	}
	allowed := w.ratio*float64(requests) + w.extra/float64(max(1, w.live()))
	return safetyFactor*allowed - float64(extras)
}

// advance clears the buckets that have left the window and returns the index of
// the newest one.
func (w *Window) advance() int {
	now := w.clock().UnixNano() / int64(w.span/buckets)
	for n := max(w.at+1, now-buckets+1); n <= now; n++ {
		w.requests[n%buckets] = 0
		w.extras[n%buckets] = 0
	}
	w.at = max(w.at, now)
	return int(w.at % buckets)
}
