package metrics

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// State holds functions that return a daemon's current state. They are called
// when the metrics are collected.
type State struct {
	ConfigurationVersion func() float64
	ConfigurationAge     func() float64            // seconds since the configuration was proved to be the newest
	RegistryAge          func() float64            // seconds since the list of upstreams was proved to be complete
	LeaseHeld            func() float64            // 1 if this daemon holds the lease for orders to engines, else 0
	Peers                func() float64            // number of live daemons, this one included
	RetryBudget          func() map[string]float64 // number of retries that the budget allows now, by service
	Upstreams            func() float64            // number of upstreams that are not leaving
	UpstreamsClosed      func() float64            // number of upstreams that get no requests now
	RequestsAtUpstreams  func() float64            // requests of all daemons at upstreams, as far as this daemon knows
	TokensWaiting        func() float64            // prompt tokens waiting for prefill in engines, of all daemons
	UpstreamsBehind      func() float64            // upstreams whose weights are older than the target
	OldestWeightsBehind  func() float64            // seconds since weights newer than the oldest ones in use were announced; 0: none are
	QuarantinedParts     func() float64            // requests and parts of prompts that are held back
	CutOff               func() float64            // 1 if other daemons reach upstreams and this one does not, else 0
	TunnelsOpen          func() float64            // connections to upstreams through other daemons
	TunnelsCarried       func() float64            // connections to upstreams for other daemons
	UpstreamsLimited     func() float64            // upstreams that state a limit on requests
	Paces                func() map[string]float64 // time that work takes an upstream, relative to the others of its service, by upstream
	LogLinesDropped      func() float64            // lines dropped because the log's reader was too slow
	LogEventsSuppressed  func() float64            // events not logged because of sampling
}

// Register registers the metrics of the state in r.
func (s State) Register(r prometheus.Registerer) {
	f := promauto.With(r)
	for _, g := range []struct {
		name, help string
		value      func() float64
	}{
		{"configuration_version_in_force", "Configuration version in force here; 0 before the first.", s.ConfigurationVersion},
		{"configuration_age_seconds", "Time since the configuration was proved to be the newest.", s.ConfigurationAge},
		{"registry_age_seconds", "Time since the list of upstreams was proved to be complete.", s.RegistryAge},
		{"order_lease_held", "1 on the daemon that gives the orders to engines, else 0.", s.LeaseHeld},
		{"peers_live", "Live daemons, this one included.", s.Peers},
		{"upstreams_known", "Upstreams that are not leaving.", s.Upstreams},
		{"upstreams_closed", "Upstreams that get no work now: they failed, or load weights.", s.UpstreamsClosed},
		{"upstream_requests", "Requests of all daemons at upstreams, as far as this daemon knows.", s.RequestsAtUpstreams},
		{"upstream_waiting_tokens", "Tokens of prompts that wait for their first token in engines, of all daemons.", s.TokensWaiting},
		{"upstreams_behind", "Upstreams whose weights are older than the target.", s.UpstreamsBehind},
		{"weights_oldest_behind_seconds", "Time since weights newer than the oldest ones in use were announced; 0 if none are.", s.OldestWeightsBehind},
		{"upstreams_limited", "Upstreams that state a limit on the requests of all daemons together.", s.UpstreamsLimited},
		{"cut_off_from_upstreams", "1 while other daemons reach upstreams and this one does not, else 0.", s.CutOff},
		{"tunnels_open", "Connections to upstreams that go through other daemons.", s.TunnelsOpen},
		{"tunnels_carried", "Connections to upstreams that this daemon carries for others.", s.TunnelsCarried},
		{"quarantined_parts", "Requests that come again, and parts of prompts, that crash upstreams and are held back.", s.QuarantinedParts},
	} {
		f.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: g.name, Help: g.help}, g.value)
	}
	r.MustRegister(retryBudget(s.RetryBudget))
	r.MustRegister(paces(s.Paces))
	f.NewCounterFunc(prometheus.CounterOpts{
		Namespace: namespace, Name: "log_lines_dropped_total", Help: "Log lines dropped because their reader was too slow."}, s.LogLinesDropped)
	f.NewCounterFunc(prometheus.CounterOpts{
		Namespace: namespace, Name: "log_events_left_out_total", Help: "Events that were not logged because many like them came."}, s.LogEventsSuppressed)
}

// StoreCalls counts calls to the platform's store.
type StoreCalls struct{ calls *prometheus.CounterVec }

// NewStoreCalls returns the counter of calls to the platform's store, registered
// in r.
func NewStoreCalls(r prometheus.Registerer) *StoreCalls {
	return &StoreCalls{promauto.With(r).NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "store_calls_total", Help: "Calls to the store by kind and result."}, []string{"call", "result"})}
}

// CountCall counts a call by its kind and result.
func (c *StoreCalls) CountCall(call, result string) { c.calls.WithLabelValues(call, result).Inc() }
