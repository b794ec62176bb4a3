package branches

import (
	"currantpulley/internal/control/broadcast"
	"currantpulley/internal/fleet"
	"currantpulley/internal/placement/branches"
)

const (
	maxDirectDaemons = 16   // largest number of daemons in a site at which each sends directly to all others
	siteBudget       = 96   // facts that all daemons of a site together send per period
	maxQueue         = 4096 // received facts that wait to be forwarded
)

// queuedFact is a fact to send at the levels of the tree from firstLevel on.
type queuedFact struct {
	fact       branches.Fact
	firstLevel int
}

// message is a batch of facts for one peer.
type message struct {
	vm    fleet.VM
	level int // from which on the peer forwards the facts
	facts []branches.Fact
}

// machine holds the state of Branches. It does no I/O and reads no clock.
type machine struct {
	site  string
	self  string
	vms   []fleet.VM // other live VMs of the site
	ring  broadcast.Ring
	queue []queuedFact
}

// setView sets the view of the fleet.
func (m *machine) setView(view fleet.View) {
	m.site, m.vms, m.self = "", nil, view.Self
	self, ok := view.Find(view.Self)
	if !ok || self.Site == "" {
		return
	}
	m.site = self.Site
	for _, vm := range view.VMs {
		if vm.Site == m.site && vm.State == fleet.Alive && vm.Name != m.self {
			m.vms = append(m.vms, vm)
		}
	}
	m.ring = broadcast.NewRing(m.vms, m.self)
}

// budget returns the number of new facts that this daemon may send per period.
func (m *machine) budget() int { return max(1, siteBudget/(len(m.vms)+1)) }

// direct reports whether daemons send facts directly to all others.
func (m *machine) direct() bool { return len(m.vms) < maxDirectDaemons }

// messages returns the messages with new facts and queued ones, and clears the
// queue.
func (m *machine) messages(newFacts []branches.Fact) []message {
	for _, f := range newFacts {
		m.queue = append(m.queue, queuedFact{fact: f})
	}
	if len(m.queue) == 0 || len(m.vms) == 0 {
		m.queue = nil
		return nil
	}
	defer func() { m.queue = nil }()
	if m.direct() {
		return m.messagesToAll()
	}
	var out []message
	for _, hop := range m.ring.Hops(0) {
		if facts := m.factsForLevel(hop.Level); len(facts) > 0 {
			out = append(out, message{hop.VM, hop.Level + 1, facts})
		}
	}
	return out
}

// messagesToAll returns a message with all queued facts to each other daemon,
// which the receivers don't forward.
func (m *machine) messagesToAll() []message {
	facts := m.factsForLevel(0)
	if len(facts) == 0 {
		return nil
	}
	levels := len(broadcast.Offsets(m.ring.Len()))
	out := make([]message, len(m.vms))
	for i, vm := range m.vms {
		out[i] = message{vm, levels, facts}
	}
	return out
}

// factsForLevel returns the queued facts to send at a level of the tree.
func (m *machine) factsForLevel(level int) []branches.Fact {
	var facts []branches.Fact
	for _, it := range m.queue {
		if it.firstLevel <= level {
			facts = append(facts, it.fact)
		}
	}
	return facts
}

// receive queues facts from a peer for forwarding and reports whether they belong
// to this daemon's site.
func (m *machine) receive(site string, level int, facts []branches.Fact) bool {
	if site == "" || site != m.site {
		return false
	}
	if m.direct() || level >= len(broadcast.Offsets(m.ring.Len())) {
		return true
	}
	for _, f := range facts[:min(len(facts), maxQueue-min(maxQueue, len(m.queue)))] {
		m.queue = append(m.queue, queuedFact{f, max(0, level)})
	}
	return true
}
