package exchange

import (
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"currantpulley/internal/control/exchange/exchangepb"
	"currantpulley/internal/ratelimit"
)

// A limit must reach other daemons with notices and states, beside a
// notice that closes the same upstream.
func TestLimitsAreCarried(t *testing.T) {
	limit := ratelimit.Statement{Upstream: 7, Limited: true, Rate: 2500, Version: 3}
	var applied []Use
	var received []Notice
	from, to := testExchange(&applied, &received), testExchange(&applied, &received)
	from.opts.Self = "from"
	from.opts.Limit = func() (ratelimit.Statement, bool) { return limit, true }
	now := time.Now()
	from.notices.add(Notice{Upstream: 7, Closed: true, TTL: 3 * time.Second}, now)
	from.notices.add(Notice{Limit: &limit}, now)
	to.applyState(from.state(now.Add(100 * time.Millisecond)))
	var limits []ratelimit.Statement
	for _, n := range received {
		if n.Limit != nil {
			limits = append(limits, *n.Limit)
		}
	}
	if want := []ratelimit.Statement{limit, limit}; len(received) != 3 || !reflect.DeepEqual(limits, want) {
		t.Errorf("received %d notices with limits %+v, want 3 with %+v", len(received), limits, want)
	}
}

// BenchmarkLimit measures what the limits of upstreams add to the states per second that
// a daemon sends.
func BenchmarkLimit(b *testing.B) {
	size := 0
	for b.Loop() {
		l := encodeLimit(ratelimit.Statement{Upstream: 1 << 30, Limited: true, Rate: 2500, Version: 30})
		size = proto.Size(&exchangepb.State{Limits: []*exchangepb.Limit{l}})
	}
	b.ReportMetric(float64(size), "B/state")
	b.ReportMetric(float64(size)*440/period(440).Seconds(), "B/s-at-440")
}
