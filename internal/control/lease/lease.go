// Package lease gives daemons leases through the platform's log. A claim is
// granted by its place in the log's order alone, and its offset is the fencing
// number. The holder times its lease from before the claim was sent, all
// others from when they read it, so a holder that was paused finds its lease
// gone before any other daemon may take it. Leases cost nothing while nobody
// wants one: the stream is read and claims are renewed on demand.
package lease

import (
	"context"
	"errors"
	"time"

	"currantpulley/internal/backing"
	"currantpulley/internal/control/lease/leasepb"
	"currantpulley/internal/control/loop"
	"currantpulley/internal/event"
	"currantpulley/internal/failure"
	"currantpulley/internal/logrecord"
)

const (
	// Max bounds the duration of a lease.
	Max = time.Hour

	tickPeriod     = 100 * time.Millisecond
	appendTimeout  = 3 * time.Second
	readWait       = 2 * time.Second
	readLimit      = 256
	readRetry      = 200 * time.Millisecond
	idleCloseAfter = time.Minute
)

// Options are what Leases need. All are required.
type Options struct {
	Loop     *loop.Loop
	Log      backing.Log
	Self     string // name of this VM
	Recorder event.Recorder
}

// Leases is the daemon's part in the leases. It is control state: its methods
// but Run are called on the loop.
type Leases struct {
	Options
	table        *Table
	lastUsedAt   time.Time
	stopReader   context.CancelFunc // of the reader; nil: none runs
	heldReported map[string]bool    // leases whose taking was recorded
	ctx          context.Context
	halted       bool
}

// New returns Leases whose Run has not been called.
func New(o Options) *Leases {
	return &Leases{Options: o, table: NewTable(o.Self), heldReported: make(map[string]bool)}
}

// Run keeps the leases that are wanted until ctx ends.
func (l *Leases) Run(ctx context.Context) {
	l.Loop.Post(func(time.Time) { l.ctx = ctx })
	l.Loop.Every(ctx, tickPeriod, l.tick)
	<-ctx.Done()
}

// Want asks for a lease of duration d, from now on until Drop. Version is
// that of the configuration that the holder will follow: a daemon with an older
// one than the last holder's does not claim.
func (l *Leases) Want(now time.Time, lease string, d time.Duration, version uint64) {
	l.lastUsedAt = now
	l.table.Want(now, lease, min(d, Max), version)
}

// Drop gives a lease back, or stops asking for it. No act under the lease may
// be under way.
func (l *Leases) Drop(lease string) {
	if l.heldReported[lease] {
		l.Recorder.Record(event.Event{ID: event.LeaseReleased, Step: lease})
		delete(l.heldReported, lease)
	}
	l.table.Drop(lease)
}

// Abandon stops asking for a lease and lets it lapse, when acts under it may
// be under way.
func (l *Leases) Abandon(lease string) { l.table.Abandon(lease) }

// Taken reports whether another daemon may hold a lease.
func (l *Leases) Taken(now time.Time, lease string) bool { return l.table.Taken(now, lease) }

// Held returns the token of a lease while this daemon holds it.
func (l *Leases) Held(now time.Time, lease string) (Token, bool) {
	token, ok := l.table.Held(now, lease)
	if ok && !l.heldReported[lease] {
		l.Recorder.Record(event.Event{ID: event.LeaseTaken, Step: lease, Version: token.Fencing})
	}
	l.heldReported[lease] = ok
	return token, ok
}

func (l *Leases) tick(now time.Time) {
	if l.ctx == nil || l.halted {
		return
	}
	for _, lease := range l.table.Lapse(now) {
		l.Recorder.Record(event.Event{ID: event.LeaseLost, Step: lease})
	}
	l.updateReader(now)
	if r := l.table.Due(now); r != nil {
		go l.append(r)
	}
}

// updateReader starts and stops the reader of the stream.
func (l *Leases) updateReader(now time.Time) {
	if len(l.table.requests) > 0 {
		l.lastUsedAt = now
	}
	idle := now.Sub(l.lastUsedAt) > idleCloseAfter
	switch {
	case !idle && l.stopReader == nil:
		ctx, stop := context.WithCancel(l.ctx)
		l.stopReader = stop
		go l.follow(ctx)
	case idle && l.stopReader != nil:
		l.stopReader()
		l.stopReader = nil
		l.table = NewTable(l.Self)
	}
}

func (l *Leases) append(r *leasepb.Record) {
	refused := true
	data, err := logrecord.Encode(recordVersion, r)
	if err == nil {
		ctx, cancel := context.WithTimeout(l.ctx, appendTimeout)
		_, err = l.Log.Append(ctx, backing.StreamLeases, data)
		cancel()
		refused = errors.Is(err, backing.ErrUnavailable) && !errors.Is(err, backing.ErrUnknownOutcome)
	}
	l.Loop.Post(func(time.Time) { l.table.Appended(r, refused) })
}

// follow reads the stream until ctx ends.
func (l *Leases) follow(ctx context.Context) {
	for ctx.Err() == nil {
		err := l.followOnce(ctx)
		if errors.Is(err, logrecord.ErrBad) {
			l.Recorder.Record(event.Event{ID: event.LeaseStreamStopped, Step: "read leases", Err: err})
			l.Loop.Post(func(time.Time) { l.halt() })
			return
		}
		select {
		case <-time.After(readRetry):
		case <-ctx.Done():
		}
	}
}

// halt gives up all leases, after a record that can't be understood.
func (l *Leases) halt() {
	l.halted = true
	l.table = NewTable(l.Self)
}

func (l *Leases) followOnce(ctx context.Context) error {
	next, err := l.load(ctx)
	if err != nil {
		return err
	}
	for {
		records, err := l.readNext(ctx, next)
		if err != nil {
			return err
		}
		done := l.Loop.Do(ctx, func(now time.Time) {
			if ctx.Err() != nil {
				return
			}
			err = l.table.Read(now, records)
			next = l.table.next
		})
		if err = errors.Join(done, err); err != nil {
			return err
		}
	}
}

func (l *Leases) readNext(ctx context.Context, from uint64) ([]backing.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*readWait)
	defer cancel()
	return l.Log.Read(ctx, backing.StreamLeases, from, readLimit, readWait)
}

// load returns the offset to read from. A reader that starts anew goes back
// as far as a lease can last on the log's clock: older ones have lapsed.
func (l *Leases) load(ctx context.Context) (uint64, error) {
	var next uint64
	if err := l.Loop.Do(ctx, func(time.Time) { next = l.table.next }); err != nil {
		return 0, err
	}
	first, end, err := l.Log.Bounds(ctx, backing.StreamLeases)
	if err != nil {
		return 0, failure.At("read bounds of leases", backing.StreamLeases, err)
	}
	if next >= first {
		return next, nil
	}
	from, err := l.findStart(ctx, first, end)
	if err != nil {
		return 0, err
	}
	return from, l.Loop.Do(ctx, func(time.Time) {
		if ctx.Err() == nil {
			l.table.Start(from)
		}
	})
}

func (l *Leases) findStart(ctx context.Context, first, end uint64) (uint64, error) {
	from := end
	var last time.Time
	for from > first {
		at := max(first, from-min(from, readLimit))
		records, err := l.Log.Read(ctx, backing.StreamLeases, at, int(from-at), 0)
		if err != nil {
			return 0, failure.At("read last leases", backing.StreamLeases, err)
		}
		if len(records) == 0 {
			break
		}
		if last.IsZero() {
			last = records[len(records)-1].At
		}
		from = at
		if last.Sub(records[0].At) > Max {
			break
		}
	}
	return from, nil
}
