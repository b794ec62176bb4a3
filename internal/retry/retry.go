// Package retry bounds extra attempts with a budget to which ordinary requests
// contribute, like Finagle's retry budget. While every upstream fails, the load
// on them grows by no more than the configured share.
package retry

import (
	"sync"
	"time"
)

// Bounds of a budget's balance.
const (
	balanceMax     = 50.0 // attempts that may accumulate
	grantPerSecond = 0.5  // attempts granted without traffic, up to a balance of one
)

// Budget holds the extra attempts that may be made. It is safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	clock   func() time.Time
	balance float64 // attempts
	at      time.Time
}

// NewBudget returns a budget that holds one attempt.
func NewBudget(clock func() time.Time) *Budget {
	return &Budget{clock: clock, balance: 1, at: clock()}
}

// Deposit adds share attempts. It must be called once for every request, and may give
// back an attempt that was allowed and not made.
func (b *Budget) Deposit(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(balanceMax, b.balance+share)
}

// Allow takes one attempt from the budget, and reports whether it held one.
func (b *Budget) Allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock()
	if b.balance < 1 {
		b.balance = min(1, b.balance+now.Sub(b.at).Seconds()*grantPerSecond)
	}
	b.at = now
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
