package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"currantpulley/internal/memory"
)

// callersMemory collects the state of an account of callers' memory.
type callersMemory struct{ account *memory.Account }

var (
	callersMemoryUsed  = prometheus.NewDesc(prometheus.BuildFQName(namespace, "", "callers_memory_bytes"), "Memory held for callers.", nil, nil)
	callersMemoryLimit = prometheus.NewDesc(prometheus.BuildFQName(namespace, "", "callers_memory_limit_bytes"), "Most memory that may be held for callers.", nil, nil)
	callersEnded       = prometheus.NewDesc(prometheus.BuildFQName(namespace, "", "callers_ended_total"),
		"Callers refused or closed because memory or connections were short, by reason.", []string{"reason"}, nil)
)

// RegisterMemory registers the metrics of an account in r.
func RegisterMemory(r prometheus.Registerer, a *memory.Account) { r.MustRegister(callersMemory{a}) }

// RegisterMemory registers the metrics of an account.
func (m *Metrics) RegisterMemory(a *memory.Account) { RegisterMemory(m.registry, a) }

// Describe implements prometheus.Collector.
func (callersMemory) Describe(ch chan<- *prometheus.Desc) {
	ch <- callersMemoryUsed
	ch <- callersMemoryLimit
	ch <- callersEnded
}

// Collect implements prometheus.Collector.
func (c callersMemory) Collect(ch chan<- prometheus.Metric) {
	ch <- prometheus.MustNewConstMetric(callersMemoryUsed, prometheus.GaugeValue, float64(c.account.Used()))
	ch <- prometheus.MustNewConstMetric(callersMemoryLimit, prometheus.GaugeValue, float64(c.account.Limit()))
	for reason, n := range c.account.Ended() {
		ch <- prometheus.MustNewConstMetric(callersEnded, prometheus.CounterValue, float64(n), string(reason))
	}
}
