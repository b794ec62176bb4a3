// Package registrar keeps the upstreams of the catalog in line with the entries of a
// registry in which upstreams register themselves. It decides when an upstream whose
// entry is gone is removed, and tells of departures.
package registrar

import (
	"maps"
	"sync"
	"time"

	"currantpulley/internal/catalog"
	"currantpulley/internal/event"
)

const (
	// reregisterTime is the time after an outage of the registry within which
	// upstreams whose entries expired during the outage register again.
	reregisterTime = 2 * time.Second
	// removalGrace is the time for which such an upstream stays in use.
	removalGrace = 1500 * time.Millisecond
	// leftMemory is the time for which an upstream that left is not used again. It is
	// longer than the age of any copy that the registry may be restored from.
	leftMemory = 10 * time.Minute
	// departuresBuffer is the number of departures that may wait to be read.
	departuresBuffer = 64
)

// Registrar applies the changes of entries to a watcher. Its methods must be called
// from one goroutine; the removals that it delays run on their own.
type Registrar struct {
	watcher     *catalog.Watcher
	recorder    event.Recorder
	departures  chan catalog.Key
	recoveredAt time.Time // end of the last outage; zero: there was none

	mu             sync.Mutex
	pendingRemoval map[string]*time.Timer    // by id: entries that expired in an outage and their removal timers
	left           map[catalog.Key]time.Time // upstreams that were leaving when their entry was removed, and when
}

// New returns a registrar that applies changes to w.
func New(w *catalog.Watcher, r event.Recorder) *Registrar {
	return &Registrar{
		watcher: w, recorder: r, departures: make(chan catalog.Key, departuresBuffer),
		pendingRemoval: make(map[string]*time.Timer), left: make(map[catalog.Key]time.Time),
	}
}

// Departures delivers upstreams that drain, and those whose entry was removed while
// the registry was reachable. It leaves out some if they are not read in time.
func (g *Registrar) Departures() <-chan catalog.Key { return g.departures }

// Recovered tells that an outage of the registry has ended, or that it was restored
// from a copy.
func (g *Registrar) Recovered() { g.recoveredAt = time.Now() }

// Put adds or replaces an upstream and cancels its pending removal. An upstream that
// is leaving stays so, and one that has left does not come back: such entries come
// from a registry that was restored from an older copy.
func (g *Registrar) Put(u *catalog.Upstream) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t := g.pendingRemoval[u.ID]; t != nil {
		t.Stop()
		delete(g.pendingRemoval, u.ID)
	}
	if _, ok := g.left[u.Key()]; ok {
		return
	}
	previous := g.watcher.Load().Upstreams[u.ID]
	if previous != nil && previous.Key() == u.Key() {
		u.Leaving = u.Leaving || previous.Leaving
	}
	g.watcher.PutUpstream(u)
	if u.Leaving && (previous == nil || !previous.Leaving) {
		g.announceDeparture(u.Key())
	}
	if previous == nil || previous.Key() != u.Key() || previous.Leaving != u.Leaving {
		g.recorder.Record(event.Event{ID: event.ProviderUpstream, Upstream: u.ID, Step: "apply", Detail: stateOf(u)})
	}
}

// announceDeparture queues the departure of an upstream for the other daemons. It
// drops it if the queue is full: the other daemons read it from the registry a little
// later.
func (g *Registrar) announceDeparture(k catalog.Key) {
	select {
	case g.departures <- k:
	default:
	}
}

// stateOf returns the state, the address and the software version of an upstream
// for events.
func stateOf(u *catalog.Upstream) string {
	state := "ready "
	if u.Leaving {
		state = "leaving "
	}
	return state + u.Address + ", software " + u.Software
}

// RemoveOthers removes all upstreams but those whose id is in present.
func (g *Registrar) RemoveOthers(present map[string]bool) {
	for id := range g.watcher.Load().Upstreams {
		if !present[id] {
			g.Remove(id)
		}
	}
}

// Remove handles the deletion of an entry. Entries expire during an outage of the
// registry although their upstreams are alive, so shortly after an outage the
// upstream is removed only after removalGrace, unless it registers again.
func (g *Registrar) Remove(id string) {
	if u := g.watcher.Load().Upstreams[id]; u != nil && u.Leaving {
		g.recordLeft(u.Key())
	}
	if g.recoveredAt.IsZero() || time.Since(g.recoveredAt) >= reregisterTime {
		if u := g.watcher.Load().Upstreams[id]; u != nil {
			g.announceDeparture(u.Key())
		}
		g.RemoveNow(id)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.watcher.Load().Upstreams[id] != nil && g.pendingRemoval[id] == nil {
		g.pendingRemoval[id] = time.AfterFunc(removalGrace, func() { g.expire(id) })
	}
}

// recordLeft remembers an upstream that was leaving when its entry was removed.
func (g *Registrar) recordLeft(k catalog.Key) {
	g.mu.Lock()
	defer g.mu.Unlock()
	maps.DeleteFunc(g.left, func(_ catalog.Key, at time.Time) bool { return time.Since(at) > leftMemory })
	g.left[k] = time.Now()
}

// expire removes an upstream whose removal is still pending.
func (g *Registrar) expire(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pendingRemoval[id] == nil {
		return
	}
	delete(g.pendingRemoval, id)
	g.RemoveNow(id)
}

// RemoveNow removes an upstream from the watcher and records that.
func (g *Registrar) RemoveNow(id string) {
	if g.watcher.RemoveUpstream(id) {
		g.recorder.Record(event.Event{ID: event.ProviderUpstream, Upstream: id, Step: "apply", Detail: "gone"})
	}
}
