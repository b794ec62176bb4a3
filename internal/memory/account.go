// Package memory accounts for what a process holds for its callers, so that all of them
// together stay within the memory of the machine.
//
// Each connection has a Holding. It grows before memory is taken. When the account is
// full, holdings are ended that stopped sending, or reading; what is small may then use a
// reserve that large bodies leave free.
package memory

import (
	"maps"
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// Reason is why a holding was ended or refused.
type Reason string

// Reasons.
const (
	Stalled   Reason = "stalled"    // nothing was sent, or read, for a while
	OverShare Reason = "over_share" // it held the most while a small one waited
	Full      Reason = "full"       // nothing became free in time
)

const (
	// stalledAfter is the time without progress after which a caller counts as stopped.
	stalledAfter = 400 * time.Millisecond
	// slowReaderAfter is the same for a caller that doesn't read its answer. It is
	// longer, since the request has run.
	slowReaderAfter = 2 * time.Second
	// scanPause is the time after a search that ended nobody until the next one.
	scanPause = 20 * time.Millisecond
	// releaseTime is how long what an ended holding has is expected to become free. One
	// whose goroutine hangs must not keep others from being ended.
	releaseTime = 200 * time.Millisecond

	reserveShare = 0.3      // of the limit, for small holdings
	smallBytes   = 64 << 10 // largest size of a holding that may use the reserve
)

// State is what the caller of a holding does.
type State int32

// States of holdings.
const (
	Sending State = iota // or idle: no request of it has reached a handler
	Running              // its request was read whole and runs
	Reading              // its answer is being written
)

// Account is the memory that all holdings share. It is safe for concurrent use.
type Account struct {
	limit int64

	mu       sync.Mutex
	used     int64
	holdings map[*Holding]struct{}
	scanAt   time.Time // of the next search
	counts   map[Reason]int64
}

// New returns an account of limit bytes; 0 or less: unlimited.
func New(limit int64) *Account {
	if limit <= 0 {
		limit = math.MaxInt64
	}
	return &Account{limit: limit, holdings: make(map[*Holding]struct{}), counts: make(map[Reason]int64)}
}

// Used returns the bytes that are held.
func (a *Account) Used() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used
}

// Limit returns the limit in bytes.
func (a *Account) Limit() int64 { return a.limit }

// Ended returns how many holdings were ended or refused, by reason.
func (a *Account) Ended() map[Reason]int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return maps.Clone(a.counts)
}

// Holding is what one connection holds.
type Holding struct {
	account *Account
	owner   any                 // the server of the connection
	end     func(Reason, State) // must not block or call the account
	state   atomic.Int32
	since   atomic.Int64 // time of the state or of the latest progress in it, in ns

	// Guarded by the account's lock.
	size    int64
	ended   bool
	endedAt time.Time
}

// Open returns an empty holding. end is called, with the state in which its caller
// stopped, when memory is needed elsewhere. owner is compared by EndStopped only.
func (a *Account) Open(owner any, now time.Time, end func(Reason, State)) *Holding {
	h := &Holding{account: a, owner: owner, end: end}
	h.Progress(now)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holdings[h] = struct{}{}
	return h
}

// Close gives all back.
func (h *Holding) Close() {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	delete(h.account.holdings, h)
	h.account.used -= h.size
	h.size = 0
}

// Enter records what the caller does from now on.
func (h *Holding) Enter(s State, now time.Time) {
	h.Progress(now)
	h.state.Store(int32(s))
}

// Progress records that the caller has sent or read something.
func (h *Holding) Progress(now time.Time) { h.since.Store(now.UnixNano()) }

// Shrink gives back all but size bytes.
func (h *Holding) Shrink(size int64) {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	if size < h.size {
		h.account.used -= h.size - size
		h.size = size
	}
}

// Grow adds n bytes and reports whether there is room for them. If not, it ends other
// holdings that should make room; the caller may try again. It counts as progress.
func (h *Holding) Grow(n int64, now time.Time) bool {
	a := h.account
	a.mu.Lock()
	victim, reason := a.grow(h, n, now)
	ok := victim == nil && reason == ""
	a.mu.Unlock()
	if victim != nil {
		victim.end(reason, State(victim.state.Load()))
	}
	return ok
}

// EndStopped ends the owner's holding whose caller has sent nothing for the longest time
// and reports whether there was one. It makes room for a new connection.
func (a *Account) EndStopped(owner any, now time.Time) bool {
	a.mu.Lock()
	var victim *Holding
	for h := range a.holdings {
		if h.owner != owner || h.ended || State(h.state.Load()) != Sending || !h.stopped(now) {
			continue
		}
		if victim == nil || h.since.Load() < victim.since.Load() {
			victim = h
		}
	}
	if victim != nil {
		a.choose(victim, Stalled, now)
	}
	a.mu.Unlock()
	if victim != nil {
		victim.end(Stalled, Sending)
	}
	return victim != nil
}

// Refused counts that a request of the holding was refused after it had waited for room.
func (h *Holding) Refused() {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.account.counts[Full]++
}

// grow adds n bytes to h. Otherwise it returns a reason, and the holding to end for it if
// there is one.
func (a *Account) grow(h *Holding, n int64, now time.Time) (*Holding, Reason) {
	h.Progress(now)
	if a.used+n <= a.room(h.size+n) {
		h.size += n
		a.used += n
		return nil, ""
	}
	if now.Before(a.scanAt) {
		return nil, Full
	}
	victim, reason := a.victim(h, h.size+n, now)
	if victim == nil {
		a.scanAt = now.Add(scanPause)
		return nil, Full
	}
	a.choose(victim, reason, now)
	return victim, reason
}

// choose marks the holding that is ended next.
func (a *Account) choose(victim *Holding, reason Reason, now time.Time) {
	victim.ended, victim.endedAt = true, now
	a.counts[reason]++
}

// room returns the limit for a holding that would have the given size.
func (a *Account) room(size int64) int64 {
	if size <= smallBytes {
		return a.limit
	}
	return a.limit - int64(reserveShare*float64(a.limit))
}

// victim returns the holding to end for h, which wants the given size: the largest that
// stopped, or the largest of all if h is small. Small ones are ended for small ones only,
// and none while those ended before are about to give back enough.
func (a *Account) victim(h *Holding, size int64, now time.Time) (*Holding, Reason) {
	var stopped, largest *Holding
	var coming int64
	for o := range a.holdings {
		state := State(o.state.Load())
		if o == h || state == Running {
			continue
		}
		if o.ended {
			coming += o.coming(now)
			continue
		}
		if o.size <= smallBytes && size > smallBytes {
			continue
		}
		if o.stopped(now) && (stopped == nil || o.size > stopped.size) {
			stopped = o
		}
		if state == Sending && o.size > max(size, smallBytes) && (largest == nil || o.size > largest.size) {
			largest = o
		}
	}
	switch {
	case a.used-coming+size-h.size <= a.room(size):
		return nil, Full
	case stopped != nil:
		return stopped, Stalled
	case size <= smallBytes && largest != nil:
		return largest, OverShare
	}
	return nil, Full
}

// coming returns the bytes of an ended holding that should become free soon.
func (h *Holding) coming(now time.Time) int64 {
	if now.Sub(h.endedAt) >= releaseTime {
		return 0
	}
	return h.size
}

// stopped reports whether the caller of h has stopped sending or reading.
func (h *Holding) stopped(now time.Time) bool {
	quiet := time.Duration(now.UnixNano() - h.since.Load())
	if State(h.state.Load()) == Reading {
		return quiet >= slowReaderAfter
	}
	return quiet >= stalledAfter
}
