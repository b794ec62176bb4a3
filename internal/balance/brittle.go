package balance

import (
	"time"

	"currantpulley/internal/catalog"
)

// A replica of a brittle service ends if it has to reject too many requests a second for
// want of room. Daemons know its room only roughly, so a request that may be rejected is
// sent only within an allowance that all daemons share.
const (
	// brittleFor is the time since the latest answer that called the service brittle
	// for which it counts as such.
	brittleFor = 5 * time.Second
	// brittleRoom is the share of an upstream's slots that is used without the
	// allowance. The rest covers what other daemons have sent since their last report.
	brittleRoom = 0.5
	// ownRoomFactor is how many times its part of an upstream's slots a daemon may use,
	// at least one: the others learn late of what it sends.
	ownRoomFactor = 2
	// brittleShare is the share of the rejections that end an upstream which all
	// daemons together risk.
	brittleShare = 0.2
	// fullFor and waitingFor are the times since a rejection, and since an answer that
	// shows waiting requests, for which a brittle upstream counts as full.
	fullFor    = time.Second
	waitingFor = 60 * time.Millisecond
)

// brittleness is what the answers of a service's upstreams say.
type brittleness struct {
	rejections float64 // a second from one upstream, beyond which it ends
	until      time.Time
	ended      map[catalog.Key]bool // upstreams that failed meanwhile
}

// room returns the share of an upstream's slots that is used without the allowance. It
// is the smaller the more upstreams have failed, since their load goes to the others.
func (s brittleness) room() float64 {
	failed := float64(1 + len(s.ended))
	return brittleRoom / (failed * failed)
}

// RecordBrittle records what an answer of u, to a request that was sent at sentAt,
// states: from how many rejections a second an upstream of its service ends; nil: it
// states nothing.
func (b *Balancer) RecordBrittle(u *catalog.Upstream, rejections *float64, sentAt, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known, ok := b.brittle[u.Service]
	switch {
	case rejections != nil:
		if !now.Before(known.until) {
			known = brittleness{}
		}
		known.rejections, known.until = *rejections, now.Add(brittleFor)
		b.brittle[u.Service] = known
	case ok && sentAt.Add(brittleFor).After(known.until): // sent after the latest that did
		delete(b.brittle, u.Service)
	}
}

// hasRoom reports whether a request to u will hardly be rejected, or does no harm if it
// is. s is u's state.
func (b *Balancer) hasRoom(u *catalog.Upstream, s *upstreamState, now time.Time) bool {
	if !b.isBrittle(u.Service, now) {
		return true
	}
	if now.Before(s.fullUntil) {
		return false
	}
	if own := ownRoomFactor * b.risks.Part() * float64(u.Slots); s.own.Requests > 0 && float64(s.own.Requests+1) > own {
		return false
	}
	requests := max(b.workAt(s, 0, now).requests, float64(s.own.Requests)+s.otherRequestsAt(now))
	return requests+1 <= b.brittle[u.Service].room()*float64(u.Slots)
}

// recordEnded records that u failed, if its service is brittle.
func (b *Balancer) recordEnded(u *catalog.Upstream, now time.Time) {
	if !b.isBrittle(u.Service, now) {
		return
	}
	s := b.brittle[u.Service]
	if s.ended == nil {
		s.ended = make(map[catalog.Key]bool)
	}
	s.ended[u.Key()] = true
	b.brittle[u.Service] = s
}

// isBrittle reports whether a service's upstreams are brittle now.
func (b *Balancer) isBrittle(service string, now time.Time) bool {
	return len(b.brittle) > 0 && now.Before(b.brittle[service].until)
}

// mayRisk reports whether this daemon may send a request to u that may be rejected.
func (b *Balancer) mayRisk(u *catalog.Upstream, now time.Time) bool {
	rate := brittleShare * b.brittle[u.Service].rejections
	b.risks.Observe(u.ShortID(), &rate, now, now)
	return b.risks.Available(u.ShortID(), now)
}
