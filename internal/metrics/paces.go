package metrics

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/prometheus/client_golang/prometheus"
)

// paces collects the paces of upstreams.
type paces func() map[string]float64

// pacesDesc describes the metric.
var pacesDesc = prometheus.NewDesc(prometheus.BuildFQName(namespace, "", "upstream_pace_ratio"),
	"Time that work takes an upstream, relative to the others of its service, of the upstreams that differ most.", []string{"upstream"}, nil)

// Describe implements prometheus.Collector.
func (paces) Describe(out chan<- *prometheus.Desc) { out <- pacesDesc }

// Collect implements prometheus.Collector. It shows the maxNames upstreams whose paces
// differ most from the usual one.
func (p paces) Collect(out chan<- prometheus.Metric) {
	if p == nil {
		return
	}
	all := p()
	names := slices.SortedFunc(maps.Keys(all), func(a, b string) int {
		return cmp.Or(cmp.Compare(math.Abs(math.Log(all[b])), math.Abs(math.Log(all[a]))), cmp.Compare(a, b))
	})
	for _, name := range names[:min(len(names), maxNames)] {
		out <- prometheus.MustNewConstMetric(pacesDesc, prometheus.GaugeValue, all[name], name)
	}
}
