// Package limits enforces rate limits of workspaces that apply to all daemons
// together, without a call per request. Every daemon counts the requests and
// tokens it was asked for, publishes the counts as Use, receives the sums of all
// daemons as Total and admits its share of each limit through token buckets.
//
// Error bound. Let L be a limit per second, n the number of live daemons, and
// s_i(r) the share of daemon i after round r of the exchange. The shares of one
// round add up to at most 1, and so do the even shares of 1/n that apply while
// no total is known. Over any time T in which all daemons have the totals of the
// same round, all daemons together admit at most
//
//	L*T + L*Burst + n
//
// requests, since every bucket holds Burst of its share and at least one request.
// While some daemons still have the previous round, the rate is at most
// L * sum over i of max(s_i(r-1), s_i(r)). Tokens are bounded in the same way,
// with the longer tokenBurst. A request of more tokens than a bucket holds is
// admitted when the bucket is full, and the excess is owed.
package limits

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"currantpulley/internal/config"
)

const (
	// Burst is the time for which unused share of a request limit accumulates,
	// and so the size of a bucket.
	Burst = time.Second
	// tokenBurst is the same for tokens. It is longer since one prompt may take
	// the tokens of many seconds.
	tokenBurst = 10 * time.Second
	// staleAfter is the age of a total after which a daemon falls back to an
	// even share.
	staleAfter = 10 * time.Second
	// evenShare is the part of a limit that is split evenly over the daemons, so
	// that a daemon that had no demand so far can admit requests.
	evenShare = 0.1
	// averagingTime is the time constant with which the exchange averages totals.
	// A daemon's own demand is averaged with the same one.
	averagingTime = 5 * time.Second
	// idleAfter is the time without requests after which a workspace's account
	// is removed.
	idleAfter        = time.Minute
	secondsPerMinute = 60
)

// Use is the demand of a workspace at one daemon since the previous Use, including
// what was refused.
type Use struct {
	Workspace string
	Requests  float64
	Tokens    float64
}

// Total is the demand of a workspace at all daemons, averaged over some seconds.
type Total struct {
	Workspace string
	Requests  float64 // per second
	Tokens    float64 // per second
}

// Ledger holds one daemon's accounts of all workspaces. It is not safe for
// concurrent use.
type Ledger struct{ accounts map[string]*account }

// account is the state of one workspace.
type account struct {
	requests   *rate.Limiter
	tokens     *rate.Limiter
	credit     float64 // tokens taken but not used; negative: owed
	demand     Use     // since the last Usage
	average    Total   // average demand at this daemon
	averagedAt time.Time
	total      Total
	totalAt    time.Time // zero: none yet
	usedAt     time.Time
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{accounts: make(map[string]*account)} }

// Take charges one request of the given tokens to w, whose limits are shared by
// live daemons. When a bucket holds too little, it returns false with the time
// until it holds enough.
func (l *Ledger) Take(w *config.Workspace, tokens float64, live int, now time.Time) (bool, time.Duration) {
	a := l.account(w.Name, now)
	a.demand.Requests++
	a.demand.Tokens += tokens
	requestShare, tokenShare := a.shares(live, now)
	a.setRates(w, requestShare, tokenShare, now)
	if wait := takeRequest(a.requests, now); wait > 0 {
		return false, wait
	}
	return a.takeTokens(tokens, now)
}

// Settle returns tokens that a request was charged and did not use. A negative
// unused charges tokens that it used in addition.
func (l *Ledger) Settle(workspace string, unused float64) {
	if a, ok := l.accounts[workspace]; ok {
		a.credit += unused
	}
}

// Usage returns the demand since the last call of the workspaces that had any,
// and removes the accounts of idle ones.
func (l *Ledger) Usage(now time.Time) []Use {
	var uses []Use
	for name, a := range l.accounts {
		if now.Sub(a.usedAt) > idleAfter {
			delete(l.accounts, name)
			continue
		}
		a.updateAverage(now)
		if a.demand.Requests > 0 {
			uses = append(uses, Use{name, a.demand.Requests, a.demand.Tokens})
		}
		a.demand = Use{}
	}
	return uses
}

// Apply records the totals over all daemons, this one included. A workspace
// without one keeps its last total until it is stale.
func (l *Ledger) Apply(totals []Total, now time.Time) {
	for _, t := range totals {
		if a, ok := l.accounts[t.Workspace]; ok {
			a.total, a.totalAt = t, now
		}
	}
}

// Len returns the number of accounts.
func (l *Ledger) Len() int { return len(l.accounts) }

// account returns the account of a workspace and adds it when there is none.
func (l *Ledger) account(name string, now time.Time) *account {
	a, ok := l.accounts[name]
	if !ok {
		a = &account{averagedAt: now}
		l.accounts[name] = a
	}
	a.usedAt = now
	return a
}

// updateAverage adds the demand since the last call to the daemon's average.
func (a *account) updateAverage(now time.Time) {
	dt := now.Sub(a.averagedAt).Seconds()
	if dt <= 0 {
		return
	}
	decay := math.Exp(-dt / averagingTime.Seconds())
	a.average.Requests = decay*a.average.Requests + (1-decay)*a.demand.Requests/dt
	a.average.Tokens = decay*a.average.Tokens + (1-decay)*a.demand.Tokens/dt
	a.averagedAt = now
}

// shares returns this daemon's shares of the request limit and the token limit.
func (a *account) shares(live int, now time.Time) (requests, tokens float64) {
	n := float64(max(1, live))
	if a.totalAt.IsZero() || now.Sub(a.totalAt) > staleAfter {
		return 1 / n, 1 / n
	}
	return shareOf(a.average.Requests, a.total.Requests, n), shareOf(a.average.Tokens, a.total.Tokens, n)
}

// shareOf returns the share of a daemon with the demand own out of total, among n
// daemons.
func shareOf(own, total, n float64) float64 {
	if total <= 0 {
		return 1 / n
	}
	return (1-evenShare)*min(1, own/total) + evenShare/n
}

// setRates sets the rates of the buckets to the shares of the limits of w. A
// limit that is not set has no bucket.
func (a *account) setRates(w *config.Workspace, requestShare, tokenShare float64, now time.Time) {
	a.requests = bucket(a.requests, w.RequestsPerSecond*requestShare, Burst, now)
	a.tokens = bucket(a.tokens, w.TokensPerMinute/secondsPerMinute*tokenShare, tokenBurst, now)
}

// bucket returns b, or a new bucket, with the given rate and a size of burst at
// that rate. It returns nil when there is no limit.
func bucket(b *rate.Limiter, perSecond float64, burst time.Duration, now time.Time) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	size := max(1, int(perSecond*burst.Seconds()))
	if b == nil {
		return rate.NewLimiter(rate.Limit(perSecond), size)
	}
	if b.Limit() != rate.Limit(perSecond) {
		b.SetLimitAt(now, rate.Limit(perSecond))
		b.SetBurstAt(now, size)
	}
	return b
}

// takeRequest takes one request from b and returns 0, or takes nothing and returns
// the time until it could. A nil bucket has no limit.
func takeRequest(b *rate.Limiter, now time.Time) time.Duration {
	if b == nil {
		return 0
	}
	return reserve(b, 1, now)
}

// takeTokens takes tokens, or nothing, and then returns false with the time until
// it could. It uses the credit first and adds tokens beyond the size of the bucket
// to the debt.
func (a *account) takeTokens(tokens float64, now time.Time) (bool, time.Duration) {
	if a.tokens == nil {
		return true, 0
	}
	need := tokens - a.credit
	take := min(max(0, need), float64(a.tokens.Burst()))
	if wait := reserve(a.tokens, int(take), now); wait > 0 {
		return false, wait
	}
	a.credit = take - need
	return true, 0
}

// reserve takes n from b and returns 0, or takes nothing and returns the time
// until it could.
func reserve(b *rate.Limiter, n int, now time.Time) time.Duration {
	r := b.ReserveN(now, n)
	wait := r.DelayFrom(now)
	if wait > 0 {
		r.CancelAt(now)
	}
	return wait
}
