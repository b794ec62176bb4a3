// Package load estimates an upstream's current load from delayed reports and
// from the requests that this daemon sent there.
//
// A report is some hundred milliseconds old, which says little about the current
// length of a queue that empties in that time. So reports are only used for the
// average load from the other daemons: the average reported load minus this
// daemon's own average. The current load is that average plus the daemon's own
// requests in flight, which are known exactly and without delay.
package load

import (
	"math"
	"time"

	"currantpulley/internal/snapshot"
)

// averagingTime is the time constant of the load averages.
const averagingTime = 1500 * time.Millisecond

// average is an exponential moving average over time of a value that changes in
// steps.
type average struct {
	value   float64 // since at
	mean    float64 // up to at
	at      time.Time
	started bool
}

// set sets the value that holds from now on.
func (a *average) set(value float64, now time.Time) {
	a.mean = a.valueAt(now)
	if !a.started {
		a.mean, a.started = value, true
	}
	a.value, a.at = value, now
}

// valueAt returns the average up to now; 0 before the first set.
func (a *average) valueAt(now time.Time) float64 {
	if !a.started {
		return 0
	}
	decay := math.Exp(-max(0, now.Sub(a.at).Seconds()) / averagingTime.Seconds())
	return a.value + decay*(a.mean-a.value)
}

// levels averages a load: requests in flight and tokens that wait for prefill.
type levels struct{ requests, tokens average }

func (l *levels) set(requests, tokens float64, now time.Time) {
	l.requests.set(requests, now)
	l.tokens.set(tokens, now)
}

// Estimate is the estimated load of one upstream. The zero value is ready for
// use and has no load.
type Estimate struct {
	inFlight int     // requests of this daemon
	pending  float64 // tokens of this daemon that were sent and not yet prefilled
	own      levels
	reported levels
}

// Sent counts a request of this daemon with tokens to prefill.
func (e *Estimate) Sent(tokens float64, now time.Time) {
	e.inFlight++
	e.pending += tokens
	e.updateOwn(now)
}

// Prefilled subtracts tokens that Sent counted.
func (e *Estimate) Prefilled(tokens float64, now time.Time) {
	e.pending = max(0, e.pending-tokens)
	e.updateOwn(now)
}

// Ended subtracts a request that Sent counted.
func (e *Estimate) Ended(now time.Time) {
	e.inFlight = max(0, e.inFlight-1)
	e.updateOwn(now)
}

func (e *Estimate) updateOwn(now time.Time) { e.own.set(float64(e.inFlight), e.pending, now) }

// Reported records a load that a report or an answer carried.
func (e *Estimate) Reported(l snapshot.Load, now time.Time) {
	e.reported.set(float64(l.Running+l.Queued), float64(l.QueuedTokens), now)
}

// InFlight returns the estimated requests of all daemons at the upstream. The
// average load of the other daemons is multiplied by growth; see Growth.
func (e *Estimate) InFlight(growth float64, now time.Time) float64 {
	return float64(e.inFlight) + growth*others(&e.reported.requests, &e.own.requests, now)
}

// Tokens returns the estimated tokens of all daemons that wait for prefill at
// the upstream. The average load of the other daemons is multiplied by growth.
func (e *Estimate) Tokens(growth float64, now time.Time) float64 {
	return e.pending + growth*others(&e.reported.tokens, &e.own.tokens, now)
}

// Growth measures how a daemon's own requests in flight compare with their
// average. Callers spread their demand evenly over the daemons, so the load of
// the others, of which only an average is known, is expected to change by the
// same factor.
type Growth struct {
	inFlight float64
	average  average
}

const (
	growthPrior = 4.0 // requests added to both sides of the ratio, so that small counts change it little
	growthMax   = 4.0
)

// Add changes the daemon's requests in flight by n.
func (g *Growth) Add(n float64, now time.Time) {
	g.inFlight = max(0, g.inFlight+n)
	g.average.set(g.inFlight, now)
}

// Factor returns the requests in flight divided by their average, between 1 and
// growthMax.
func (g *Growth) Factor(now time.Time) float64 {
	f := (g.inFlight + growthPrior) / (g.average.valueAt(now) + growthPrior)
	return min(growthMax, max(1, f))
}

// Own returns this daemon's requests at the upstream.
func (e *Estimate) Own() int { return e.inFlight }

// others returns the average load from the other daemons: reported minus own.
func others(reported, own *average, now time.Time) float64 {
	return max(0, reported.valueAt(now)-own.valueAt(now))
}
