package metrics

import (
	"errors"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
)

// filledMetrics returns a registry with all metrics of a daemon, each used once.
func filledMetrics() *Metrics {
	m := New()
	m.RequestStarted()
	m.RequestEnded("served", "short")
	m.FirstToken(time.Second, "short")
	m.Attempt("ok", 1, 1, 1)
	g := NewGateway(m.registry)
	g.RequestStarted()
	g.RequestEnded("r", "refused", "overloaded")
	g.ObserveStage("r", StageFirst, time.Second)
	g.Attempt("served")
	g.Tokens(SourceHeld, 1)
	NewStoreCalls(m.registry).CountCall("read", "ok")
	NewPeerCalls(m.registry).CountCall("Exchange/Tell", errors.New("timeout"))
	NewTopicReads(m.registry).Observe("upstreams", "feed", time.Second)
	NewOrderStages(m.registry).Observe("drain", time.Second)
	one := func() float64 { return 1 }
	budget := func() map[string]float64 { return map[string]float64{"s": 1} }
	paces := func() map[string]float64 { return map[string]float64{"u": 2} }
	State{one, one, one, one, one, budget, one, one, one, one, one, one, one, one, one, one, one, paces, one, one}.Register(m.registry)
	return m
}

// Names, units and help texts must follow the conventions of Prometheus.
func TestMetricsFollowTheConventions(t *testing.T) {
	problems, err := testutil.GatherAndLint(filledMetrics().registry)
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range problems {
		t.Errorf("%s: %s", p.Metric, p.Text)
	}
}

func TestHandlerServesMetrics(t *testing.T) {
	w := httptest.NewRecorder()
	filledMetrics().Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	for _, want := range []string{
		`currantpulley_gateway_requests_total{outcome="refused",reason="overloaded",route="r"} 1`,
		`currantpulley_gateway_stage_duration_seconds_count{route="r",stage="first"} 1`,
		`currantpulley_store_calls_total{call="read",result="ok"} 1`,
		`currantpulley_peer_calls_total{call="Exchange/Tell",result="failed"} 1`,
		`currantpulley_topic_read_proof_age_seconds_count{source="feed",topic="upstreams"} 1`,
		`currantpulley_order_stage_duration_seconds_bucket{stage="drain",le="0.5"} 0`,
		`currantpulley_order_stage_duration_seconds_bucket{stage="drain",le="1"} 1`,
		`currantpulley_upstreams_behind 1`,
		`currantpulley_weights_oldest_behind_seconds 1`,
		`currantpulley_retry_budget_attempts{service="s"} 1`,
		`currantpulley_upstream_pace_ratio{upstream="u"} 2`,
		`process_cpu_seconds_total `,
	} {
		if !strings.Contains(w.Body.String(), want) {
			t.Errorf("%s is missing", want)
		}
	}
}

// The number of time series must stay bounded however many services there are.
func TestRetryBudgetsAreBounded(t *testing.T) {
	left := make(map[string]float64)
	for i := range 10 * maxNames {
		left[fmt.Sprint("service-", i)] = 1
	}
	if n := testutil.CollectAndCount(retryBudget(func() map[string]float64 { return left })); n != maxNames {
		t.Errorf("got %d time series", n)
	}
}

// The number of time series must stay bounded however many routes a
// configuration has.
func TestRoutesAreBounded(t *testing.T) {
	r := prometheus.NewRegistry()
	g := NewGateway(r)
	for i := range 10 * maxNames {
		g.RequestStarted()
		g.RequestEnded(fmt.Sprint("route-", i), "served", "")
	}
	if n := testutil.CollectAndCount(g.requests); n != maxNames+1 {
		t.Errorf("got %d time series", n)
	}
}

// The metrics must show how long goroutines wait for a processor.
func TestWaitsForAProcessorAreShown(t *testing.T) {
	n, err := testutil.GatherAndCount(NewRegistry(), "go_sched_latencies_seconds")
	if err != nil || n != 1 {
		t.Errorf("%d metrics, %v", n, err)
	}
}
