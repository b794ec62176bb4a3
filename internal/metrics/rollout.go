package metrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// orderBuckets are the histogram buckets of the stages of orders, in seconds.
var orderBuckets = []float64{.01, .03, .1, .25, .5, 1, 2, 5}

// OrderStages measures the stages of the orders that this daemon gives to engines.
type OrderStages struct{ durations *prometheus.HistogramVec }

// NewOrderStages returns the histogram of the stages of orders, registered in r.
func NewOrderStages(r prometheus.Registerer) *OrderStages {
	return &OrderStages{promauto.With(r).NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: "order_stage_duration_seconds",
		Help: "Time to read an engine's state, to drain it, to send it an order, and until it served the weights.", Buckets: orderBuckets,
	}, []string{"stage"})}
}

// Observe observes the duration d of a stage.
func (s *OrderStages) Observe(stage string, d time.Duration) {
	s.durations.WithLabelValues(stage).Observe(d.Seconds())
}
