package balance

import (
	"fmt"
	"strings"
	"time"

	"currantpulley/internal/catalog"
	"currantpulley/internal/holdoff"
)

// Bar is the reason for which an upstream may not get a request now.
type Bar uint8

// Bars, in the order in which they are checked.
const (
	NoBar      Bar = iota
	Replaced       // it has ended, and another one has its address
	Leaving        // it shuts down
	OtherBuild     // it runs another build than the one that began the stream
	Paused         // it asked for a pause
	Limited        // its limit is used up
	Tried          // it, or another one at its address, got the request before
	Full           // it is brittle and may have no room
	Outdated       // its weights are too old
	barCount
)

// barNames are the names of bars in logs.
var barNames = [barCount]string{"", "replaced", "leaving", "of another build", "paused", "at their limit", "tried", "full", "with old weights"}

// String returns the bar's name in logs; empty for NoBar.
func (b Bar) String() string { return barNames[b] }

// Barred counts the upstreams of a service that may not get a request, by reason.
type Barred struct {
	counts [barCount]int
	room   bool          // it is known when one of them may get the request
	roomIn time.Duration // time until then
}

// add counts an upstream.
func (b *Barred) add(bar Bar) { b.counts[bar]++ }

// addRoom records that an upstream may get the request after d.
func (b *Barred) addRoom(d time.Duration) {
	if !b.room || d < b.roomIn {
		b.room, b.roomIn = true, max(0, d)
	}
}

// String describes the counts for a log.
func (b *Barred) String() string {
	var parts []string
	for bar, n := range b.counts {
		if n > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", n, barNames[bar]))
		}
	}
	if len(parts) == 0 {
		return "no upstreams"
	}
	return "upstreams: " + strings.Join(parts, ", ")
}

// RoomIn returns the time until the first upstream may get the request: the end of a pause,
// of a rejection or of a load of weights, or the next request of a limit. It returns false
// if that isn't known of any.
func (b *Barred) RoomIn() (time.Duration, bool) { return b.roomIn, b.room }

// filter reports why u may not get w now, and until when it is paused. An upstream
// that is brittle and may have no room is returned as risky if the request may be sent
// there all the same. s is u's state.
func (b *Balancer) filter(snap *catalog.Snapshot, w *Work, u *catalog.Upstream, s *upstreamState, now time.Time) (bar Bar, pauseTo time.Time, risky bool) {
	bar, pauseTo = b.barFor(snap, w, u, now)
	switch {
	case bar != NoBar:
		return bar, pauseTo, false
	case w.wasTried(u):
		return Tried, pauseTo, false
	case b.hasRoom(u, s, now):
		return NoBar, pauseTo, false
	case b.mayRisk(u, now):
		return NoBar, pauseTo, true
	}
	return Full, pauseTo, false
}

// barFor is filter without regard to room and to whether u got w before.
func (b *Balancer) barFor(snap *catalog.Snapshot, w *Work, u *catalog.Upstream, now time.Time) (bar Bar, pauseTo time.Time) {
	if snap.IsReplaced(u) {
		return Replaced, time.Time{}
	}
	if u.Leaving {
		return Leaving, time.Time{}
	}
	if w.Build != 0 && u.Build() != w.Build {
		return OtherBuild, time.Time{}
	}
	switch state, until := b.holdoffs.State(u.ShortID(), now); state {
	case holdoff.Leaving:
		return Leaving, time.Time{}
	case holdoff.Paused:
		return Paused, until
	case holdoff.Open:
	}
	if !b.limits.Available(u.ShortID(), now) {
		return Limited, time.Time{}
	}
	return NoBar, time.Time{}
}

// WhyBarred counts the upstreams of w's service by the reason for which they may not get
// it, and tells when one of them may.
func (b *Balancer) WhyBarred(snap *catalog.Snapshot, w *Work, now time.Time) *Barred {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := &Barred{}
	all := snap.UpstreamsOf(w.Service)
	t, aff := b.timingOf(w.Service), b.affinity(snap, all, w, now)
	for _, u := range all {
		s := b.stateOf(u.Key(), now)
		bar, pauseTo, _ := b.filter(snap, w, u, s, now)
		if bar == NoBar {
			if _, ok := b.scoreUpstream(&Pick{}, snap, w, u, t, aff, now); ok {
				out.addRoom(s.unavailableFor(now))
				continue
			}
			bar = Outdated
		}
		out.add(bar)
		switch bar {
		case Paused:
			out.addRoom(pauseTo.Sub(now))
		case Limited:
			out.addRoom(b.limits.Interval(u.ShortID()))
		case Full:
			if full := s.fullUntil.Sub(now); full > 0 {
				out.addRoom(full)
			}
		default:
		}
	}
	return out
}
