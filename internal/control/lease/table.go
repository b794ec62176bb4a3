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
	recordVersion = 1
	nonceBytes    = 16
	retryAfter    = 500 * time.Millisecond // a claim that the log refused
	marginShare   = 5                      // a holder gives up the last fifth of its lease
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

// lapsed reports whether the holder must have given the lease up, whatever
// the time was at which its claim was sent.
func (g *grant) lapsed(now time.Time) bool { return !now.Before(g.readAt.Add(g.duration)) }

// unsure is the last claim of a lease that this daemon can't decide, because
// the decision depends on records from before its first one.
type unsure struct {
	offset uint64
	until  time.Time // it may be held so long
}

// wish is a lease that this daemon wants or holds.
type wish struct {
	duration time.Duration
	version  uint64
	nonce    string        // of the tenure; empty: none
	claims   []sent        // not known to be granted or refused, oldest first
	granted  time.Time     // when the granted claim was sent; zero: not held
	offset   uint64        // of the granted claim
	valid    time.Duration // from granted on
	since    time.Time     // when the first claim of the tenure was read
	clean    bool          // nothing of an earlier tenure can be under way
	tryAfter time.Time
	dropped  bool // to be given back once nothing is on its way
}

// sent is a claim on its way. Several may be under way, since the outcome of
// an append may be unknown for long.
type sent struct {
	serial   uint64
	at       time.Time // before the append
	duration time.Duration
}

// Table is the state of all leases as this daemon reads them, and of its own
// claims. It does no I/O; Leases drives it.
type Table struct {
	vm       string
	first    uint64 // first offset that was read
	next     uint64 // first offset not read; 0: not loaded
	grants   map[string]*grant
	unsure   map[string]unsure
	wishes   map[string]*wish
	inFlight bool
	serial   uint64 // of the last claim
}

// NewTable returns the table of the daemon vm, which knows nothing
// of the stream until Start is called.
func NewTable(vm string) *Table {
	return &Table{vm: vm, grants: make(map[string]*grant), unsure: make(map[string]unsure), wishes: make(map[string]*wish)}
}

// Want asks for lease, or changes what is asked for.
func (t *Table) Want(_ time.Time, lease string, d time.Duration, version uint64) {
	w := t.wishes[lease]
	if w == nil {
		w = &wish{}
		t.wishes[lease] = w
	}
	w.duration, w.version, w.dropped = d, version, false
}

// Drop stops wanting lease and gives it back when it is held.
func (t *Table) Drop(lease string) {
	if w := t.wishes[lease]; w != nil {
		w.dropped = true
	}
}

// Abandon stops wanting lease and lets it lapse.
func (t *Table) Abandon(lease string) { delete(t.wishes, lease) }

// Taken reports whether another holder's lease has not lapsed.
func (t *Table) Taken(now time.Time, lease string) bool {
	if now.Before(t.unsure[lease].until) {
		return true
	}
	g, w := t.grants[lease], t.wishes[lease]
	own := g != nil && w != nil && g.nonce == w.nonce
	return g != nil && !own && !g.lapsed(now)
}

// Held returns the token of a lease that this daemon holds.
func (t *Table) Held(now time.Time, lease string) (Token, bool) {
	w := t.wishes[lease]
	if w == nil || w.granted.IsZero() || w.dropped {
		return Token{}, false
	}
	token := Token{Fencing: w.offset, Since: w.since, Clean: w.clean, sentAt: w.granted, valid: w.valid}
	return token, token.Valid(now)
}

// Due returns the record to append now, or nil.
func (t *Table) Due(now time.Time) *leasepb.Record {
	if t.next == 0 || t.inFlight {
		return nil
	}
	r := &leasepb.Record{Seen: t.next - 1}
	for _, lease := range slices.Sorted(maps.Keys(t.wishes)) {
		w := t.wishes[lease]
		switch {
		case w.dropped && len(w.claims) > 0:
		case w.dropped:
			if !w.granted.IsZero() {
				r.Claims = append(r.Claims, t.claim(lease, w, 0))
			}
			delete(t.wishes, lease)
		case t.claimable(now, lease, w):
			if w.nonce == "" {
				w.nonce = newNonce()
			}
			r.Claims = append(r.Claims, t.claim(lease, w, w.duration))
			w.claims = append(w.claims, sent{serial: t.serial, at: now, duration: w.duration})
			w.tryAfter = now.Add(retryAfter)
		}
	}
	if len(r.Claims) == 0 {
		return nil
	}
	t.inFlight = true
	return r
}

// claimable reports whether a claim of lease should be sent now: half of the
// own lease is over, or another's has lapsed. A daemon that is behind a holder's
// configuration does not claim. That can't be part of the decision on a claim,
// which must be the same at readers that start behind the last grant.
func (t *Table) claimable(now time.Time, lease string, w *wish) bool {
	if now.Before(w.tryAfter) {
		return false
	}
	if !w.granted.IsZero() && elapsed(w.granted, now) < w.valid/2 {
		return false
	}
	g := t.grants[lease]
	outdated := g != nil && g.version > w.version
	return !outdated && !t.Taken(now, lease)
}

func (t *Table) claim(lease string, w *wish, d time.Duration) *leasepb.Claim {
	t.serial++
	return &leasepb.Claim{
		Lease: lease, Vm: t.vm, Nonce: []byte(w.nonce), DurationMs: uint64(d.Milliseconds()), Version: w.version, Serial: t.serial,
	}
}

// Appended takes the end of an append. A claim that was not appended is
// forgotten; one whose fate is unknown is kept until it is read.
func (t *Table) Appended(r *leasepb.Record, refused bool) {
	t.inFlight = false
	if !refused {
		return
	}
	for _, c := range r.Claims {
		if w := t.wishes[c.Lease]; w != nil {
			w.claims = slices.DeleteFunc(w.claims, func(s sent) bool { return s.serial == c.Serial })
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
		t.refused(now, c)
		return
	}
	if u := t.unsure[c.Lease]; seen+1 < t.first || seen < u.offset {
		duration := time.Duration(c.DurationMs) * time.Millisecond
		t.unsure[c.Lease] = unsure{offset: offset, until: latest(u.until, now.Add(duration))}
		t.refused(now, c)
		return
	}
	clean := g == nil || g.duration == 0
	t.grants[c.Lease] = &grant{
		offset: offset, nonce: string(c.Nonce), vm: c.Vm, version: c.Version, readAt: now,
		duration: time.Duration(c.DurationMs) * time.Millisecond,
	}
	t.granted(now, offset, clean, c)
}

func (t *Table) granted(now time.Time, offset uint64, clean bool, c *leasepb.Claim) {
	w := t.wishes[c.Lease]
	if w == nil {
		return
	}
	if string(c.Nonce) != w.nonce {
		w.granted, w.nonce, w.claims = time.Time{}, "", nil
		return
	}
	for _, s := range w.claims {
		if s.serial != c.Serial {
			continue
		}
		if w.granted.IsZero() {
			w.since, w.clean = now, clean
		}
		w.granted, w.offset, w.valid = s.at, offset, s.duration-s.duration/marginShare
	}
	w.claims = slices.DeleteFunc(w.claims, func(s sent) bool { return s.serial <= c.Serial })
}

// refused forgets a claim of this daemon that lost.
func (t *Table) refused(now time.Time, c *leasepb.Claim) {
	w := t.wishes[c.Lease]
	if w == nil || string(c.Nonce) != w.nonce {
		return
	}
	w.claims = slices.DeleteFunc(w.claims, func(s sent) bool { return s.serial == c.Serial })
	w.tryAfter = now.Add(retryAfter)
}

// Lapse ends tenures whose time is over: the next claim begins a new one.
func (t *Table) Lapse(now time.Time) (lost []string) {
	for lease, w := range t.wishes {
		w.claims = slices.DeleteFunc(w.claims, func(s sent) bool { return elapsed(s.at, now) >= s.duration })
		if w.granted.IsZero() || elapsed(w.granted, now) < w.valid {
			continue
		}
		w.granted, w.nonce, w.claims = time.Time{}, "", nil
		lost = append(lost, lease)
	}
	return lost
}

func latest(a, b time.Time) time.Time {
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
