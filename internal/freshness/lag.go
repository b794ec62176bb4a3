package freshness

import (
	"sync"
	"time"
)

const (
	// lagMax is how long a daemon may have read less of the log than another one.
	// Updates don't reach all daemons at the same time.
	lagMax = 400 * time.Millisecond
	// rereadInterval is the minimum time between two attempts to catch up.
	rereadInterval = time.Second
)

// Lag measures for how long another daemon has read more of the log than this
// one. The zero value is ready for use. It is safe for concurrent use.
type Lag struct {
	mu          sync.Mutex
	newest      int64   // highest position that any daemon reported
	behindSince Instant // 0: this daemon is not behind
	triedAt     Instant // last attempt to catch up
}

// ShouldReread records the log positions of this daemon and of another one. It
// reports whether this daemon should restart its read because it has been
// behind for longer than lagMax. It does so at most once per rereadInterval.
func (l *Lag) ShouldReread(own, reported int64, now Instant) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.newest = max(l.newest, reported)
	switch {
	case own >= l.newest:
		l.behindSince = 0
	case l.behindSince == 0:
		l.behindSince = now
	case now.Sub(l.behindSince) > lagMax && now.Sub(l.triedAt) > rereadInterval:
		l.triedAt = now
		return true
	}
	return false
}
