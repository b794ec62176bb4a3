package ratelimit

import (
	"testing"
	"time"
)

const upstream = 7

var start = time.Unix(1_000_000, 0)

// at returns the time after the given number of seconds.
func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func rate(r float64) *float64 { return &r }

// Answers overtake each other, and so do the statements of daemons: a limit must be
// raised or withdrawn only by what the upstream said later.
func TestNewestStatementWins(t *testing.T) {
	type answer struct {
		rate       *float64
		sent, came float64
		version    uint64 // of another daemon's statement; 0: the answer to a request of this daemon
	}
	for name, tc := range map[string]struct {
		answers []answer
		want    *float64
	}{
		"none known":                            {[]answer{{sent: 0, came: 1}}, nil},
		"stated":                                {[]answer{{rate: rate(2), sent: 0, came: 1}}, rate(2)},
		"lowered":                               {[]answer{{rate: rate(2), sent: 0, came: 1}, {rate: rate(1), sent: 0.5, came: 1.5}}, rate(1)},
		"raised":                                {[]answer{{rate: rate(2), sent: 0, came: 1}, {rate: rate(3), sent: 2, came: 3}}, rate(3)},
		"withdrawn":                             {[]answer{{rate: rate(2), sent: 0, came: 1}, {sent: 2, came: 3}}, nil},
		"answer of before, without a limit":     {[]answer{{rate: rate(2), sent: 0, came: 1}, {sent: 0.5, came: 3}}, rate(2)},
		"answer of before, with a higher limit": {[]answer{{rate: rate(2), sent: 0, came: 1}, {rate: rate(3), sent: 0.5, came: 3}}, rate(2)},
		"told by a daemon":                      {[]answer{{rate: rate(2), came: 1, version: 1}}, rate(2)},
		"an older one told later":               {[]answer{{rate: rate(5), came: 1, version: 6}, {rate: rate(2), sent: 2, came: 3}, {rate: rate(5), came: 4, version: 6}}, rate(2)},
		"a newer one told":                      {[]answer{{rate: rate(2), sent: 0, came: 1}, {rate: rate(5), came: 2, version: 2}}, rate(5)},
		"another one told of the same version":  {[]answer{{rate: rate(2), sent: 0, came: 1}, {rate: rate(5), came: 2, version: 1}}, rate(2)},
		"a lower one told of the same version":  {[]answer{{rate: rate(2), sent: 0, came: 1}, {rate: rate(1), came: 2, version: 1}}, rate(1)},
		"withdrawn, as told":                    {[]answer{{rate: rate(2), sent: 0, came: 1}, {came: 2, version: 2}}, nil},
		"withdrawn, as told in an old version":  {[]answer{{rate: rate(2), came: 1, version: 3}, {came: 2, version: 3}}, rate(2)},
		"stated again":                          {[]answer{{rate: rate(2), sent: 0, came: 1}, {sent: 2, came: 3}, {rate: rate(4), sent: 4, came: 5}}, rate(4)},
	} {
		t.Run(name, func(t *testing.T) {
			table := New(Options{})
			for _, a := range tc.answers {
				switch {
				case a.version == 0:
					table.Observe(upstream, a.rate, at(a.sent), at(a.came))
				case a.rate == nil:
					table.Merge(Statement{Upstream: upstream, Version: a.version}, at(a.came))
				default:
					table.Merge(Statement{Upstream: upstream, Version: a.version, Limited: true, Rate: NewRate(*a.rate)}, at(a.came))
				}
			}
			l := table.known(upstream)
			if l.Limited != (tc.want != nil) || (l.Limited && l.Rate.PerSecond() != *tc.want) || (table.Limited() == 1) != l.Limited {
				t.Errorf("known: %+v, want %v; %d upstreams limited", l.Statement, tc.want, table.Limited())
			}
		})
	}
}

// The number of announcements must not grow with the number of answers or daemons.
func TestAnnouncements(t *testing.T) {
	announced := 0
	table := New(Options{Announce: func(Statement) { announced++ }})
	table.Observe(upstream, rate(10), at(0), at(0))
	for n := range 100 { // answers with the same limit, with little and with large changes
		seconds := 1 + float64(n)/100
		table.Observe(upstream, rate(10), at(seconds), at(seconds))
		table.Observe(upstream, rate(9.9), at(seconds), at(seconds))
		table.Observe(upstream, rate(5), at(seconds), at(seconds))
	}
	if announced < 2 || announced > 4 {
		t.Errorf("%d announcements in two seconds, want 2 to 4", announced)
	}
	table.Merge(Statement{Upstream: upstream, Version: 1000, Limited: true, Rate: NewRate(9)}, at(3))
	before := announced
	if table.Observe(upstream, rate(4), at(3.1), at(3.1)); announced != before {
		t.Error("announced right after another daemon did")
	}
	if table.Observe(upstream, nil, at(4), at(4)); announced != before+1 {
		t.Error("the withdrawal was not announced")
	}
}

// A single daemon may use all of a limit, and none beyond it.
func TestSingleDaemon(t *testing.T) {
	table := New(Options{})
	table.Observe(upstream, rate(5), at(0), at(0))
	sent := 0
	for n := range 1000 {
		now := at(float64(n) / 100)
		if !table.Available(upstream, now) {
			continue
		}
		table.Take(upstream, now)
		sent++
	}
	if sent < 45 || sent > 51 {
		t.Errorf("%d requests in 10 s at a limit of 5 a second", sent)
	}
	if !table.Available(upstream+1, at(0)) {
		t.Error("another upstream is limited")
	}
}

// Limits must be dropped with their upstreams, and the memory be bounded.
func TestMemoryIsBounded(t *testing.T) {
	exists := true
	table := New(Options{Known: func(uint32) bool { return exists }})
	for n := range uint32(maxUpstreams + 10) {
		table.Observe(n, rate(1), at(float64(n)), at(float64(n)))
	}
	if len(table.limits) != maxUpstreams || table.Limited() != maxUpstreams {
		t.Errorf("%d limits are kept, %d counted, want %d", len(table.limits), table.Limited(), maxUpstreams)
	}
	exists = false
	for _, seconds := range []float64{5000, 5000 + 2*goneMax.Seconds()} {
		if _, ok := table.Share(at(seconds)); ok {
			t.Error("a limit of an upstream that is gone is shared")
		}
	}
	if len(table.limits) != 0 || table.Limited() != 0 {
		t.Errorf("%d limits are kept of upstreams that are gone", len(table.limits))
	}
}

// An upstream that is missing from the registry for a moment, as after an outage of the
// store, must find its limit kept.
func TestLimitOfAnUpstreamThatComesBack(t *testing.T) {
	exists := true
	table := New(Options{Known: func(uint32) bool { return exists }})
	table.Observe(upstream, rate(1), at(0), at(0))
	for seconds, missing := range []bool{false, true, true, false, true, false} {
		exists = !missing
		if _, ok := table.Share(at(float64(10 * seconds))); ok == missing {
			t.Errorf("after %d s: shared %t", 10*seconds, ok)
		}
	}
	if table.Limited() != 1 {
		t.Error("the limit was dropped")
	}
}

// Each limit must be shared in turn, a withdrawn one for some time.
func TestShareGoesRound(t *testing.T) {
	table := New(Options{})
	for n := range uint32(3) {
		table.Observe(n, rate(float64(n)), at(0), at(0))
	}
	table.Observe(1, nil, at(1), at(1))
	for _, seconds := range []float64{2, 100} {
		shared := make(map[uint32]bool)
		for range 6 {
			s, _ := table.Share(at(seconds))
			shared[s.Upstream] = true
		}
		if shared[1] != (seconds == 2) || !shared[0] || !shared[2] {
			t.Errorf("after %v s limits of %v are shared", seconds, shared)
		}
	}
}
