// Package holdoff knows which upstreams asked in their responses for no further
// requests: for good, because they shut down, or for a time, by a rejection with
// Retry-After. What one daemon was told binds only that daemon.
//
// The package does no I/O. Callers pass the time, always from freshness.Time.
package holdoff

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// MaxPause bounds the time for which an upstream gets no requests because of one
	// response. An upstream in error that asks for more is tried again then.
	MaxPause = 5 * time.Minute
	// leavingKept is the time since the latest response that says so for which an
	// upstream counts as leaving. It exceeds the time that any upstream takes to end.
	leavingKept = time.Hour
	// maxUpstreams bounds the memory. It is larger than the number of upstreams.
	maxUpstreams = 4096
)

// State is whether an upstream may get requests.
type State uint8

// States of an upstream.
const (
	Open    State = iota
	Paused        // it wants no requests for a time
	Leaving       // it shuts down and gets no further requests
)

// Notice is what an upstream asked for in one response.
type Notice struct {
	Upstream uint32        // short id of the upstream's key
	Leaving  bool          // it shuts down and wants no further requests
	Pause    time.Duration // from now on in which it wants none; 0: no pause
}

// Change tells that an upstream asked for no requests.
type Change struct {
	Upstream uint32 // short id of the upstream's key
	State    State
	For      time.Duration // of a pause
}

// Table holds what upstreams asked for. It is safe for concurrent use.
type Table struct {
	onChange func(Change)
	size     atomic.Int64 // of upstreams

	mu        sync.Mutex
	upstreams map[uint32]entry // by short id of the upstream's key
	malformed map[uint32]bool  // upstreams whose requests can't be understood, by short id
}

// entry is what one upstream asked for.
type entry struct {
	state State
	until time.Time // at which state ends
}

// New returns a Table that knows of no upstream. It calls onChange, if that isn't nil,
// when an upstream that was open asks for no requests, or a paused one leaves.
func New(onChange func(Change)) *Table {
	if onChange == nil {
		onChange = func(Change) {}
	}
	return &Table{onChange: onChange, upstreams: make(map[uint32]entry), malformed: make(map[uint32]bool)}
}

// Record records what an upstream asked for. Leaving can't be taken back: an upstream
// that starts again has another key. Of a pause at most MaxPause counts, and it is never
// shortened, as responses may overtake each other.
func (t *Table) Record(n Notice, now time.Time) {
	switch {
	case n.Leaving:
		t.set(n.Upstream, entry{Leaving, now.Add(leavingKept)}, now)
	case n.Pause > 0:
		t.set(n.Upstream, entry{Paused, now.Add(min(n.Pause, MaxPause))}, now)
	}
}

// Malformed records that an upstream asked for a pause in a form that can't be
// understood, and reports whether it did so for the first time.
func (t *Table) Malformed(upstream uint32) (first bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.malformed[upstream] {
		return false
	}
	if len(t.malformed) >= maxUpstreams {
		clear(t.malformed)
	}
	t.malformed[upstream] = true
	return true
}

// set records what an upstream asked for, unless it is bound by more.
func (t *Table) set(upstream uint32, e entry, now time.Time) {
	t.mu.Lock()
	known := t.at(upstream, now)
	if known.state > e.state || known.state == e.state && !e.until.After(known.until) {
		t.mu.Unlock()
		return
	}
	if len(t.upstreams) >= maxUpstreams {
		t.shrink(now)
	}
	t.upstreams[upstream] = e
	t.size.Store(int64(len(t.upstreams)))
	t.mu.Unlock()
	if known.state != e.state {
		t.onChange(Change{Upstream: upstream, State: e.state, For: e.until.Sub(now)})
	}
}

// at returns what holds for an upstream at now.
func (t *Table) at(upstream uint32, now time.Time) entry {
	if e := t.upstreams[upstream]; now.Before(e.until) {
		return e
	}
	return entry{}
}

// shrink forgets what no longer holds and, if that is not enough, what ends first.
func (t *Table) shrink(now time.Time) {
	maps.DeleteFunc(t.upstreams, func(_ uint32, e entry) bool { return !now.Before(e.until) })
	if len(t.upstreams) < maxUpstreams {
		return
	}
	all := slices.Collect(maps.Keys(t.upstreams))
	first := slices.MinFunc(all, func(a, b uint32) int { return t.upstreams[a].until.Compare(t.upstreams[b].until) })
	delete(t.upstreams, first)
}

// State returns whether an upstream may get requests, and until when that holds if it
// is paused.
func (t *Table) State(upstream uint32, now time.Time) (s State, until time.Time) {
	if t.size.Load() == 0 {
		return Open, time.Time{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.at(upstream, now)
	return e.state, e.until
}
