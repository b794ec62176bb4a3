package metrics

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

const (
	subsystem = "gateway"
	// maxNames is the number of routes, and of services, that get label values of
	// their own. It bounds the number of time series.
	maxNames = 48
	// otherNames is the label value of all further routes and services, and of
	// requests without a route.
	otherNames = "other"
)

// stageBuckets are the histogram buckets of stage durations, in seconds.
var stageBuckets = []float64{.01, .025, .05, .1, .2, .4, .6, 1, 2, 5, 15}

// Stage is a span of a request's processing that begins at its arrival.
type Stage string

// Stages of requests.
const (
	StageSent     Stage = "sent"  // until it was sent to an upstream
	StageFirst    Stage = "first" // until the first byte of the answer was relayed
	StageComplete Stage = "whole" // until the answer was complete
)

// Source is where the engine is expected to get the prefill of a prompt's tokens
// from.
type Source string

// Sources of prompt tokens.
const (
	SourceComputed Source = "computed" // prefilled by the engine
	SourceHeld     Source = "held"     // in the engine's cache already
	SourceFetched  Source = "fetched"  // from another engine or a cache store
)

// Send is the kind of a request that was sent to an upstream.
type Send string

// Kinds of sends.
const (
	SendFirst    Send = "first"
	SendRepeated Send = "repeated" // after an earlier send failed
)

// Placing is where a request goes within its rank.
type Placing string

// Places of requests within their rank.
const (
	PlacedFreely Placing = "free"   // room isn't short, or the workspace is alone
	PlacedWithin Placing = "within" // room is short, the request is within its workspace's share
	PlacedBehind Placing = "behind" // it is beyond it and goes behind others
)

// Gateway holds the metrics of the requests that the gateway relays. It is safe
// for concurrent use.
type Gateway struct {
	requests  *prometheus.CounterVec
	stages    *prometheus.HistogramVec
	attempts  *prometheus.CounterVec
	sends     *prometheus.CounterVec
	tokens    *prometheus.CounterVec
	placed    *prometheus.CounterVec
	left      *prometheus.CounterVec
	leftSize  *prometheus.CounterVec
	progress  prometheus.Gauge
	overQuota *prometheus.CounterVec

	mu         sync.Mutex
	routes     map[string]bool // routes with a label value of their own
	services   map[string]bool // services with a label value of their own
	workspaces map[string]bool // workspaces with a label value of their own
}

// NewGateway returns the gateway's metrics, registered in r.
func NewGateway(r prometheus.Registerer) *Gateway {
	f := promauto.With(r)
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return f.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Subsystem: subsystem, Name: name, Help: help}, labels)
	}
	return &Gateway{
		requests: counter("requests_total", "Requests by route, outcome and reason.", "route", "outcome", "reason"),
		stages: f.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Subsystem: subsystem, Name: "stage_duration_seconds",
			Help: "Time from a request's arrival until it was sent, its answer began, and its answer was whole.", Buckets: stageBuckets,
		}, []string{"route", "stage"}),
		attempts: counter("attempts_total", "Attempts at upstreams by result.", "result"),
		sends:    counter("sends_total", "Requests sent to upstreams by service and by whether they repeat an earlier send.", "service", "kind"),
		tokens:   counter("prompt_tokens_total", "Tokens of prompts by where the engine was expected to get them.", "source"),
		placed:   counter("placed_total", "Sends to engines for workspaces by service and place: free while room isn't short, else within the workspace's share or behind others of the rank.", "service", "place"),
		left:     counter("left_data_centre_total", "Sends to another data centre by service and reason: no upstream here, only there in time, parts of the prompt kept there, or a shorter wait.", "service", "reason"),
		leftSize: counter("left_data_centre_bytes_total", "About what these sends and their answers carry, by service.", "service"),
		progress: f.NewGauge(prometheus.GaugeOpts{
			Namespace: namespace, Subsystem: subsystem, Name: "requests_in_progress", Help: "Requests that arrived and have not ended.",
		}),
		routes:     make(map[string]bool),
		services:   make(map[string]bool),
		workspaces: make(map[string]bool),
		overQuota:  counter("over_quota_total", "Requests refused by the quota of their workspace for all daemons together.", "workspace"),
	}
}

// RequestStarted counts a request as in progress.
func (g *Gateway) RequestStarted() { g.progress.Inc() }

// RequestEnded counts a request as ended. reason is empty for a served request.
func (g *Gateway) RequestEnded(route, outcome, reason string) {
	g.progress.Dec()
	g.requests.WithLabelValues(g.label(g.routes, route), outcome, reason).Inc()
}

// ObserveStage observes the time d from a request's arrival to the end of stage
// s.
func (g *Gateway) ObserveStage(route string, s Stage, d time.Duration) {
	g.stages.WithLabelValues(g.label(g.routes, route), string(s)).Observe(d.Seconds())
}

// Attempt counts an attempt at an upstream by its result.
func (g *Gateway) Attempt(result string) { g.attempts.WithLabelValues(result).Inc() }

// OverQuota counts a request that was refused by its workspace's quota.
func (g *Gateway) OverQuota(workspace string) {
	g.overQuota.WithLabelValues(g.label(g.workspaces, workspace)).Inc()
}

// Sent counts a request that was sent to one of a service's upstreams.
func (g *Gateway) Sent(service string, kind Send) {
	g.sends.WithLabelValues(g.label(g.services, service), string(kind)).Inc()
}

// Placed counts a request of a workspace by its place within its rank.
func (g *Gateway) Placed(service string, p Placing) {
	g.placed.WithLabelValues(g.label(g.services, service), string(p)).Inc()
}

// LeftDataCentre counts a request that goes to another data centre by its reason, and what
// it carries.
func (g *Gateway) LeftDataCentre(service, reason string, bytes int) {
	label := g.label(g.services, service)
	g.left.WithLabelValues(label, reason).Inc()
	g.leftSize.WithLabelValues(label).Add(float64(max(0, bytes)))
}

// Tokens adds n prompt tokens from one source.
func (g *Gateway) Tokens(s Source, n int) {
	if n > 0 {
		g.tokens.WithLabelValues(string(s)).Add(float64(n))
	}
}

// label returns the label value of a route or service: its name if it is one of
// the first maxNames names in known, else otherNames. It adds new names to known.
func (g *Gateway) label(known map[string]bool, name string) string {
	if name == "" {
		return otherNames
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if known[name] {
		return name
	}
	if len(known) >= maxNames {
		return otherNames
	}
	known[name] = true
	return name
}
