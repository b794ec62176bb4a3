package metrics

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// Results of calls to other daemons.
const (
	callOK     = "ok"
	callFailed = "failed"
)

// PeerCalls counts calls sent to other daemons.
type PeerCalls struct{ calls *prometheus.CounterVec }

// NewPeerCalls returns the counter of calls sent to other daemons, registered in
// r.
func NewPeerCalls(r prometheus.Registerer) *PeerCalls {
	return &PeerCalls{promauto.With(r).NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "peer_calls_total", Help: "Calls sent to other daemons by service and method, and result."}, []string{"call", "result"})}
}

// CountCall counts a call that ended with err. call is the name of its service and
// method.
func (c *PeerCalls) CountCall(call string, err error) {
	result := callOK
	if err != nil {
		result = callFailed
	}
	c.calls.WithLabelValues(call, result).Inc()
}
