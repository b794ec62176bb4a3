// Package freshness keeps how long ago the configuration was last proved to be
// the newest. A key that was taken away must not be accepted for longer than a
// bound, also by a VM that was cut off or suspended, so ages are measured on a
// clock that goes on while the VM is suspended.
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

// Now reads the clock.
func Now() Instant {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic("CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return Instant(t.Nano())
}

// Time reads the clock as a time.Time, for code that only compares its
// readings with each other. It is not the time of day.
func Time() time.Time { return Now().Time() }

// Time returns i as Time does.
func (i Instant) Time() time.Time { return time.Unix(0, int64(i)) }

// Proof is the latest instant up to which the configuration that was read is
// known to be the newest, and the position in the log up to which it was read.
// The zero value proves nothing. It is safe for concurrent use.
type Proof struct {
	mu       sync.Mutex
	at       Instant // 0: none
	position int64
}

// Read notes that all records before position were applied, and that there
// were no others at the instant.
func (p *Proof) Read(position int64, at Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.position = max(p.position, position)
	p.at = max(p.at, at)
}

// Heard takes another daemon's proof: it had read all records before position
// at the instant. That proves this daemon's reading too, if it is no shorter.
// Heard reports whether it is shorter.
func (p *Proof) Heard(position int64, at Instant) (behind bool) {
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

// Tell returns the position and the proof's age at now, and false when there
// is none.
func (p *Proof) Tell(now Instant) (position int64, age time.Duration, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.position, now.Sub(p.at), p.at != 0
}

const (
	pauseTick = 100 * time.Millisecond
	pauseMin  = 300 * time.Millisecond // between two ticks of a process that ran all the while
)

// Pauses notices when the process stood still.
type Pauses struct{ last, ended atomic.Int64 }

// WatchPauses watches until ctx ends.
func WatchPauses(ctx context.Context) *Pauses {
	p := &Pauses{}
	p.last.Store(int64(Now()))
	go p.run(ctx)
	return p
}

func (p *Pauses) run(ctx context.Context) {
	t := time.NewTicker(pauseTick)
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
	if now.Sub(Instant(p.last.Swap(int64(now)))) >= pauseMin {
		p.ended.Store(int64(now))
	}
}

// Since reports whether the process stood still at some time since at.
func (p *Pauses) Since(at Instant) bool {
	if Now().Sub(Instant(p.last.Load())) >= pauseMin {
		return true // it has just woken up
	}
	return p.ended.Load() > int64(at)
}
