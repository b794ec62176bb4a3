package retry

import (
	"math"
	"sync"
	"time"
)

// Options describe the bound on extra attempts at a service. All daemons together
// keep it: in any span of time, extra attempts that arrive at the service's upstreams
// stay below Ratio for each request plus Extra. The requests are those of that span or
// of the one before, whichever are most.
type Options struct {
	Clock func() time.Time // must never go back, and must count the time in suspend
	Span  time.Duration
	Ratio float64        // extra attempts per request
	Extra float64        // allowance that all daemons share
	Part  func() float64 // this daemon's part of Extra, from 0 to 1
	Stale func() bool    // whether requests that arrive now may have been sent long ago
}

const (
	// bucketsPerSpan is the number of buckets into which a window divides its span.
	bucketsPerSpan = 100
	// safetyFactor is the part of the bound that is used. The rest covers requests
	// that were held up on their way to the daemon: the bound counts them when
	// callers send them.
	safetyFactor = 0.9
	// delayBuckets is the time, in buckets, within which an attempt must arrive after
	// it was allowed: with a span of 10 s, 1 s for the age of its permit, for the
	// connection (0.5 s) and for the way to the upstream.
	delayBuckets = bucketsPerSpan / 10
	// keptBuckets is the number of buckets that a window needs.
	keptBuckets = 2*bucketsPerSpan + 1
)

// Window keeps the bound of one service in one daemon. It is safe for concurrent
// use.
//
// For every span that a new attempt may fall into, it compares the extra attempts
// that may arrive in the span with the mean of the requests in the span and in the
// one before. A mean can be summed over daemons; the larger of the two can't, as it
// may be a different one at each daemon.
type Window struct {
	opts Options
	step time.Duration // length of a bucket

	mu       sync.Mutex
	at       int64            // number of the newest bucket
	requests [keptBuckets]int // by number of the bucket modulo keptBuckets
	extras   [keptBuckets]int // by the bucket in which they were allowed
}

// NewWindow returns a window without counts.
func NewWindow(o Options) *Window {
	return &Window{opts: o, step: max(o.Span/bucketsPerSpan, 1)}
}

// Request counts a request. A request that callers may have sent long ago is not
// counted, as the bound counts it for the time at which it was sent.
func (w *Window) Request() {
	w.mu.Lock()
	defer w.mu.Unlock()
	newest := w.advance()
	if !w.opts.Stale() {
		w.requests[newest]++
	}
}

// Allow takes one extra attempt, and reports whether one was allowed. The attempt
// must arrive within delayBuckets.
func (w *Window) Allow() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	newest := w.advance()
	if w.remaining() < 1 {
		return false
	}
	w.extras[newest]++
	return true
}

// Left returns the number of extra attempts that are allowed now.
func (w *Window) Left() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	return w.remaining()
}

// remaining returns the least that is left of any span that an attempt allowed now
// may arrive in.
func (w *Window) remaining() float64 {
	common := w.opts.Part() * w.opts.Extra
	requests, extras := 0, 0
	for age := range bucketsPerSpan - delayBuckets - 1 {
		requests += w.requests[w.index(age)]
	}
	least := math.Inf(1)
	// The span that begins delayBuckets from now comes first. Each span that begins one
	// bucket earlier has one bucket of extra attempts more. With the span before it, it
	// has one bucket of requests more.
	for n := range bucketsPerSpan + delayBuckets + 1 {
		extras += w.extras[w.index(n)]
		requests += w.requests[w.index(n+bucketsPerSpan-delayBuckets-1)]
		allowed := safetyFactor * (w.opts.Ratio*float64(requests)/2 + common)
		least = min(least, allowed-float64(extras))
	}
	return least
}

// index returns the index of the bucket that is age buckets older than the newest.
func (w *Window) index(age int) int64 {
	return (w.at - int64(age) + keptBuckets) % keptBuckets // w.at is small soon after boot
}

// advance clears the buckets that have left the window and returns the index of
// the newest one.
func (w *Window) advance() int {
	now := w.opts.Clock().UnixNano() / int64(w.step)
	for b := max(w.at+1, now-keptBuckets+1); b <= now; b++ {
		w.requests[b%keptBuckets] = 0
		w.extras[b%keptBuckets] = 0
	}
	w.at = max(w.at, now)
	return int(w.at % keptBuckets)
}
