// Package freshness records how long ago the configuration was last known to be
// the newest. A revoked key must not be accepted for longer than a bound, even
// by a VM that was partitioned or suspended. So ages are measured with a clock
// that counts the time in suspend.
package freshness

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a reading of the clock that counts time in suspend.
type Instant int64 // nanoseconds since the VM's boot

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time from j to i.
func (i Instant) Sub(j Instant) time.Duration { return time.Duration(i - j) }

// Now returns the current instant. It panics when CLOCK_BOOTTIME is missing.
func Now() Instant {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return Instant(t.Nano())
}

// Time returns the current instant as a time.Time, for code that only compares
// such values with each other. It is not the time of day.
func Time() time.Time { return Now().Time() }

// Time returns i as a time.Time in the manner of the function Time.
func (i Instant) Time() time.Time { return time.Unix(0, int64(i)) }

// Proof holds the latest instant at which the configuration read from the log is
// known to have been the newest, and the log position up to which it was read.
// The zero value holds no proof. It is safe for concurrent use.
type Proof struct {
	mu       sync.Mutex
	at       Instant // 0: none
	position int64
}

// RecordRead records that all log records before position were applied and that
// there were no others at the given instant.
func (p *Proof) RecordRead(position int64, at Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.position = max(p.position, position)
	p.at = max(p.at, at)
}

// ObservePeer records another daemon's proof: at the given instant the log held
// no records other than those before position. If this daemon has read as far,
// that proves its configuration too. ObservePeer reports whether this daemon is
// behind. It ignores the proof while this daemon has none of its own.
func (p *Proof) ObservePeer(position int64, at Instant) (behind bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.at == 0 {
		return false
	}
	if p.position < position {
		return true
	}
	p.at = max(p.at, at)
	return false
}

// Within reports whether the proof is at most age old at now.
func (p *Proof) Within(age time.Duration, now Instant) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.at != 0 && now.Sub(p.at) <= age
}

// Latest returns the position and the age of the proof at now. It returns false
// when there is no proof.
func (p *Proof) Latest(now Instant) (position int64, age time.Duration, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.position, now.Sub(p.at), p.at != 0
}

const (
	pauseInterval  = 100 * time.Millisecond // between two ticks
	pauseThreshold = 300 * time.Millisecond // between two ticks from which the process counts as paused
)

// Pauses detects when the process was paused, for example because its VM was
// suspended.
type Pauses struct{ last, ended atomic.Int64 } // Instants of the last tick and of the end of the last pause

// WatchPauses returns a Pauses that watches the process until ctx ends.
func WatchPauses(ctx context.Context) *Pauses {
	p := &Pauses{}
	p.last.Store(int64(Now()))
	go p.run(ctx)
	return p
}

func (p *Pauses) run(ctx context.Context) {
	t := time.NewTicker(pauseInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			p.tick(Now())
		}
	}
}

func (p *Pauses) tick(now Instant) {
	if now.Sub(Instant(p.last.Swap(int64(now)))) >= pauseThreshold {
		p.ended.Store(int64(now))
	}
}

// Since reports whether the process was paused at some time since at.
func (p *Pauses) Since(at Instant) bool {
	if Now().Sub(Instant(p.last.Load())) >= pauseThreshold {
		return true // it has just resumed and not ticked yet
	}
	return p.ended.Load() > int64(at)
}
