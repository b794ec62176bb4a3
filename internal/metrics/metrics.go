// Package metrics defines the Prometheus metrics of a daemon.
package metrics

import (
	"net/http"
	"regexp"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const namespace = "currantpulley"

// ttftBuckets are the histogram buckets of the time to first token, in seconds.
var ttftBuckets = []float64{.025, .05, .1, .2, .3, .5, .75, 1.1, 1.5, 2, 3, 5, 10, 30}

// Metrics holds the metrics of the filter pipeline in package daemon. A daemon on
// the users' platform has no such pipeline and uses Gateway instead. To bound the
// number of time series, no label names a workspace or a request.
type Metrics struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	ttft     *prometheus.HistogramVec
	attempts *prometheus.CounterVec
	tokens   *prometheus.CounterVec
	version  prometheus.Gauge
	inFlight prometheus.Gauge
}

// schedulerWaits matches the histogram of the times that goroutines waited for a
// processor. It shows a daemon that acts late.
var schedulerWaits = regexp.MustCompile("^/sched/latencies:seconds$")

// NewRegistry returns a registry with the metrics of the Go runtime and the
// process.
func NewRegistry() *prometheus.Registry {
	r := prometheus.NewRegistry()
	waits := collectors.WithGoCollectorRuntimeMetrics(collectors.GoRuntimeMetricsRule{Matcher: schedulerWaits})
	r.MustRegister(collectors.NewGoCollector(waits), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return r
}

// Handler returns the HTTP handler that serves the metrics in r.
func Handler(r *prometheus.Registry) http.Handler {
	return promhttp.HandlerFor(r, promhttp.HandlerOpts{})
}

// New returns the metrics of the filter pipeline in a new registry.
func New() *Metrics {
	r := NewRegistry()
	f := promauto.With(r)
	return &Metrics{
		registry: r,
		requests: f.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "requests_total", Help: "Requests by outcome and class."}, []string{"outcome", "class"}),
		ttft: f.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "time_to_first_token_seconds", Help: "From arrival to the first token.",
			Buckets: ttftBuckets}, []string{"class"}),
		attempts: f.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "attempts_total", Help: "Attempts at upstreams by result."}, []string{"result"}),
		tokens: f.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "tokens_total", Help: "Tokens as counted by the engines."}, []string{"kind"}),
		version: f.NewGauge(prometheus.GaugeOpts{
			Namespace: namespace, Name: "configuration_version", Help: "Configuration version in force here."}),
		inFlight: f.NewGauge(prometheus.GaugeOpts{
			Namespace: namespace, Name: "requests_in_progress", Help: "Requests in the pipe."}),
	}
}

// Handler returns the HTTP handler that serves the metrics.
func (m *Metrics) Handler() http.Handler { return Handler(m.registry) }

// RequestStarted counts a request as in progress.
func (m *Metrics) RequestStarted() { m.inFlight.Inc() }

// RequestEnded counts a request as ended. outcome is "served" or a refusal's
// code.
func (m *Metrics) RequestEnded(outcome, class string) {
	m.inFlight.Dec()
	m.requests.WithLabelValues(outcome, class).Inc()
}

// FirstToken observes the time to first token of a request of the given class.
func (m *Metrics) FirstToken(d time.Duration, class string) {
	m.ttft.WithLabelValues(class).Observe(d.Seconds())
}

// Attempt counts an attempt at an upstream by its result, and its tokens.
func (m *Metrics) Attempt(result string, prompt, cached, output int) {
	m.attempts.WithLabelValues(result).Inc()
	m.tokens.WithLabelValues("prompt").Add(float64(prompt))
	m.tokens.WithLabelValues("cached").Add(float64(cached))
	m.tokens.WithLabelValues("output").Add(float64(output))
}

// Version sets the configuration version in force.
func (m *Metrics) Version(v uint64) { m.version.Set(float64(v)) }
