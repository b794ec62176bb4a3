package lease

import "time"

// Token is proof that a lease was held when Held returned it. It must be
// checked with Valid again right before each operation under the lease.
type Token struct {
	Fencing       uint64    // fencing token: the offset of the granted claim in the log
	Since         time.Time // when this daemon read the first claim of its tenure
	CleanHandover bool      // before this tenure the lease was never granted, or released with nothing in progress

	sentAt   time.Time
	validFor time.Duration
}

// Valid reports whether the lease has not expired. While it is valid, no other
// daemon can hold the lease.
func (t Token) Valid(now time.Time) bool { return elapsed(t.sentAt, now) < t.validFor }
