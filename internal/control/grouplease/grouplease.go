// Package grouplease is a lease on orders to engines, built on the membership of a
// group in a store that assigns the lease to one member at a time.
package grouplease

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"currantpulley/internal/event"
	"currantpulley/internal/freshness"
)

const (
	// TTL is the time after which a member that doesn't renew its membership loses it.
	TTL = 2 * time.Second
	// Margin is the time by which the holder stops before its lease expires.
	Margin = 300 * time.Millisecond

	renewPeriod  = 600 * time.Millisecond // mean time between two renewals
	leaveTimeout = 500 * time.Millisecond
)

// Assignment is a store's answer to a member of the group.
type Assignment struct {
	Era        uint64 // of the store; rises when it is restored from a copy
	Generation uint64 // of the group; grows with each change of the assignments in an era
	Holds      bool   // the member is assigned the lease
}

// Group is the group whose members may hold the lease.
type Group interface {
	// Join adds this member to the group, or renews its membership, for TTL. The
	// generation is that of its last assignment, 0 on the first call.
	Join(ctx context.Context, generation uint64) (Assignment, error)
	// Leave ends the membership.
	Leave(ctx context.Context) error
}

// Lease is this daemon's part in the lease. The member to which the group assigns it
// holds it until TTL after it sent its last renewal, on a clock that also runs while
// the VM is suspended. Another member gets it only after that time, or once this member
// has learned that it lost the lease. A new holder waits for handover before its first
// order, so that orders of two holders are at least that far apart.
type Lease struct {
	group    Group
	handover time.Duration // wait of a new holder before its first order
	recorder event.Recorder
	unfit    func() bool // reports whether this daemon can't reach engines
	spare    func() bool // reports whether enough others may hold the lease; nil: false

	callMu sync.Mutex // held during a call to the store, so that no renewal follows Leave

	mu         sync.Mutex
	left       bool   // Leave was called: the lease is not taken any more
	era        uint64 // of the store in the last answer
	generation uint64
	token      uint64            // fencing token, see Assignment.Token; 0: not held
	refused    uint64            // highest token that an engine refused as outdated
	outdated   bool              // the present generation gives no newer token than refused
	joinedAt   freshness.Instant // when the last successful renewal was sent
	validFrom  freshness.Instant // earliest instant for orders
	validUntil freshness.Instant // orders must be sent before this instant
}

// New returns a lease that is not held. A new holder waits for handover before its first
// order. A daemon holds no lease while unfit reports that it can't reach engines.
func New(g Group, handover time.Duration, unfit func() bool, r event.Recorder) *Lease {
	return &Lease{group: g, handover: handover, recorder: r, unfit: unfit}
}

// SetSpare sets the function that reports whether enough other daemons may hold the lease.
// Then this one lets its membership lapse, unless it holds the lease. It must be called
// before Run.
func (l *Lease) SetSpare(spare func() bool) { l.spare = spare }

// isSpare reports whether this daemon need not be a member.
func (l *Lease) isSpare() bool { return l.spare != nil && !l.Held() && l.spare() }

// Token implements rollout.Lease. It returns the fencing token and whether orders
// may be given now.
func (l *Lease) Token() (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := freshness.Now()
	return l.token, l.token != 0 && now >= l.validFrom && now < l.validUntil
}

// Held reports whether orders may be given now.
func (l *Lease) Held() bool {
	_, held := l.Token()
	return held
}

// ValidFrom returns the earliest instant at which this daemon may give orders in its
// latest tenure.
func (l *Lease) ValidFrom() freshness.Instant {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.validFrom
}

// Run renews the membership until ctx ends. The periods are jittered.
func (l *Lease) Run(ctx context.Context) {
	for ctx.Err() == nil {
		l.Renew(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(renewPeriod - renewPeriod/8 + rand.N(renewPeriod/4)):
		}
	}
}

// Leave releases the lease and stops its renewal for good, so that another VM
// gets it at once.
func (l *Lease) Leave() {
	l.mu.Lock()
	l.token, l.left = 0, true
	l.mu.Unlock()
	l.callMu.Lock()
	defer l.callMu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := l.group.Leave(ctx); err != nil {
		l.recorder.Record(event.Event{ID: event.OrdersReleased, Step: "leave", Err: err})
	}
}

// Renew joins the group or renews the membership once, and updates the lease.
func (l *Lease) Renew(ctx context.Context) {
	l.callMu.Lock()
	defer l.callMu.Unlock()
	switch {
	case l.hasLeft() || l.isSpare():
		return
	case l.unfit() || l.isOutdated():
		l.release(ctx)
		return
	}
	sent := freshness.Now()
	a, err := l.group.Join(ctx, l.generation)
	if err != nil {
		return // the lease expires without a renewal; the followers record the outage of the store
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	restored := l.era != 0 && a.Era != l.era
	if restored || l.mayHaveLapsed(a, freshness.Now()) {
		l.markLost()
	}
	l.era, l.generation = a.Era, a.Generation
	l.joinedAt, l.validUntil = sent, sent.Add(TTL-Margin)
	if !a.Holds {
		l.markLost()
		return
	}
	if l.token == 0 && !l.left {
		l.take(a.Token(), restored)
	}
}

// take takes the lease with a token, unless an engine has refused it or a newer one.
// l.mu is held.
func (l *Lease) take(token uint64, restored bool) {
	if token <= l.refused {
		l.outdated = true
		return
	}
	l.token = token
	l.validFrom = freshness.Now().Add(l.handoverWait(restored))
	l.recorder.Record(event.Event{ID: event.OrdersHeld, Step: "join", Detail: "token " + strconv.FormatUint(l.token, 10)})
}

// Refused implements rollout.Lease. The daemon leaves the group with the next renewal,
// so that another member gets the lease, or this one in a later generation.
func (l *Lease) Refused(token uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if token != l.token {
		return // an order of an earlier tenure
	}
	l.refused, l.outdated = token, true
	l.recorder.Record(event.Event{ID: event.OrdersOutdated, Step: "order", Detail: "token " + strconv.FormatUint(token, 10)})
	l.markLost()
}

// hasLeft reports whether Leave was called.
func (l *Lease) hasLeft() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.left
}

// isOutdated reports whether the lease can only be taken in a later generation.
func (l *Lease) isOutdated() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.outdated
}

// changesOfATurn is the least number of changes of the assignments in which a member
// loses the lease and gets it back.
const changesOfATurn = 2

// mayHaveLapsed reports whether the membership may have lapsed since the last
// successful renewal and another member held the lease, although a assigns it to this
// one again. l.mu is held.
func (l *Lease) mayHaveLapsed(a Assignment, now freshness.Instant) bool {
	changed := a.Generation < l.generation || a.Generation >= l.generation+changesOfATurn
	return changed && now.Sub(l.joinedAt) >= TTL
}

// release gives up the membership while this daemon is unfit or its token outdated, so
// that another one gives orders. It does nothing if the daemon is no member.
func (l *Lease) release(ctx context.Context) {
	l.mu.Lock()
	member := l.generation != 0
	l.generation, l.outdated = 0, false
	l.markLost()
	l.mu.Unlock()
	if !member {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := l.group.Leave(ctx); err != nil {
		l.recorder.Record(event.Event{ID: event.OrdersReleased, Step: "leave", Err: err})
	}
}

// generationBits is the number of bits of a token that hold the generation.
const generationBits = 32

// Token returns the fencing token of a holder to which a assigns the lease: the
// generation, below the era of the store, which gives out generations again when it
// is restored from a copy.
func (a Assignment) Token() uint64 { return a.Era<<generationBits | a.Generation }

// handoverWait returns the wait before the first order. A store that was restored may
// assign the lease while its former holder doesn't know yet that it lost it.
func (l *Lease) handoverWait(restored bool) time.Duration {
	if restored {
		return max(l.handover, TTL)
	}
	return l.handover
}

// markLost records the loss of the lease if it was held. l.mu is held.
func (l *Lease) markLost() {
	if l.token == 0 {
		return
	}
	l.token = 0
	l.recorder.Record(event.Event{ID: event.OrdersReleased, Step: "join"})
}
