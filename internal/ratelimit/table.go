package ratelimit

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Options configures a Table. The functions must not call the Table.
type Options struct {
	// Part returns this daemon's part of what all daemons may do together, from 0 to 1.
	// The parts of all daemons add up to 1 at most. Nil: this daemon is the only one.
	Part func() float64
	// Turn reports whether this daemon, of all, has the numbered slot of an upstream's
	// limit. Nil: it has each.
	Turn func(upstream uint32, slot int64) bool
	// WallClock returns the time of day, by which all daemons number slots. Nil:
	// time.Now.
	WallClock func() time.Time
	// Known reports whether an upstream exists. The limits of others are dropped after
	// some time.
	// Nil: all exist.
	Known func(upstream uint32) bool
	// Announce passes on a change of a limit to all other daemons. Nil: not called.
	Announce func(Statement)
	// OnChange is called when an upstream begins or ceases to state a limit, as far as
	// this daemon knows. Nil: not called.
	OnChange func(Statement)
}

// Table holds the limits that upstreams state. It is safe for concurrent use.
type Table struct {
	opts    Options
	limited atomic.Int64 // upstreams that state a limit

	mu     sync.Mutex
	limits map[uint32]*limit // by short id of the upstream
	order  []uint32          // in which Share goes round
	next   int
}

// limit is what is known of one upstream's limit, and how much of it was used.
type limit struct {
	Statement
	knownAt     time.Time // since when this daemon knows the statement
	announcedAt time.Time // by any daemon
	tokens      float64   // that this daemon may use, see allowance
	filledAt    time.Time
	takenAt     time.Time // latest Take
	slot        int64     // latest slot for which hasSlot was determined
	hasSlot     bool      // this daemon has it
	goneSince   time.Time // since when the upstream is missing; zero: it exists
}

// New returns a Table that knows no limit.
func New(o Options) *Table {
	if o.Part == nil {
		o.Part = func() float64 { return 1 }
	}
	if o.Turn == nil {
		o.Turn = func(uint32, int64) bool { return true }
	}
	if o.Known == nil {
		o.Known = func(uint32) bool { return true }
	}
	if o.WallClock == nil {
		o.WallClock = time.Now
	}
	return &Table{opts: o, limits: make(map[uint32]*limit)}
}

// Part returns this daemon's part of what all daemons may do together, from 0 to 1.
func (t *Table) Part() float64 { return t.opts.Part() }

// Sibling returns a Table without limits that shares them with no other daemon, and in
// which this daemon has the same part and the same turns.
func (t *Table) Sibling() *Table {
	o := t.opts
	o.Announce, o.OnChange = nil, nil
	return New(o)
}

// Observe records what an upstream's answer, which came now to a request that was sent
// at sentAt, states: requests a second, or nil for no limit. Answers may overtake each
// other, so a limit is raised or withdrawn only by the answer to a request that was sent
// after the limit was known.
func (t *Table) Observe(upstream uint32, perSecond *float64, sentAt, now time.Time) {
	if perSecond == nil && t.limited.Load() == 0 {
		return
	}
	s := Statement{Upstream: upstream, Limited: perSecond != nil}
	if perSecond != nil {
		s.Rate = NewRate(*perSecond)
	}
	t.mu.Lock()
	known := t.known(upstream)
	if known.Limited == s.Limited && known.Rate == s.Rate || known.rises(s) && sentAt.Before(known.knownAt) {
		t.mu.Unlock()
		return
	}
	s.Version = known.Version + 1
	announce := known.Limited != s.Limited || float64(s.Rate) < announceDrop*float64(known.Rate) && now.Sub(known.announcedAt) >= announceMin
	notify := t.set(s, now)
	if announce {
		t.limits[upstream].announcedAt = now
	}
	t.mu.Unlock()
	notify()
	if announce && t.opts.Announce != nil {
		t.opts.Announce(s)
	}
}

// Merge records another daemon's statement unless it is older than the known one.
func (t *Table) Merge(s Statement, now time.Time) {
	t.mu.Lock()
	if !s.replaces(t.known(s.Upstream).Statement) {
		t.mu.Unlock()
		return
	}
	notify := t.set(s, now)
	t.limits[s.Upstream].announcedAt = now
	t.mu.Unlock()
	notify()
}

// known returns what is known of an upstream's limit.
func (t *Table) known(upstream uint32) limit {
	if l := t.limits[upstream]; l != nil {
		return *l
	}
	return limit{Statement: Statement{Upstream: upstream}}
}

// set records a statement. It returns a function that reports a change and must be
// called without the lock.
func (t *Table) set(s Statement, now time.Time) (notify func()) {
	l := t.limits[s.Upstream]
	if l == nil {
		if len(t.limits) >= maxUpstreams {
			t.forgetOldest()
		}
		l = &limit{}
		t.limits[s.Upstream] = l
		t.order = append(t.order, s.Upstream)
	}
	switched := l.Limited != s.Limited
	l.Statement, l.knownAt = s, now
	if !switched {
		return func() {}
	}
	l.tokens, l.filledAt = 0, now
	if s.Limited {
		t.limited.Add(1)
	} else {
		t.limited.Add(-1)
	}
	return func() {
		if t.opts.OnChange != nil {
			t.opts.OnChange(s)
		}
	}
}

// forgetOldest drops the limit that has been known for the longest time.
func (t *Table) forgetOldest() {
	t.forget(slices.MinFunc(t.order, func(a, b uint32) int { return t.limits[a].knownAt.Compare(t.limits[b].knownAt) }))
}

// forget drops an upstream's limit.
func (t *Table) forget(upstream uint32) {
	if t.limits[upstream].Limited {
		t.limited.Add(-1)
	}
	delete(t.limits, upstream)
	t.order = slices.DeleteFunc(t.order, func(u uint32) bool { return u == upstream })
}

// rises reports whether s allows more than is known.
func (l limit) rises(s Statement) bool { return l.Limited && (!s.Limited || s.Rate > l.Rate) }

// Limited returns the number of upstreams that state a limit.
func (t *Table) Limited() int { return int(t.limited.Load()) }

// Available reports whether this daemon may send a request to an upstream now. A
// request that is then sent must be counted with Take, without another Available in
// between.
func (t *Table) Available(upstream uint32, now time.Time) bool {
	if t.limited.Load() == 0 {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.limits[upstream]
	if l == nil || !l.Limited {
		return true
	}
	rate := max(minRate, l.Rate)
	own := allow(rate, t.opts.Part())
	if own.burst > 0 {
		l.fill(own, now)
		return l.tokens >= 1
	}
	if now.Sub(l.takenAt) < slotLength(rate) {
		return false // also keeps a slot from being used twice
	}
	if slot := slotOf(t.opts.WallClock(), rate); slot != l.slot {
		l.slot, l.hasSlot = slot, t.opts.Turn(upstream, slot)
	}
	return l.hasSlot
}

// Interval returns the time between two requests that all daemons together may send to an
// upstream; 0: it states no limit.
func (t *Table) Interval(upstream uint32) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.limits[upstream]
	if l == nil || !l.Limited {
		return 0
	}
	return slotLength(max(minRate, l.Rate))
}

// Take counts a request that is sent to an upstream.
func (t *Table) Take(upstream uint32, now time.Time) {
	if t.limited.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.limits[upstream]; l != nil {
		l.tokens = max(0, l.tokens-1)
		l.takenAt = now
	}
}

// fill adds the tokens of the time since the last call.
func (l *limit) fill(a allowance, now time.Time) {
	if passed := now.Sub(l.filledAt).Seconds(); passed > 0 {
		l.tokens = min(a.burst, l.tokens+passed*a.rate)
		l.filledAt = now
	}
}

// Share returns a statement for daemons that have missed it, each time another one. The
// result is false if there is none. It drops the limits of upstreams that are gone.
func (t *Table) Share(now time.Time) (Statement, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for range len(t.order) {
		u := t.order[t.next%len(t.order)]
		l := t.limits[u]
		if l.isGone(t.opts.Known(u), now) {
			t.forget(u)
			continue
		}
		t.next = (t.next + 1) % len(t.order)
		if l.goneSince.IsZero() && (l.Limited || now.Sub(l.knownAt) < withdrawnShared) {
			return l.Statement, true
		}
	}
	return Statement{}, false
}

// isGone reports whether the upstream is missing for long.
func (l *limit) isGone(exists bool, now time.Time) bool {
	switch {
	case exists:
		l.goneSince = time.Time{}
	case l.goneSince.IsZero():
		l.goneSince = now
	}
	return !exists && now.Sub(l.goneSince) > goneMax
}
