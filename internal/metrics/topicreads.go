package metrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// TopicReads counts reads of a provider's topics, and the ages of the proofs that they
// gave, by source.
type TopicReads struct{ proofAges *prometheus.HistogramVec }

// NewTopicReads returns the histogram of reads of topics, registered in r.
func NewTopicReads(r prometheus.Registerer) *TopicReads {
	return &TopicReads{promauto.With(r).NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: "topic_read_proof_age_seconds",
		Help:    "Age of the proof that a topic's records are the newest at the end of a read, by source: the provider itself, or the feed of another daemon.",
		Buckets: []float64{0.05, 0.1, 0.25, 0.5, 1, 1.5, 2, 3, 5},
	}, []string{"topic", "source"})}
}

// Observe notes a read of a topic from a source and the age of the proof it gave.
func (t *TopicReads) Observe(topic, source string, proofAge time.Duration) {
	t.proofAges.WithLabelValues(topic, source).Observe(proofAge.Seconds())
}
