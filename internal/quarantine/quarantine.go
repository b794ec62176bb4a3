// Package quarantine finds parts of prompts, and whole requests that come again, that
// crash upstreams, and holds such requests back.
//
// The evidence against a part, which may be a whole request, is a set of upstreams: those that ended before a
// response to a request with the part began. A response to such a request that begins
// disproves the evidence that is known then. Daemons merge each other's evidence, in
// any order and repeatedly, and come to the same verdict without a clock in common.
//
// The package does no I/O. Callers pass the time, always from freshness.Time.
package quarantine

import (
	"fmt"
	"time"

	"currantpulley/internal/rendezvous"
)

const (
	// quarantineCrashes is the number of crashes from which a part is quarantined, unless
	// another part explains them.
	quarantineCrashes = 3
	// suspectCrashes is the same from which requests with the part are not repeated
	// after they may have run.
	suspectCrashes = 2
	// crashSpan is the time within which upstreams that end under requests that were
	// all sent before count as one crash: they probably have a cause in common. Under
	// the same whole request each counts, as that is seldom at several upstreams at once.
	crashSpan = 100 * time.Millisecond
	// trialWait is the time since the last crash after which one request with a
	// quarantined part is let through. It grows by trialGrowth with each crash beyond
	// quarantineCrashes, up to trialWaitMax.
	trialWait    = 20 * time.Second
	trialGrowth  = 4
	trialWaitMax = 15 * time.Minute
	// trialSlot is the time in which one daemon may let a request through. It is longer
	// than an engine takes to begin a response.
	trialSlot = 15 * time.Second
	// idleMax is the time without a crash or a request with the part after which the
	// evidence is dropped.
	idleMax = 10 * time.Minute
	// sharedIdleMax is the same after which daemons cease to tell each other, so that it
	// expires at all of them.
	sharedIdleMax = idleMax / 2
	// maxParts and maxCrashes bound the memory: callers choose the parts.
	maxParts   = 1024
	maxCrashes = 16 // per part
	// sharedCrashes is the number of crashes that Share passes on per part.
	sharedCrashes = 6
)

// Part identifies a part of the prompts of a service, or a whole request.
type Part uint64

const (
	// wholeRequest is set in each Part that is a whole request, so that no id of a
	// prompt's part can be chosen to be equal to it.
	wholeRequest Part = 1 << 63
	// wholeDepth is added to the depth of a whole request: it determines all parts.
	wholeDepth = 1 << 10
)

// PartOf returns the part with the given id of a service's prompts.
func PartOf(service, id string) Part {
	return Part(rendezvous.Hash(service+"\x00"+id)) &^ wholeRequest
}

// RequestOf returns the Part that stands for whole requests with the given
// cryptographic hash.
func RequestOf(hash uint64) Part { return Part(hash) | wholeRequest }

// isWhole reports whether p is a whole request.
func (p Part) isWhole() bool { return p&wholeRequest != 0 }

// String returns p for the log.
func (p Part) String() string {
	if p.isWhole() {
		return fmt.Sprintf("request %016x", uint64(p))
	}
	return fmt.Sprintf("part %016x", uint64(p))
}

// Verdict is the conclusion about a part.
type Verdict uint8

// Verdicts, in ascending order.
const (
	Sound       Verdict = iota
	Suspected           // requests with the part are not repeated
	Quarantined         // requests with the part are held back
)

// String returns the verdict's name for the log.
func (v Verdict) String() string {
	switch v {
	case Sound:
		return "sound"
	case Suspected:
		return "suspected"
	case Quarantined:
		return "quarantined"
	}
	return "unknown"
}

// Crash is the evidence of one upstream against a part.
type Crash struct {
	Upstream  uint32        // short id of the upstream's key, which stands for one run of its process
	Age       time.Duration // since it ended
	Waited    time.Duration // from the send of the request until then
	Disproved bool          // a response to a request with the part began later
}

// Suspect is the evidence against one part, as daemons send it to each other.
type Suspect struct {
	Part    Part
	Depth   int // greatest number of parts before it in a prompt; see wholeDepth
	Crashes []Crash
	Idle    time.Duration // since the latest crash or request with the part
}

// Older returns a copy of s as it is when d more has passed.
func (s Suspect) Older(d time.Duration) Suspect {
	crashes := make([]Crash, len(s.Crashes))
	for i, c := range s.Crashes {
		c.Age += d
		crashes[i] = c
	}
	s.Crashes, s.Idle = crashes, s.Idle+d
	return s
}

// Hold is the reason why a request is not sent.
type Hold struct {
	Part       Part
	Verdict    Verdict
	Crashes    int           // that were not disproved; several upstreams that ended at once are one
	RetryAfter time.Duration // until a request with the part is let through
}
