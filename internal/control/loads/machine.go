package loads

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"currantpulley/internal/config"
	"currantpulley/internal/control/broadcast"
	"currantpulley/internal/event"
	"currantpulley/internal/fleet"
	"currantpulley/internal/rendezvous"
	"currantpulley/internal/snapshot"
)

const (
	ownedFactor     = 1.1 // maximum number of engines owned by one daemon, relative to the mean
	ownerCandidates = 8   // VMs in rendezvous order that are tried for free capacity
)

// record holds the state of one engine.
type record struct {
	upstream   *config.Upstream
	index      uint32 // in the sorted list of engines
	state      State
	sequence   uint64
	stateCheck uint16 // hash of the state without the load

	// Used by the owner only.
	polling       bool
	nextPoll      time.Time
	lastBroadcast snapshot.Load // load that was last broadcast
	missedPolls   int
	refreshAt     time.Time // when an unchanged load is broadcast again
	notBefore     time.Time // earliest time of the next broadcast of the load
}

// machine holds the state of Loads. It does no I/O and reads no clock.
type machine struct {
	opts       Options
	site       string
	vms        []fleet.VM // live VMs of the site, this one included
	ring       broadcast.Ring
	names      []string // engines, sorted
	dictionary uint32
	records    map[string]*record
	levels     []map[string]bool // names of the engines queued for each level of the tree
	owned      []*record
	changed    bool
}

func newMachine(opts Options) *machine {
	return &machine{
		opts:    opts,
		ring:    broadcast.NewRing(nil, opts.Self),
		records: make(map[string]*record),
	}
}

// setView sets the view of the fleet.
func (m *machine) setView(view fleet.View) {
	m.site, m.vms = siteOf(view)
	m.ring = broadcast.NewRing(m.vms, m.opts.Self)
	m.setDictionary()
	for len(m.levels) < len(broadcast.Offsets(m.ring.Len())) {
		m.levels = append(m.levels, make(map[string]bool))
	}
	m.assign()
}

// setUpstreams sets the upstreams of the configuration in force. The state of an
// engine is kept while its address stays the same.
func (m *machine) setUpstreams(upstreams map[string]*config.Upstream) {
	before := m.records
	m.records = make(map[string]*record, len(upstreams))
	for name, u := range upstreams {
		if u.Kind != config.KindEngine {
			continue
		}
		r, ok := before[name]
		if !ok || r.upstream.Address != u.Address {
			r = &record{state: State{Upstream: name}}
		}
		r.upstream = u
		m.records[name] = r
	}
	m.names = slices.Sorted(maps.Keys(m.records))
	for i, name := range m.names {
		m.records[name].index = uint32(i)
	}
	m.setDictionary()
	m.assign()
	m.changed = true
}

// setDictionary computes the hash of the site and its engines. Daemons with equal
// hashes give each engine the same index.
func (m *machine) setDictionary() {
	d := xxhash.New()
	_, _ = fmt.Fprintln(d, m.site)
	for _, name := range m.names {
		_, _ = fmt.Fprintln(d, name)
	}
	m.dictionary = uint32(d.Sum64())
}

// assign determines the engines that this daemon owns. Each engine goes to the
// first VM in its rendezvous order that has capacity left, so that no daemon
// polls many more engines than the others (consistent hashing with bounded
// loads: Mirrokni, Thorup and Zadimoghaddam, 2018). Daemons with the same view
// reach the same result.
func (m *machine) assign() {
	m.owned = nil
	if len(m.vms) == 0 {
		return
	}
	hashes := make([]uint64, len(m.vms))
	for i, vm := range m.vms {
		hashes[i] = rendezvous.Hash(vm.Name)
	}
	capacity := int(math.Ceil(ownedFactor * float64(len(m.names)) / float64(len(m.vms))))
	assigned := make([]int, len(m.vms))
	for _, name := range m.names {
		i := firstWithCapacity(rendezvous.Top(hashes, rendezvous.Hash(name), ownerCandidates), assigned, capacity)
		assigned[i]++
		if m.vms[i].Name == m.opts.Self {
			m.owned = append(m.owned, m.records[name])
		}
	}
}

// firstWithCapacity returns the first of the ranked VMs with fewer than capacity
// engines, or the first of all if there is none.
func firstWithCapacity(ranked, assigned []int, capacity int) int {
	for _, i := range ranked {
		if assigned[i] < capacity {
			return i
		}
	}
	return ranked[0]
}

// duePolls returns the engines to poll now and marks them as being polled.
func (m *machine) duePolls(now time.Time) []*config.Upstream {
	var due []*config.Upstream
	for _, r := range m.owned {
		if r.polling || now.Before(r.nextPoll) {
			continue
		}
		r.polling = true
		r.nextPoll = now.Add(m.pollPeriod())
		due = append(due, r.upstream)
	}
	return due
}

// pollPeriod returns the time between polls of one engine, with jitter. It grows
// with the number of engines that this daemon owns, to limit the polling of a
// small fleet with many engines.
func (m *machine) pollPeriod() time.Duration {
	period := min(max(time.Duration(len(m.owned))*m.opts.PollInterval, m.opts.PollMin), m.opts.PollMax)
	return time.Duration(float64(period) * (0.9 + 0.2*rand.Float64()))
}

// recordPoll applies the result of a poll and reports whether the state must be
// broadcast at once.
func (m *machine) recordPoll(now time.Time, name string, report Report, err error) (urgent bool) {
	r, ok := m.records[name]
	if !ok {
		return false
	}
	r.polling = false
	if err != nil {
		r.missedPolls++
		r.nextPoll = now.Add(m.opts.PollRetry)
		if r.state.Health == snapshot.Down {
			m.updateLoad(now, r, r.state.Load) // an engine that stays down is refreshed as well
			return false
		}
		if r.missedPolls < m.opts.DownAfter {
			return false
		}
		next := r.state
		next.Health = snapshot.Down
		m.updateState(now, r, next)
		return true
	}
	r.missedPolls = 0
	next := State{
		Upstream:    name,
		Health:      healthOf(report),
		Incarnation: report.Incarnation,
		Weights:     report.Weights,
		Load:        report.Load,
	}
	next.Load.At = now
	if !sameState(r.state, next) {
		m.updateState(now, r, next)
		return true
	}
	m.updateLoad(now, r, next.Load)
	return false
}

// healthOf returns the health of an engine that answered a poll.
func healthOf(r Report) snapshot.Health {
	switch {
	case r.Leaving:
		return snapshot.Leaving
	case r.Loading:
		return snapshot.Loading
	}
	return snapshot.Up
}

// sameState reports whether two states are equal apart from the load.
func sameState(a, b State) bool {
	return a.Health == b.Health && a.Incarnation == b.Incarnation && maps.Equal(a.Weights, b.Weights)
}

// stateCheckOf hashes a state without its load. Each load carries the hash, so
// that a daemon which missed a change, or applied the state of another owner,
// detects this with the next load.
func stateCheckOf(s State) uint16 {
	d := xxhash.New()
	_, _ = fmt.Fprintf(d, "%d %q", s.Health, s.Incarnation)
	for _, model := range slices.Sorted(maps.Keys(s.Weights)) {
		_, _ = fmt.Fprintf(d, " %q %q", model, s.Weights[model])
	}
	return uint16(d.Sum64())
}

// updateState sets a changed state as the owner and queues it for all levels.
func (m *machine) updateState(now time.Time, r *record, next State) {
	r.sequence++
	r.refreshAt = now.Add(m.opts.Refresh)
	r.lastBroadcast = next.Load
	m.setState(r, next)
	m.enqueue(next.Upstream, 0)
}

// updateLoad stores a new load. It queues the load for broadcast if it differs
// enough from the one that was last broadcast, or if a refresh is due.
func (m *machine) updateLoad(now time.Time, r *record, load snapshot.Load) {
	if now.Before(r.notBefore) || (!loadDiffers(r.lastBroadcast, load) && now.Before(r.refreshAt)) {
		m.changed = m.changed || loadDiffers(r.state.Load, load)
		r.state.Load = load
		return
	}
	r.state.Load, r.lastBroadcast = load, load
	r.sequence++
	r.refreshAt, r.notBefore = now.Add(m.opts.Refresh), now.Add(m.minBroadcastPeriod())
	m.changed = true
	m.enqueue(r.state.Upstream, 0)
}

// minBroadcastPeriod returns the shortest time between two broadcasts of one
// engine's load. It grows with the number of engines, which bounds the bytes
// that a daemon sends and receives.
func (m *machine) minBroadcastPeriod() time.Duration {
	rows := time.Duration(len(m.names)*rowBytes) * time.Second / time.Duration(m.opts.Budget)
	return max(rows, m.opts.Cycle) * 9 / 10 // tolerates polls that come slightly early
}

// setState sets a record's state, and records an event if anything but the load
// changed.
func (m *machine) setState(r *record, next State) {
	if !sameState(r.state, next) {
		m.opts.Recorder.Record(event.Event{
			ID:       event.UpstreamStateChanged,
			Upstream: next.Upstream,
			Detail:   fmt.Sprintf("%s, incarnation %q, weights %v", next.Health, next.Incarnation, next.Weights),
		})
	}
	r.state, r.stateCheck = next, stateCheckOf(next)
	m.changed = true
}

// A load is broadcast when a count changed by at least its step and by at least
// loadShare of the larger value.
const (
	rowBytes     = 9   // bytes of one load in a batch
	loadShare    = 0.2 // of the larger value
	requestsStep = 2
	tokensStep   = 1024
	piecesStep   = 16
)

// loadDiffers reports whether two loads differ enough to broadcast the second.
func loadDiffers(a, b snapshot.Load) bool {
	return differsBy(a.Running, b.Running, requestsStep) ||
		differsBy(a.Queued, b.Queued, requestsStep) ||
		differsBy(a.QueuedTokens, b.QueuedTokens, tokensStep) ||
		differsBy(a.CachedPieces, b.CachedPieces, piecesStep) ||
		a.CapacityPieces != b.CapacityPieces
}

// differsBy reports whether two counts differ by at least step and loadShare, or
// whether exactly one of them is 0.
func differsBy(a, b, step int) bool {
	delta := max(a, b) - min(a, b)
	return delta >= step && float64(delta) >= loadShare*float64(max(a, b)) || (delta > 0 && min(a, b) == 0)
}

// enqueue queues an engine for the levels of the tree from first on.
func (m *machine) enqueue(name string, first int) {
	for level := first; level < len(m.levels); level++ {
		m.levels[level][name] = true
	}
}

// states returns the states of all engines as this daemon must treat them. An
// engine that is down by its owner's polls but recently answered this daemon is
// unknown instead, and so still gets requests.
func (m *machine) states(now time.Time) []State {
	out := make([]State, 0, len(m.names))
	for _, name := range m.names {
		s := m.records[name].state
		if s.Health == snapshot.Down && now.Sub(m.opts.LastAnswer(name)) < m.opts.AnswerValidity {
			s.Health = snapshot.Unknown
			m.changed = true // evaluated again, until the answer is too old
		}
		out = append(out, s)
	}
	return out
}
