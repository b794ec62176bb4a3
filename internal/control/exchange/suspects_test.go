package exchange

import (
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"currantpulley/internal/control/exchange/exchangepb"
	"currantpulley/internal/quarantine"
)

var testSuspect = quarantine.Suspect{
	Part: 1 << 40, Depth: 2, Idle: time.Second,
	Crashes: []quarantine.Crash{{Upstream: 3, Age: 2 * time.Second, Waited: 50 * time.Millisecond}, {Upstream: 4, Age: time.Second, Disproved: true}},
}

// Evidence against a part must reach all daemons, and a later notice about an upstream
// must not replace it.
func TestEvidenceReachesAllDaemons(t *testing.T) {
	members := startFleet(t, 48)
	members[0].Announce(t.Context(), Notice{Suspect: &testSuspect})
	members[0].Announce(t.Context(), Notice{Upstream: 7, Closed: true, TTL: time.Second})
	waitUntil(t, "all daemons know the evidence", func() bool {
		for _, m := range members[1:] {
			if !m.knows(7) || !m.knowsPart(testSuspect.Part) {
				return false
			}
		}
		return true
	})
}

// knowsPart reports whether the daemon received evidence against a part.
func (m *member) knowsPart(p quarantine.Part) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, n := range m.received {
		if n.Suspect != nil && n.Suspect.Part == p {
			return true
		}
	}
	return false
}

// A daemon that missed the notices must learn of a quarantined part from the states,
// of which only some carry one.
func TestStatesCarryQuarantinedParts(t *testing.T) {
	var applied []Use
	var received []Notice
	from, to := testExchange(&applied, &received), testExchange(&applied, &received)
	from.opts.Self = "from"
	from.opts.Suspect = func() (quarantine.Suspect, bool) { return testSuspect, true }
	for range 2 * suspectPeriod {
		to.applyState(from.state(time.Now()))
	}
	if len(received) != 2 || !reflect.DeepEqual(*received[0].Suspect, testSuspect) {
		t.Errorf("received %+v from %d states", received, 2*suspectPeriod)
	}
}

// BenchmarkSuspect measures what one quarantined part adds to the states per second
// that a daemon sends, and the size of a notice with new evidence.
func BenchmarkSuspect(b *testing.B) {
	s := quarantine.Suspect{Part: 1 << 60, Depth: 1}
	for n := range 6 {
		s.Crashes = append(s.Crashes, quarantine.Crash{Upstream: uint32(n) << 24, Age: time.Minute, Waited: 100 * time.Millisecond})
	}
	size := 0
	for b.Loop() {
		size = proto.Size(&exchangepb.State{Suspects: []*exchangepb.Suspect{encodeSuspect(s)}})
	}
	first := quarantine.Suspect{Part: s.Part, Depth: 1, Crashes: s.Crashes[:1]}
	notice := announced{Notice: Notice{Suspect: &first}, number: 1, at: time.Now()}
	b.ReportMetric(float64(proto.Size(notice.message(time.Now()))), "B/notice")
	b.ReportMetric(float64(size), "B/part")
	b.ReportMetric(float64(size)*440/period(440).Seconds()/suspectPeriod, "B/s-at-440")
}
