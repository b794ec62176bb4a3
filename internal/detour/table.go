// Package detour sends requests to upstreams through other daemons while this daemon
// does not reach the upstreams itself.
package detour

import (
	"sync"
	"time"
)

// Way is how a request reaches an upstream.
type Way uint8

// Ways.
const (
	Own   Way = iota // a connection of this daemon's own
	Peers            // a connection through another daemon
)

const (
	// cutEvidence is the number of upstreams that other daemons reach and this one
	// doesn't from which this daemon counts as cut off from all.
	cutEvidence = 3
	// peersFor is the time since a connection through another daemon for which an
	// upstream is reached so without a try of the own way.
	peersFor = 10 * time.Second
	// refusedFor is the time for which other daemons are not asked again about an
	// upstream whose port refuses connections to them, too.
	refusedFor = 500 * time.Millisecond
	// maxAddresses bounds the upstreams that are remembered.
	maxAddresses = 4096
)

// Table knows which upstreams this daemon reaches only through others. It does no I/O
// and is safe for concurrent use. Callers pass the time.
type Table struct {
	mu        sync.Mutex
	addresses map[string]*reach
	cut       bool
}

// reach is what is known about the ways to an upstream.
type reach struct {
	ownFailed bool      // the latest own try failed
	peersAt   time.Time // a connection through another daemon was opened since
	refusedAt time.Time // another daemon's connection was refused
}

// NewTable returns a Table for which all upstreams are reached.
func NewTable() *Table { return &Table{addresses: make(map[string]*reach)} }

// Way returns the way to try first.
func (t *Table) Way(address string, now time.Time) Way {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.addresses[address]
	if t.cutOff(now) || (r != nil && r.needsPeers(now)) {
		return Peers
	}
	return Own
}

// needsPeers reports whether the upstream is known to be reached only through others.
func (r *reach) needsPeers(now time.Time) bool {
	return r.ownFailed && !r.peersAt.IsZero() && now.Sub(r.peersAt) < peersFor
}

// MayAsk reports whether other daemons should be asked for a connection.
func (t *Table) MayAsk(address string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.addresses[address]
	return r == nil || r.refusedAt.IsZero() || now.Sub(r.refusedAt) >= refusedFor
}

// OwnFailed records that no connection of this daemon's own was established.
func (t *Table) OwnFailed(address string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.of(address, now).ownFailed = true
}

// OwnWorked records that one was. A daemon that was cut off tries all upstreams itself
// again. The result reports whether the end of the cut shows in this.
func (t *Table) OwnWorked(address string, now time.Time) (healed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	healed = t.cutOff(now)
	if healed {
		t.cut = false
		clear(t.addresses)
		return true
	}
	if r := t.addresses[address]; r != nil && !r.ownFailed {
		return false
	}
	delete(t.addresses, address)
	return false
}

// PeersWorked records that another daemon opened a connection. The result reports
// whether this daemon counts as cut off since.
func (t *Table) PeersWorked(address string, now time.Time) (cut bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.of(address, now)
	r.peersAt, r.refusedAt = now, time.Time{}
	if t.cutOff(now) {
		return false
	}
	t.cut = t.marked(now) >= cutEvidence
	return t.cut
}

// PeersRefused records that the upstream refuses the connections of others, too: its
// process has ended.
func (t *Table) PeersRefused(address string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.of(address, now)
	r.refusedAt, r.peersAt = now, time.Time{}
}

// CutOff reports whether this daemon reaches no upstreams itself and others do.
func (t *Table) CutOff(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cutOff(now)
}

// cutOff is CutOff, which ends without recent connections through others.
func (t *Table) cutOff(now time.Time) bool {
	t.cut = t.cut && t.marked(now) > 0
	return t.cut
}

// marked returns the number of upstreams that are reached only through others.
func (t *Table) marked(now time.Time) int {
	n := 0
	for _, r := range t.addresses {
		if r.needsPeers(now) {
			n++
		}
	}
	return n
}

// Marked returns the upstreams that are reached only through others.
func (t *Table) Marked(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for address, r := range t.addresses {
		if r.needsPeers(now) {
			out = append(out, address)
		}
	}
	return out
}

// of returns what is known about an upstream. It forgets others if there are too many.
func (t *Table) of(address string, now time.Time) *reach {
	if r := t.addresses[address]; r != nil {
		return r
	}
	if len(t.addresses) >= maxAddresses {
		for other, r := range t.addresses {
			if !r.needsPeers(now) {
				delete(t.addresses, other)
			}
		}
	}
	r := &reach{}
	t.addresses[address] = r
	return r
}
