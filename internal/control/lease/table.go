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
	claimRetryAfter = 500 * time.Millisecond // pause between claims of one lease
	marginDivisor   = 5                      // a holder does not use the last fifth of its lease
)

// grant is the last granted claim of a lease.
type grant struct {
	offset   uint64
	nonce    string
	vm       string
	version  uint64
	duration time.Duration
	readAt   time.Time // by this daemon's clock
}

// expired reports whether the lease has certainly expired at its holder, whose
// lease began before the claim was sent and so before it was read here.
func (g *grant) expired(now time.Time) bool { return !now.Before(g.readAt.Add(g.duration)) }

// undecidedClaim is the last claim of a lease that this daemon can't decide,
// because the decision depends on records before the first one that it read.
type undecidedClaim struct {
	offset uint64
	until  time.Time // when the lease expires if the claim was granted
}

// request is a lease that this daemon acquires or holds. A tenure is the time
// from its first granted claim until it expires or is released.
type request struct {
	duration      time.Duration
	version       uint64
	nonce         string         // of the tenure; empty: none
	pending       []pendingClaim // oldest first
	grantedSentAt time.Time      // when the last granted claim was sent; zero: not held
	grantedOffset uint64         // offset of the last granted claim
	validFor      time.Duration  // from grantedSentAt on
	since         time.Time      // when the first claim of the tenure was read
	cleanHandover bool           // nothing from an earlier tenure can be in progress
	retryAt       time.Time      // earliest next claim
	released      bool           // to be released once no claim is pending
}

// pendingClaim is a claim that is not known to be granted or refused. Several
// may be pending, since the outcome of an append may stay unknown for long.
type pendingClaim struct {
	serial   uint64
	at       time.Time // time before the append
	duration time.Duration
}

// Table is the state machine of all leases, as read from the log, and of this
// daemon's claims. It does no I/O: Leases drives it. It is not safe for
// concurrent use.
type Table struct {
	vm         string
	first      uint64 // offset of the first record that was read
	next       uint64 // offset of the next record to read; 0: not loaded
	grants     map[string]*grant
	undecided  map[string]undecidedClaim
	requests   map[string]*request
	appending  bool
	lastSerial uint64 // serial of the last claim
}

// NewTable returns an empty table for the daemon on vm. It makes no claims until
// Start is called.
func NewTable(vm string) *Table {
	return &Table{vm: vm, grants: make(map[string]*grant), undecided: make(map[string]undecidedClaim), requests: make(map[string]*request)}
}

// Acquire requests lease, or changes the duration and version of the request.
func (t *Table) Acquire(_ time.Time, lease string, d time.Duration, version uint64) {
	req := t.requests[lease]
	if req == nil {
		req = &request{}
		t.requests[lease] = req
	}
	req.duration, req.version, req.released = d, version, false
}

// Release ends the request of lease, and releases it if it is held.
func (t *Table) Release(lease string) {
	if req := t.requests[lease]; req != nil {
		req.released = true
	}
}

// Abandon ends the request of lease and lets it expire.
func (t *Table) Abandon(lease string) { delete(t.requests, lease) }

// HeldByOther reports whether another daemon may hold lease.
func (t *Table) HeldByOther(now time.Time, lease string) bool {
	if now.Before(t.undecided[lease].until) {
		return true
	}
	g, req := t.grants[lease], t.requests[lease]
	own := g != nil && req != nil && g.nonce == req.nonce
	return g != nil && !own && !g.expired(now)
}

// Held returns the token of lease, and whether this daemon holds it.
func (t *Table) Held(now time.Time, lease string) (Token, bool) {
	req := t.requests[lease]
	if req == nil || req.grantedSentAt.IsZero() || req.released {
		return Token{}, false
	}
	token := Token{Fencing: req.grantedOffset, Since: req.since, CleanHandover: req.cleanHandover, sentAt: req.grantedSentAt, validFor: req.validFor}
	return token, token.Valid(now)
}

// NextRecord returns the record to append now, or nil. The caller must pass the
// result of the append to AppendDone before NextRecord returns another record.
func (t *Table) NextRecord(now time.Time) *leasepb.Record {
	if t.next == 0 || t.appending {
		return nil
	}
	r := &leasepb.Record{Seen: t.next - 1}
	for _, lease := range slices.Sorted(maps.Keys(t.requests)) {
		req := t.requests[lease]
		switch {
		case req.released && len(req.pending) > 0:
		case req.released:
			if !req.grantedSentAt.IsZero() {
				r.Claims = append(r.Claims, t.newClaim(lease, req, 0))
			}
			delete(t.requests, lease)
		case t.claimDue(now, lease, req):
			if req.nonce == "" {
				req.nonce = newNonce()
			}
			r.Claims = append(r.Claims, t.newClaim(lease, req, req.duration))
			req.pending = append(req.pending, pendingClaim{serial: t.lastSerial, at: now, duration: req.duration})
			req.retryAt = now.Add(claimRetryAfter)
		}
	}
	if len(r.Claims) == 0 {
		return nil
	}
	t.appending = true
	return r
}

// claimDue reports whether to claim lease now: half of the own lease is over, or
// no other daemon holds it. A daemon with an older configuration than the last
// holder's does not claim. The version is checked here and not when a claim is
// decided: that decision must be the same at readers that start after the last
// grant and so don't know its version.
func (t *Table) claimDue(now time.Time, lease string, req *request) bool {
	if now.Before(req.retryAt) {
		return false
	}
	if !req.grantedSentAt.IsZero() && elapsed(req.grantedSentAt, now) < req.validFor/2 {
		return false
	}
	g := t.grants[lease]
	outdated := g != nil && g.version > req.version
	return !outdated && !t.HeldByOther(now, lease)
}

// newClaim returns the next claim of lease. A duration of 0 releases it.
func (t *Table) newClaim(lease string, req *request, d time.Duration) *leasepb.Claim {
	t.lastSerial++
	return &leasepb.Claim{
		Lease: lease, Vm: t.vm, Nonce: []byte(req.nonce), DurationMs: uint64(d.Milliseconds()), Version: req.version, Serial: t.lastSerial,
	}
}

// AppendDone handles the end of the append of r. Refused says that r was
// certainly not appended: its claims are dropped. Otherwise they stay pending
// until they are read or expire.
func (t *Table) AppendDone(r *leasepb.Record, refused bool) {
	t.appending = false
	if !refused {
		return
	}
	for _, c := range r.Claims {
		if req := t.requests[c.Lease]; req != nil {
			req.pending = slices.DeleteFunc(req.pending, func(s pendingClaim) bool { return s.serial == c.Serial })
		}
	}
}

// Start sets the offset of the first record to read; 0 means that the stream is
// not loaded.
func (t *Table) Start(next uint64) { t.first, t.next = next, next }

// Next returns the offset of the next record to read.
func (t *Table) Next() uint64 { return t.next }

// Read applies records, which must be contiguous. Errors: backing.ErrTrimmed for
// a gap, logrecord.ErrBad for a record that can't be decoded.
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

// apply decides a claim: it is granted if its writer had read the last granted
// claim of the lease. The decision depends only on the order of the log. A claim
// that can't be decided counts as granted to others, never to this daemon.
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
	cleanHandover := g == nil || g.duration == 0
	t.grants[c.Lease] = &grant{
		offset: offset, nonce: string(c.Nonce), vm: c.Vm, version: c.Version, readAt: now,
		duration: time.Duration(c.DurationMs) * time.Millisecond,
	}
	t.claimGranted(now, offset, cleanHandover, c)
}

// claimGranted begins or extends this daemon's tenure, or ends it if the claim
// is another tenure's.
func (t *Table) claimGranted(now time.Time, offset uint64, cleanHandover bool, c *leasepb.Claim) {
	req := t.requests[c.Lease]
	if req == nil {
		return
	}
	if string(c.Nonce) != req.nonce {
		req.grantedSentAt, req.nonce, req.pending = time.Time{}, "", nil
		return
	}
	for _, s := range req.pending {
		if s.serial != c.Serial {
			continue
		}
		if req.grantedSentAt.IsZero() {
			req.since, req.cleanHandover = now, cleanHandover
		}
		req.grantedSentAt, req.grantedOffset, req.validFor = s.at, offset, s.duration-s.duration/marginDivisor
	}
	req.pending = slices.DeleteFunc(req.pending, func(s pendingClaim) bool { return s.serial <= c.Serial })
}

// claimRefused drops a claim of this daemon that was not granted.
func (t *Table) claimRefused(now time.Time, c *leasepb.Claim) {
	req := t.requests[c.Lease]
	if req == nil || string(c.Nonce) != req.nonce {
		return
	}
	req.pending = slices.DeleteFunc(req.pending, func(s pendingClaim) bool { return s.serial == c.Serial })
	req.retryAt = now.Add(claimRetryAfter)
}

// Expire ends the tenures that have expired and returns their leases. The next
// claim of each begins a new tenure.
func (t *Table) Expire(now time.Time) (lost []string) {
	for lease, req := range t.requests {
		req.pending = slices.DeleteFunc(req.pending, func(s pendingClaim) bool { return elapsed(s.at, now) >= s.duration })
		if req.grantedSentAt.IsZero() || elapsed(req.grantedSentAt, now) < req.validFor {
			continue
		}
		req.grantedSentAt, req.nonce, req.pending = time.Time{}, "", nil
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

// elapsed returns the time from a to b by the monotonic or the wall clock,
// whichever is longer: the monotonic clock may stop while a VM is suspended.
func elapsed(a, b time.Time) time.Duration {
	return max(b.Sub(a), b.Round(0).Sub(a.Round(0)))
}
