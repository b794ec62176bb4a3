// Package lease implements leases on top of the platform's log. Whether a claim
// is granted depends only on the order of the log, and the claim's offset is the
// fencing token. The holder measures its lease from before the claim was sent,
// and all other daemons measure it from when they read the claim. The lease of a
// paused holder therefore expires at the holder before another daemon may take
// it.
//
// The stream is read and claims are renewed only while leases are in use, so
// that an idle fleet causes no traffic.
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

// Options holds the dependencies of Leases. All fields are required.
type Options struct {
	Loop     *loop.Loop
	Log      backing.Log
	Self     string // name of this VM
	Recorder event.Recorder
}

// Leases acquires and holds leases for this daemon. All methods except Run must
// be called on the control loop.
type Leases struct {
	Options
	table        *Table
	lastUsedAt   time.Time
	stopReader   context.CancelFunc // nil: no reader runs
	heldReported map[string]bool    // by lease: an event said that it is held
	ctx          context.Context
	halted       bool // a record can't be decoded
}

// New returns Leases that acquire nothing until Run is called.
func New(o Options) *Leases {
	return &Leases{Options: o, table: NewTable(o.Self), heldReported: make(map[string]bool)}
}

// Run acquires and renews the wanted leases until ctx ends.
func (l *Leases) Run(ctx context.Context) {
	l.Loop.Post(func(time.Time) { l.ctx = ctx })
	l.Loop.Every(ctx, tickPeriod, l.tick)
	<-ctx.Done()
}

// Acquire acquires and renews a lease of duration d, at most Max, until Release
// or Abandon. Version is the version of the configuration that the holder will
// follow: a daemon whose version is older than the last holder's does not claim.
func (l *Leases) Acquire(now time.Time, lease string, d time.Duration, version uint64) {
	l.lastUsedAt = now
	l.table.Acquire(now, lease, min(d, Max), version)
}

// Release releases a lease, or stops acquiring it. No operation under the lease
// may be in progress.
func (l *Leases) Release(lease string) {
	if l.heldReported[lease] {
		l.Recorder.Record(event.Event{ID: event.LeaseReleased, Step: lease})
		delete(l.heldReported, lease)
	}
	l.table.Release(lease)
}

// Abandon stops renewing a lease and lets it expire. Operations under it may
// still be in progress.
func (l *Leases) Abandon(lease string) { l.table.Abandon(lease) }

// HeldByOther reports whether another daemon may hold a lease.
func (l *Leases) HeldByOther(now time.Time, lease string) bool {
	return l.table.HeldByOther(now, lease)
}

// Held returns the token of a lease, and whether this daemon holds it.
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
	for _, lease := range l.table.Expire(now) {
		l.Recorder.Record(event.Event{ID: event.LeaseLost, Step: lease})
	}
	l.updateReader(now)
	if r := l.table.NextRecord(now); r != nil {
		go l.append(r)
	}
}

// updateReader starts the reader of the stream while leases are in use, and
// stops it after they were unused for idleCloseAfter.
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
	l.Loop.Post(func(time.Time) { l.table.AppendDone(r, refused) })
}

// follow reads the stream until ctx ends or a record can't be decoded. It
// retries after other errors.
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

// halt drops all leases for good after a record that can't be decoded.
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

// load returns the offset to read from. A new reader starts at least Max, by
// the log's clock, before the last record, or at the first record: older leases
// have expired.
func (l *Leases) load(ctx context.Context) (uint64, error) {
	var next uint64
	if err := l.Loop.Do(ctx, func(time.Time) { next = l.table.next }); err != nil {
		return 0, err
	}
	first, end, err := l.Log.Bounds(ctx, backing.StreamLeases)
	if err != nil {
		return 0, failure.At("read bounds of the lease stream", backing.StreamLeases, err)
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

// findStart returns the offset from which a new reader starts, given the bounds
// of the stream.
func (l *Leases) findStart(ctx context.Context, first, end uint64) (uint64, error) {
	from := end
	var last time.Time
	for from > first {
		at := max(first, from-min(from, readLimit))
		records, err := l.Log.Read(ctx, backing.StreamLeases, at, int(from-at), 0)
		if err != nil {
			return 0, failure.At("read last records of the lease stream", backing.StreamLeases, err)
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
