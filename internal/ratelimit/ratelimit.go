// Package ratelimit keeps the requests that all daemons together send to an upstream
// within the limit that the upstream states, without a call per request.
//
// Daemons tell each other the newest statement of each upstream. Where the limit allows
// it, each daemon has a share of it that it may use at any time. Where a share is less
// than one request in the time in which requests are counted, daemons take turns: time
// is divided into slots of one request, and each slot belongs to one daemon.
//
// The package does no I/O. Callers pass the time, always from freshness.Time.
package ratelimit

import (
	"math"
	"time"
)

const (
	// minRate is the rate up to which a lower limit is exceeded, a request in ten
	// seconds: only an answer can tell that the limit was raised.
	minRate Rate = 100
	// slackRequests and slackShare bound how many requests may come at once beyond the
	// limit: so many, and such a share of what the limit allows in slackSpan.
	slackRequests = 2.5
	slackShare    = 0.25
	slackSpan     = 4.0 // seconds
	// announceDrop is the share of the known limit below which a lower one is announced,
	// at most once in announceMin. Other changes reach daemons with Share.
	announceDrop = 0.9
	announceMin  = 500 * time.Millisecond
	// withdrawnShared is the time for which daemons tell each other that a limit was
	// withdrawn.
	withdrawnShared = time.Minute
	// goneMax is the time for which an upstream must be missing until its limit is
	// dropped. Entries that lapse in an outage of the registry are back sooner.
	goneMax = 30 * time.Second
	// maxUpstreams bounds the memory. It is larger than the number of upstreams.
	maxUpstreams = 4096
)

// Statement is what an upstream has said about its limit, as daemons pass it on.
type Statement struct {
	Upstream uint32 // short id of the upstream's key
	Version  uint64 // grows with each change that a daemon observes; of the same version the lower limit holds
	Limited  bool   // false: it no longer states a limit
	Rate     Rate   // from all daemons together
}

// replaces reports whether s is to be believed rather than o.
func (s Statement) replaces(o Statement) bool {
	switch {
	case s.Version != o.Version:
		return s.Version > o.Version
	case s.Limited != o.Limited:
		return s.Limited
	}
	return s.Rate < o.Rate
}

// Rate is a number of requests in 1,000 seconds. All daemons must know exactly the same
// rate to number slots alike.
type Rate uint32

// maxRate is the highest rate in requests a second; a higher limit is none in practice.
const maxRate = 1e6

// NewRate returns the rate nearest to a number of requests a second.
func NewRate(perSecond float64) Rate { return Rate(math.Round(min(maxRate, perSecond) * 1000)) }

// PerSecond returns the rate in requests a second.
func (r Rate) PerSecond() float64 { return float64(r) / 1000 }

// allowance is how a daemon may use its part of a limit.
type allowance struct {
	rate  float64 // requests a second of this daemon
	burst float64 // requests that may come at once; 0: the daemon takes turns
}

// allow returns the allowance of a daemon that has the given part, from 0 to 1, of a
// limit. Parts of all daemons are used at once at worst: then their bursts come on top
// of the limit. So each has a share of the slack for its burst, which must be at least
// one request.
func allow(limit Rate, part float64) allowance {
	burst := part * (slackRequests + slackShare*slackSpan*limit.PerSecond())
	if burst < 1 {
		return allowance{}
	}
	return allowance{rate: part * limit.PerSecond(), burst: burst}
}

// slotLength returns the time of one request at a rate.
func slotLength(r Rate) time.Duration { return 1000 * time.Second / time.Duration(r) }

// slotOf returns the number of the slot of time that at lies in.
func slotOf(at time.Time, r Rate) int64 { return at.UnixNano() / int64(slotLength(r)) }
