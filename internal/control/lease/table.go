package lease

import (
	"crypto/rand"
	"maps"
	"slices"
	"time"

	"currantpulley/internal/backing"
	"currantpulley/internal/control/lease/leasepb"
	"currantpulley/internal/logrecord"
)

const (
	recordVersion   = 1
	nonceBytes      = 16
	claimRetryAfter = 500 * time.Millisecond // a claim that the log refused
	marginDivisor   = 5                      // a holder gives up the last fifth of its lease
)

// grant is the last granted claim of a lease.
type grant struct {
	offset   uint64
	nonce    string
	vm       string
	version  uint64
	duration time.Duration
	readAt   time.Time // on this daemon's clock
}

// expired reports whether the holder must have given the lease up, whatever
// the time was at which its claim was sent.
func (g *grant) expired(now time.Time) bool { return !now.Before(g.readAt.Add(g.duration)) }

// undecidedClaim is the last claim of a lease that this daemon can't decide, because
// the decision depends on records from before its first one.
type undecidedClaim struct {
	offset uint64
	until  time.Time // it may be held so long
}

// request is a lease that this daemon wants or holds.
type request struct {
	duration      time.Duration
	version       uint64
	nonce         string         // of the tenure; empty: none
	pending       []pendingClaim // not known to be granted or refused, oldest first
	grantedSentAt time.Time      // when the granted claim was sent; zero: not held
	grantedOffset uint64         // of the granted claim
	validFor      time.Duration  // from granted on
	since         time.Time      // when the first claim of the tenure was read
	clean         bool           // nothing of an earlier tenure can be under way
	retryAt       time.Time
	released      bool // to be given back once nothing is on its way
}

// pendingClaim is a claim on its way. Several may be under way, since the outcome of
// an append may be unknown for long.
type pendingClaim struct {
	serial   uint64
	at       time.Time // before the append
	duration time.Duration
}

// Table is the state of all leases as this daemon reads them, and of its own
// claims. It does no I/O; Leases drives it.
type Table struct {
	vm         string
	first      uint64 // first offset that was read
	next       uint64 // first offset not read; 0: not loaded
	grants     map[string]*grant
	undecided  map[string]undecidedClaim
	requests   map[string]*request
	appending  bool
	lastSerial uint64 // of the last claim
}

// NewTable returns the table of the daemon vm, which knows nothing
// of the stream until Start is called.
func NewTable(vm string) *Table {
	return &Table{vm: vm, grants: make(map[string]*grant), undecided: make(map[string]undecidedClaim), requests: make(map[string]*request)}
}

// Want asks for lease, or changes what is asked for.
func (t *Table) Want(_ time.Time, lease string, d time.Duration, version uint64) {
	w := t.requests[lease]
	if w == nil {
		w = &request{}
		t.requests[lease] = w
	}
	w.duration, w.version, w.released = d, version, false
}

// Drop stops wanting lease and gives it back when it is held.
func (t *Table) Drop(lease string) {
	if w := t.requests[lease]; w != nil {
		w.released = true
	}
}

// Abandon stops wanting lease and lets it lapse.
func (t *Table) Abandon(lease string) { delete(t.requests, lease) }

// Taken reports whether another holder's lease has not lapsed.
func (t *Table) Taken(now time.Time, lease string) bool {
	if now.Before(t.undecided[lease].until) {
		return true
	}
	g, w := t.grants[lease], t.requests[lease]
	own := g != nil && w != nil && g.nonce == w.nonce
	return g != nil && !own && !g.expired(now)
}

// Held returns the token of a lease that this daemon holds.
func (t *Table) Held(now time.Time, lease string) (Token, bool) {
	w := t.requests[lease]
	if w == nil || w.grantedSentAt.IsZero() || w.released {
		return Token{}, false
	}
	token := Token{Fencing: w.grantedOffset, Since: w.since, Clean: w.clean, sentAt: w.grantedSentAt, validFor: w.validFor}
	return token, token.Valid(now)
}

// Due returns the record to append now, or nil.
func (t *Table) Due(now time.Time) *leasepb.Record {
	if t.next == 0 || t.appending {
		return nil
	}
	r := &leasepb.Record{Seen: t.next - 1}
	for _, lease := range slices.Sorted(maps.Keys(t.requests)) {
		w := t.requests[lease]
		switch {
		case w.released && len(w.pending) > 0:
		case w.released:
			if !w.grantedSentAt.IsZero() {
				r.Claims = append(r.Claims, t.newClaim(lease, w, 0))
			}
			delete(t.requests, lease)
		case t.claimDue(now, lease, w):
			if w.nonce == "" {
				w.nonce = newNonce()
			}
			r.Claims = append(r.Claims, t.newClaim(lease, w, w.duration))
			w.pending = append(w.pending, pendingClaim{serial: t.lastSerial, at: now, duration: w.duration})
			w.retryAt = now.Add(claimRetryAfter)
		}
	}
	if len(r.Claims) == 0 {
		return nil
	}
	t.appending = true
	return r
}

// claimDue reports whether a claim of lease should be sent now: half of the
// own lease is over, or another's has lapsed. A daemon that is behind a holder's
// configuration does not claim. That can't be part of the decision on a claim,
// which must be the same at readers that start behind the last grant.
func (t *Table) claimDue(now time.Time, lease string, w *request) bool {
	if now.Before(w.retryAt) {
		return false
	}
	if !w.grantedSentAt.IsZero() && elapsed(w.grantedSentAt, now) < w.validFor/2 {
		return false
	}
	g := t.grants[lease]
	outdated := g != nil && g.version > w.version
	return !outdated && !t.Taken(now, lease)
}

func (t *Table) newClaim(lease string, w *request, d time.Duration) *leasepb.Claim {
	t.lastSerial++
	return &leasepb.Claim{
		Lease: lease, Vm: t.vm, Nonce: []byte(w.nonce), DurationMs: uint64(d.Milliseconds()), Version: w.version, Serial: t.lastSerial,
	}
}

// Appended takes the end of an append. A claim that was not appended is
// forgotten; one whose fate is unknown is kept until it is read.
func (t *Table) Appended(r *leasepb.Record, refused bool) {
	t.appending = false
	if !refused {
		return
	}
	for _, c := range r.Claims {
		if w := t.requests[c.Lease]; w != nil {
			w.pending = slices.DeleteFunc(w.pending, func(s pendingClaim) bool { return s.serial == c.Serial })
		}
	}
}

// Start sets the offset of the next record; 0: the stream is not known.
func (t *Table) Start(next uint64) { t.first, t.next = next, next }

// Next returns the offset of the next record to read.
func (t *Table) Next() uint64 { return t.next }

// Read applies contiguous records.
func (t *Table) Read(now time.Time, records []backing.Record) error {
	for _, record := range records {
		if record.Offset != t.next {
			return backing.ErrTrimmed
		}
		r := new(leasepb.Record)
		if err := logrecord.Decode(recordVersion, record.Data, r); err != nil {
			return err
		}
		for _, c := range r.Claims {
			t.apply(now, record.Offset, r.Seen, c)
		}
		t.next++
	}
	return nil
}

// apply decides a claim. The decision follows from the log's order alone. A
// claim that can't be decided counts as granted to others, never to this daemon.
func (t *Table) apply(now time.Time, offset, seen uint64, c *leasepb.Claim) {
	g := t.grants[c.Lease]
	if g != nil && g.offset > seen {
		t.claimRefused(now, c)
		return
	}
	if u := t.undecided[c.Lease]; seen+1 < t.first || seen < u.offset {
		duration := time.Duration(c.DurationMs) * time.Millisecond
		t.undecided[c.Lease] = undecidedClaim{offset: offset, until: later(u.until, now.Add(duration))}
		t.claimRefused(now, c)
		return
	}
	clean := g == nil || g.duration == 0
	t.grants[c.Lease] = &grant{
		offset: offset, nonce: string(c.Nonce), vm: c.Vm, version: c.Version, readAt: now,
		duration: time.Duration(c.DurationMs) * time.Millisecond,
	}
	t.claimGranted(now, offset, clean, c)
}

func (t *Table) claimGranted(now time.Time, offset uint64, clean bool, c *leasepb.Claim) {
	w := t.requests[c.Lease]
	if w == nil {
		return
	}
	if string(c.Nonce) != w.nonce {
		w.grantedSentAt, w.nonce, w.pending = time.Time{}, "", nil
		return
	}
	for _, s := range w.pending {
		if s.serial != c.Serial {
			continue
		}
		if w.grantedSentAt.IsZero() {
			w.since, w.clean = now, clean
		}
		w.grantedSentAt, w.grantedOffset, w.validFor = s.at, offset, s.duration-s.duration/marginDivisor
	}
	w.pending = slices.DeleteFunc(w.pending, func(s pendingClaim) bool { return s.serial <= c.Serial })
}

// claimRefused forgets a claim of this daemon that lost.
func (t *Table) claimRefused(now time.Time, c *leasepb.Claim) {
	w := t.requests[c.Lease]
	if w == nil || string(c.Nonce) != w.nonce {
		return
	}
	w.pending = slices.DeleteFunc(w.pending, func(s pendingClaim) bool { return s.serial == c.Serial })
	w.retryAt = now.Add(claimRetryAfter)
}

// Lapse ends tenures whose time is over: the next claim begins a new one.
func (t *Table) Lapse(now time.Time) (lost []string) {
	for lease, w := range t.requests {
		w.pending = slices.DeleteFunc(w.pending, func(s pendingClaim) bool { return elapsed(s.at, now) >= s.duration })
		if w.grantedSentAt.IsZero() || elapsed(w.grantedSentAt, now) < w.validFor {
			continue
		}
		w.grantedSentAt, w.nonce, w.pending = time.Time{}, "", nil
		lost = append(lost, lease)
	}
	return lost
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func newNonce() string {
	var b [nonceBytes]byte
	_, _ = rand.Read(b[:])
	return string(b[:])
}

// elapsed returns the time from a to b on the monotonic clock or on the wall
// clock, whichever is longer: the monotonic one may stand still while a VM is
// suspended.
func elapsed(a, b time.Time) time.Duration {
	return max(b.Sub(a), b.Round(0).Sub(a.Round(0)))
}
