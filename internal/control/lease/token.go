package lease

import "time"

// Token is a lease that was held when the token was taken. It is checked
// again right before each act under the lease.
type Token struct {
	Fencing uint64    // offset of the granted claim in the log
	Since   time.Time // when this daemon read the first claim of its tenure
	Clean   bool      // the lease was free, or given back with nothing under way

	sentAt   time.Time
	validFor time.Duration
}

// Valid reports whether the lease still runs: no other daemon can hold it
// before it lapses.
func (t Token) Valid(now time.Time) bool { return elapsed(t.sentAt, now) < t.validFor }
