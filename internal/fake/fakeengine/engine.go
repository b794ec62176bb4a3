// Package fakeengine is a fake of a model engine, served over HTTP. It models a
// bounded prefix cache, continuous batching with priorities, lagging load
// reports and cache events, and injects faults. It is driven by timers, so that
// many engines in one process use little CPU time.
package fakeengine

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"currantpulley/internal/fake/fakehttp"
)

// Defaults of Options.
const (
	defaultPieceTokens = 2048
	defaultCachePieces = 512
	defaultPrefillRate = 50_000 // tokens per second
	defaultDecodeStep  = 8 * time.Millisecond
	defaultMaxRunning  = 32
	defaultRetention   = 5 * time.Second
	defaultLoadTime    = 500 * time.Millisecond
)

// Options configure an Engine. Zero fields get their default if they have one.
type Options struct {
	Name            string
	Weights         map[string]string // version by model
	PieceTokens     int               // tokens per cache piece
	CachePieces     int               // capacity of the cache
	IgnoreCache     bool              // never use cached pieces
	PrefillRate     float64           // tokens per second
	DecodeStep      time.Duration     // time per output token if one request decodes
	DecodeShare     time.Duration     // added to DecodeStep for each further decoding request
	MaxRunning      int               // largest number of requests in prefill or decode
	EventTokens     int               // output tokens per streamed event; the first has one
	StreamRetention time.Duration     // how long a stream without readers can be resumed
	ReportLag       time.Duration     // lag of load reports
	EventLag        time.Duration     // lag of cache events
	EventLoss       float64           // share of cache events that are lost
	ChecksFencing   bool              // reject orders with an outdated fencing token
	LoadTime        time.Duration     // duration of a weight load
	Store           *WeightStore      // limits concurrent loads; nil: no limit

	// Observe is called, with the engine locked, for each operation on a piece.
	// It must return quickly and may be nil.
	Observe func(Observation)
	// Fault returns the fault to inject into a request; nil: no faults.
	Fault func(*http.Request) Fault
	// OnAdmit is called with each admitted request, whose headers contain the
	// cache salt, and with its prompt; may be nil.
	OnAdmit func(r *http.Request, text []byte)
}

func (o Options) withDefaults() Options {
	setDefault(&o.PieceTokens, defaultPieceTokens)
	setDefault(&o.CachePieces, defaultCachePieces)
	setDefault(&o.PrefillRate, defaultPrefillRate)
	setDefault(&o.DecodeStep, defaultDecodeStep)
	setDefault(&o.MaxRunning, defaultMaxRunning)
	setDefault(&o.EventTokens, 1)
	setDefault(&o.StreamRetention, defaultRetention)
	setDefault(&o.LoadTime, defaultLoadTime)
	return o
}

// setDefault sets field to value if it is zero.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Op is an operation on a cache piece.
type Op string

// Operations on cache pieces.
const (
	Store   Op = "store"
	Evict   Op = "evict"
	Prefill Op = "prefill" // the piece was computed because it was not cached
)

// Observation is one operation on a cache piece.
type Observation struct {
	Engine string
	Op     Op
	Piece  uint64 // chained hash, see prompt.Hashes
}

// Stats are totals since the engine was created.
type Stats struct {
	Requests        int
	PromptTokens    int
	CachedTokens    int
	PrefilledTokens int
	OutputTokens    int
}

// Engine is the fake engine, an http.Handler.
type Engine struct {
	opts Options
	mux  *http.ServeMux

	mu          sync.Mutex
	incarnation string
	starts      int
	downUntil   time.Time
	weights     map[string]string
	loading     bool
	fencing     uint64
	role        string
	adapters    []string
	slowness    float64
	cache       *cache
	feed        *feed
	batch       batch
	streams     map[string]*stream
	reports     []report
	stats       Stats
}

// New returns an Engine with an empty cache.
func New(opts Options) *Engine {
	e := &Engine{opts: opts.withDefaults(), slowness: 1, role: "mixed", weights: make(map[string]string)}
	for model, version := range opts.Weights {
		e.weights[model] = version
	}
	e.start()
	e.mux = http.NewServeMux()
	e.mux.HandleFunc("POST /v1/completions", e.generate)
	e.mux.HandleFunc("POST /v1/chat/completions", e.generate)
	e.mux.HandleFunc("GET /v1/models", e.models)
	e.mux.HandleFunc("GET /v1/streams/{id}", e.resume)
	e.mux.HandleFunc("DELETE /v1/streams/{id}", e.cancel)
	e.mux.HandleFunc("GET /engine/state", e.state)
	e.mux.HandleFunc("GET /engine/cache-events", e.cacheEvents)
	e.mux.HandleFunc("POST /engine/orders", e.order)
	return e
}

// start begins a new incarnation. The caller holds the lock.
func (e *Engine) start() {
	e.starts++
	e.incarnation = fmt.Sprintf("%s-%d-%x", e.opts.Name, e.starts, rand.Uint32())
	e.feed = newFeed(e.opts.EventLag, e.opts.EventLoss)
	e.cache = newCache(e.opts.CachePieces, e.cacheChanged)
	e.batch = batch{last: time.Now()}
	e.streams = make(map[string]*stream)
	e.reports = nil
	e.loading = false
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	down := time.Now().Before(e.downUntil)
	e.mu.Unlock()
	if down {
		fakehttp.Abort()
	}
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	e.mux.ServeHTTP(w, r)
}

// Crash discards all streams and the cache. The engine aborts every connection
// for the duration down and then continues as a new incarnation.
func (e *Engine) Crash(down time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.streams {
		s.abort()
	}
	e.batch.stop()
	if e.opts.Observe != nil {
		e.cache.each(func(piece uint64) { e.observe(Evict, piece) })
	}
	e.downUntil = time.Now().Add(down)
	e.start()
}

// SetSlowness multiplies the time of prefill and decode by factor. Load reports
// do not show it.
func (e *Engine) SetSlowness(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance(time.Now())
	e.slowness = factor
	e.resetTimer()
}

// SetReportLag changes the lag of load reports.
func (e *Engine) SetReportLag(lag time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.opts.ReportLag = lag
}

// Incarnation returns the current incarnation.
func (e *Engine) Incarnation() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.incarnation
}

// Stats returns the totals since the engine was created.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

// observe calls Options.Observe. The caller holds the lock.
func (e *Engine) observe(op Op, piece uint64) {
	if e.opts.Observe != nil {
		e.opts.Observe(Observation{e.opts.Name, op, piece})
	}
}

// cacheChanged reports an operation of the cache to the observer and the event
// feed. The caller holds the lock.
func (e *Engine) cacheChanged(op Op, p entry) {
	e.observe(op, p.piece)
	e.feed.add(op, p)
}
