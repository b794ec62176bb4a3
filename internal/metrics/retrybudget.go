package metrics

import (
	"maps"
	"slices"

	"github.com/prometheus/client_golang/prometheus"
)

// retryBudget collects what is left of the budget of retries of each service.
type retryBudget func() map[string]float64

// retryBudgetDesc describes the metric.
var retryBudgetDesc = prometheus.NewDesc(prometheus.BuildFQName(namespace, "", "retry_budget_attempts"),
	"Attempts that may still be repeated in the running window, by service.", []string{"service"}, nil)

// Describe implements prometheus.Collector.
func (retryBudget) Describe(out chan<- *prometheus.Desc) { out <- retryBudgetDesc }

// Collect implements prometheus.Collector. It shows the first maxNames services by
// name.
func (b retryBudget) Collect(out chan<- prometheus.Metric) {
	left := b()
	names := slices.Sorted(maps.Keys(left))
	for _, name := range names[:min(len(names), maxNames)] {
		out <- prometheus.MustNewConstMetric(retryBudgetDesc, prometheus.GaugeValue, left[name], name)
	}
}
