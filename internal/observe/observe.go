// Package observe provides the log of a daemon and the metrics that show its
// current state.
package observe

import (
	"io"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"currantpulley/internal/balance"
	"currantpulley/internal/catalog"
	"currantpulley/internal/event"
	"currantpulley/internal/eventlog"
	"currantpulley/internal/freshness"
	"currantpulley/internal/metrics"
	"currantpulley/internal/timeline"
)

// recentEvents is the number of recent events that are kept in memory, for debug
// events and for all others each.
const recentEvents = 256

// Logs is the event log of a process. It is sampled and never blocks on its
// reader.
type Logs struct {
	event.Recorder
	writer  *eventlog.Writer
	sampler *eventlog.Sampler
}

// NewLogs returns the log of the VM called vm, written to out. An unknown level
// means info.
func NewLogs(out io.Writer, vm, level string) *Logs {
	l := &Logs{writer: eventlog.NewWriter(out), sampler: eventlog.NewSampler()}
	recorder := timeline.NewRecorder(vm, timeline.NewClock(nil), eventlog.NewLogger(l.writer, vm, level), recentEvents)
	recorder.SetSampler(l.sampler)
	l.Recorder = recorder
	return l
}

// Close writes the buffered lines and closes the log.
func (l *Logs) Close() error { return l.writer.Close() }

// Daemon holds the components of a daemon whose state the metrics show.
type Daemon struct {
	Logs      *Logs
	Watcher   *catalog.Watcher
	Balancer  *balance.Balancer
	Config    *freshness.Proof          // proof that the configuration is the newest
	Registry  *freshness.Proof          // proof that the list of upstreams is complete
	LeaseHeld func() bool               // whether this daemon holds the lease for orders to engines
	Peers     func() int                // number of live daemons, this one included
	Budget    func() map[string]float64 // number of retries that the budget allows now, by service

	Quarantined func() int  // number of requests and parts of prompts that are held back
	CutOff      func() bool // whether other daemons reach upstreams and this one does not
	TunnelsOpen func() int  // number of connections to upstreams through other daemons
	Carried     func() int  // number of connections to upstreams for other daemons
}

// Register registers the metrics of the daemon's state in r.
func (d Daemon) Register(r prometheus.Registerer) {
	metrics.State{
		ConfigurationVersion: d.version,
		ConfigurationAge:     age(d.Config),
		RegistryAge:          age(d.Registry),
		LeaseHeld:            flag(d.LeaseHeld),
		CutOff:               flag(d.CutOff),
		TunnelsOpen:          func() float64 { return float64(d.TunnelsOpen()) },
		TunnelsCarried:       func() float64 { return float64(d.Carried()) },
		Peers:                func() float64 { return float64(d.Peers()) },
		RetryBudget:          d.Budget,
		Upstreams:            d.stayingUpstreams,
		UpstreamsClosed:      d.summary(func(s balance.Summary) int { return s.Closed }),
		RequestsAtUpstreams:  d.summary(func(s balance.Summary) int { return s.Requests }),
		TokensWaiting:        d.summary(func(s balance.Summary) int { return s.Tokens }),
		UpstreamsBehind:      func() float64 { return float64(d.behind().upstreams) },
		OldestWeightsBehind:  func() float64 { return d.behind().oldest.Seconds() },
		QuarantinedParts:     func() float64 { return float64(d.Quarantined()) },
		UpstreamsLimited:     func() float64 { return float64(d.Balancer.Limited()) },
		Paces:                d.Balancer.Paces,
		LogLinesDropped:      func() float64 { return float64(d.Logs.writer.Dropped()) },
		LogEventsSuppressed:  func() float64 { return float64(d.Logs.sampler.Suppressed()) },
	}.Register(r)
}

// version returns the configuration version in force, 0 before the first.
func (d Daemon) version() float64 {
	if c := d.Watcher.Load().Config; c != nil {
		return float64(c.Version)
	}
	return 0
}

// flag returns a function that returns 1 while f is true, else 0.
func flag(f func() bool) func() float64 {
	return func() float64 {
		if f() {
			return 1
		}
		return 0
	}
}

// stayingUpstreams returns the number of upstreams that are not leaving.
func (d Daemon) stayingUpstreams() float64 {
	n := 0
	for _, u := range d.Watcher.Load().Upstreams {
		if !u.Leaving {
			n++
		}
	}
	return float64(n)
}

// summary returns a metric function that reads one value of the balancer's
// summary.
func (d Daemon) summary(value func(balance.Summary) int) func() float64 {
	return func() float64 { return float64(value(d.Balancer.Summary(freshness.Time()))) }
}

// behind describes the upstreams whose weights are older than the target.
type behind struct {
	upstreams int
	oldest    time.Duration // since the first version newer than the oldest of them was announced
}

// behind returns the state of the upstreams that are not leaving. Weights of an
// unknown version don't count.
func (d Daemon) behind() behind {
	var b behind
	snap, now := d.Watcher.Load(), freshness.Time()
	for _, u := range snap.Upstreams {
		if u.Leaving {
			continue
		}
		if age, ok := d.weightsBehind(snap, u, now); ok {
			b.upstreams++
			b.oldest = max(b.oldest, age)
		}
	}
	return b
}

// weightsBehind returns the time since a newer version than that of an upstream's
// weights was announced, of all models the longest, and false if the upstream
// serves the target version of each.
func (d Daemon) weightsBehind(snap *catalog.Snapshot, u *catalog.Upstream, now time.Time) (longest time.Duration, older bool) {
	for model, target := range snap.Weights {
		version := d.Balancer.Version(u, model, now)
		if age, ok := target.Behind(version, now); ok && version != 0 {
			longest, older = max(longest, age), true
		}
	}
	return longest, older
}

// noProofAge is the reported age, in seconds, while there is no proof yet.
const noProofAge = -1

// age returns a metric function that returns the age of a proof in seconds.
func age(p *freshness.Proof) func() float64 {
	return func() float64 {
		_, age, ok := p.Latest(freshness.Now())
		if !ok {
			return noProofAge
		}
		return age.Seconds()
	}
}
