package membership

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"currantpulley/internal/backing"
	pb "currantpulley/internal/control/membership/membershippb"
	"currantpulley/internal/event"
	"currantpulley/internal/fleet"
	"currantpulley/internal/rendezvous"
)

// member holds what this daemon knows about another VM.
type member struct {
	vm            fleet.VM
	listed        bool      // contained in the platform's latest list
	listedLeaving bool      // marked as leaving in the platform's latest list
	since         time.Time // start of the current state
	digest        uint32    // of that VM's view, as it last reported
}

// machine holds the protocol's state. It does no I/O and reads no clock: its
// methods are given the time and return the messages to send.
type machine struct {
	opts        Options
	self        fleet.VM
	members     map[string]*member // all VMs but self
	queue       *queue
	plan        plan
	rand        *rand.Rand
	health      int // Lifeguard's local health score; 0 is best
	dataCentres map[string]*reachability
	lastTick    time.Time
	// forgottenAddresses holds the addresses of VMs dropped since the view was
	// last published.
	forgottenAddresses []string
	cursor             string // name after which the next page to sync begins
	changed            bool
	digest             uint32
	digestValid        bool // digest matches the current view
}

func newMachine(opts Options, now time.Time) *machine {
	m := &machine{
		opts:        opts,
		self:        opts.Self,
		members:     make(map[string]*member),
		queue:       newQueue(),
		rand:        rand.New(rand.NewPCG(opts.Seed, rendezvous.Hash(opts.Self.Name))),
		dataCentres: make(map[string]*reachability),
		lastTick:    now,
		changed:     true,
	}
	m.self.State = fleet.Alive
	m.queue.add(update(m.self), 1)
	m.applyList(now, opts.Seeds)
	return m
}

// applyList applies the platform's VM list. The list lags, so it only adds VMs
// and sets a VM to leaving when the list begins to mark it so; the VM itself
// can refute that.
func (m *machine) applyList(now time.Time, vms []backing.ListedVM) {
	named := make(map[string]bool, len(vms))
	for _, l := range vms {
		if l.Name == m.self.Name || l.Name == "" {
			continue
		}
		named[l.Name] = true
		m.applyListed(now, l)
	}
	for name, mb := range m.members {
		mb.listed = named[name]
	}
}

// applyListed applies one entry of the platform's VM list.
func (m *machine) applyListed(now time.Time, l backing.ListedVM) {
	mb, ok := m.members[l.Name]
	if !ok {
		vm := fleet.VM{Name: l.Name, PeerAddress: l.PeerAddress, DataCentre: l.DataCentre}
		mb = &member{vm: vm, since: now}
		m.members[l.Name] = mb
		m.invalidate()
	}
	if mb.vm.Incarnation == 0 && mb.vm.PeerAddress != l.PeerAddress {
		mb.vm.PeerAddress = l.PeerAddress
		m.invalidate()
	}
	if l.Leaving && !mb.listedLeaving && mb.vm.State < fleet.Leaving {
		m.setState(now, mb, fleet.Leaving, "the platform's list marks it as leaving")
	}
	mb.listedLeaving = l.Leaving
}

// applyGossip applies an update that arrived by gossip and reports whether it
// was new.
func (m *machine) applyGossip(now time.Time, u *pb.Update) bool { return m.applyUpdate(now, u, true) }

// applyUpdate applies one update and reports whether it was new. With
// disseminate false it doesn't queue a VM that was unknown until now for
// gossip, as when the VM was found in a page of a peer's view.
func (m *machine) applyUpdate(now time.Time, u *pb.Update, disseminate bool) bool {
	if u.GetName() == m.self.Name {
		return m.applySelf(u)
	}
	vm := fromUpdate(u)
	mb, ok := m.members[vm.Name]
	if !ok {
		return m.addMember(now, vm, disseminate)
	}
	if !supersedes(vm, mb.vm) {
		m.queue.countKnown(u)
		return false
	}
	before := mb.vm
	mb.vm, mb.since = vm, now
	m.invalidate()
	if disseminate || before.Incarnation > 0 {
		m.queue.add(u, m.size())
	}
	m.report(before, vm, "reported by peers")
	return true
}

// supersedes reports whether an update about a VM overrides the known entry.
func supersedes(incoming, known fleet.VM) bool {
	if incoming.Incarnation != known.Incarnation {
		return incoming.Incarnation > known.Incarnation
	}
	return incoming.State > known.State
}

// addMember adds a VM that was unknown until now and reports whether it did so.
// Dead VMs and empty names are ignored.
func (m *machine) addMember(now time.Time, vm fleet.VM, disseminate bool) bool {
	if vm.State == fleet.Dead || vm.Name == "" {
		return false
	}
	m.members[vm.Name] = &member{vm: vm, since: now}
	m.invalidate()
	if disseminate {
		m.queue.add(update(vm), m.size())
	}
	m.opts.Recorder.Record(event.Event{ID: event.MemberJoined, Peer: vm.Name, Detail: "in data centre " + vm.DataCentre})
	return true
}

// applySelf refutes an update that misstates this VM's state or incarnation, by
// announcing a higher incarnation. It reports whether it did so.
func (m *machine) applySelf(u *pb.Update) bool {
	theirs := fromUpdate(u)
	if theirs.Incarnation < m.self.Incarnation {
		return false
	}
	same := theirs.Incarnation == m.self.Incarnation && theirs.State <= m.self.State
	if same && theirs.State != fleet.Suspect {
		return false
	}
	m.self.Incarnation = theirs.Incarnation + 1
	m.announceSelf()
	m.opts.Recorder.Record(event.Event{
		ID:     event.SelfRefuted,
		Detail: fmt.Sprintf("peers regarded this VM as %s; incarnation is now %d", theirs.State, m.self.Incarnation),
	})
	return true
}

// announceSelf queues this VM's own entry for gossip.
func (m *machine) announceSelf() {
	m.invalidate()
	m.queue.add(update(m.self), m.size())
}

// setSite sets the site of this VM once its configuration is known.
func (m *machine) setSite(site string) {
	if m.self.Site == site {
		return
	}
	m.self.Site = site
	m.self.Incarnation++
	m.announceSelf()
}

// leave sets this VM to leaving until the process ends.
func (m *machine) leave() {
	if m.self.State == fleet.Leaving {
		return
	}
	m.self.State = fleet.Leaving
	m.self.Incarnation++
	m.announceSelf()
}

// receive applies a peer's gossip.
func (m *machine) receive(now time.Time, g *pb.Gossip) {
	for _, u := range g.GetUpdates() {
		m.applyGossip(now, u)
	}
	if g.GetUnknownPeer() {
		m.queue.add(update(m.self), m.size())
	}
	mb, ok := m.members[g.GetFrom()]
	if !ok || g.GetIncarnation() < mb.vm.Incarnation {
		return
	}
	mb.digest = g.GetDigest()
	m.recordReach(now, mb.vm.DataCentre, true)
	m.opts.OnVersion(g.GetFrom(), g.GetVersion(), now)
}

// gossip builds the gossip for a message to the VM named to. The incarnation is
// the receiver's, as far as the caller knows it.
func (m *machine) gossip(to string, incarnation uint64) *pb.Gossip {
	g := &pb.Gossip{
		From:        m.self.Name,
		Incarnation: m.self.Incarnation,
		Version:     m.opts.Version(),
		Site:        m.self.Site,
		Digest:      m.viewDigest(),
		Updates:     m.queue.nextBatch(maxUpdates),
	}
	mb, known := m.members[to]
	g.UnknownPeer = !known || mb.vm.Incarnation == 0 || incarnation > mb.vm.Incarnation
	if known && mb.vm.Incarnation > 0 && (mb.vm.State == fleet.Suspect || mb.vm.State == fleet.Dead) {
		g.Updates = append(g.Updates, update(mb.vm)) // lets the receiver refute it at once
	}
	return g
}

// setState changes the state of mb at its current incarnation and queues the
// change for gossip.
func (m *machine) setState(now time.Time, mb *member, state fleet.State, why string) {
	before := mb.vm
	mb.vm.State, mb.since = state, now
	m.invalidate()
	m.queue.add(update(mb.vm), m.size())
	m.report(before, mb.vm, why)
}

// recordProbe applies the result of a probe, direct or indirect.
func (m *machine) recordProbe(now time.Time, name string, ok bool) {
	mb, known := m.members[name]
	if !known {
		return
	}
	m.recordReach(now, mb.vm.DataCentre, ok)
	if ok {
		m.health = max(m.health-1, 0)
		return
	}
	m.health = min(m.health+1, maxHealth)
	switch mb.vm.State {
	case fleet.Alive:
		m.setState(now, mb, fleet.Suspect, "no answer to a probe")
	case fleet.Leaving:
		m.setState(now, mb, fleet.Dead, "no answer to a probe after leaving")
	case fleet.Suspect, fleet.Dead:
	}
}

// expire declares suspects dead after the suspicion timeout and drops dead VMs
// that the platform's list doesn't contain.
func (m *machine) expire(now time.Time) {
	timeout := m.suspicionTimeout()
	for name, mb := range m.members {
		age := now.Sub(mb.since)
		switch {
		case mb.vm.State == fleet.Suspect && age >= timeout:
			m.setState(now, mb, fleet.Dead, "did not refute the suspicion in time")
		case mb.vm.State == fleet.Dead && !mb.listed && age >= m.opts.ForgetAfter:
			delete(m.members, name)
			m.forgottenAddresses = append(m.forgottenAddresses, mb.vm.PeerAddress)
			m.invalidate()
			m.opts.Recorder.Record(event.Event{ID: event.MemberForgotten, Peer: name})
		}
	}
}

// suspicionTimeout returns the time that a suspect has to refute. It grows with
// the logarithm of the fleet's size, as does the time in which gossip reaches
// all VMs, and with the local health score.
func (m *machine) suspicionTimeout() time.Duration {
	scale := math.Max(1, math.Log10(float64(m.size())))
	return time.Duration(float64(m.opts.SuspicionTimeout) * scale * float64(1+m.health))
}

// compensatePause shifts all deadlines by the time for which this process was
// paused, so that the pause alone doesn't declare other VMs dead.
func (m *machine) compensatePause(now time.Time) {
	gap := now.Sub(m.lastTick)
	if gap < pauseFactor*m.opts.ProbePeriod {
		return
	}
	for _, mb := range m.members {
		mb.since = mb.since.Add(gap)
	}
	for _, r := range m.dataCentres {
		r.since = r.since.Add(gap)
	}
	m.opts.Recorder.Record(event.Event{ID: event.ProcessPaused, Detail: gap.Round(time.Millisecond).String()})
}

// size returns the number of known VMs, this one included.
func (m *machine) size() int { return len(m.members) + 1 }

// invalidate marks everything derived from the view as out of date.
func (m *machine) invalidate() { m.changed, m.digestValid, m.plan.stale = true, false, true }

// view returns the current view, sorted by name.
func (m *machine) view() fleet.View {
	vms := make([]fleet.VM, 0, m.size())
	vms = append(vms, m.self)
	for _, mb := range m.members {
		vms = append(vms, mb.vm)
	}
	slices.SortFunc(vms, func(a, b fleet.VM) int { return cmp.Compare(a.Name, b.Name) })
	return fleet.View{Self: m.self.Name, VMs: vms}
}

// viewDigest hashes the part of the view on which daemons should agree. It
// leaves out suspicion, which resolves by itself, and dead VMs, which daemons
// drop at different times.
func (m *machine) viewDigest() uint32 {
	if m.digestValid {
		return m.digest
	}
	h := fnv.New32a()
	for _, vm := range m.view().VMs {
		if vm.State == fleet.Dead || vm.Incarnation == 0 {
			continue
		}
		_, _ = fmt.Fprintf(h, "%s %d %t\n", vm.Name, vm.Incarnation, vm.State == fleet.Leaving)
	}
	m.digest, m.digestValid = h.Sum32(), true
	return m.digest
}

// report records the event for a change of a VM's state.
func (m *machine) report(before, after fleet.VM, why string) {
	id := event.MemberJoined
	switch after.State {
	case fleet.Suspect:
		id = event.MemberSuspected
	case fleet.Leaving:
		id = event.MemberLeaving
	case fleet.Dead:
		id = event.MemberDied
	case fleet.Alive:
		if before.State == fleet.Suspect {
			id = event.MemberRefuted
		}
	}
	if before.State == after.State {
		return
	}
	m.opts.Recorder.Record(event.Event{ID: id, Peer: after.Name, Detail: why})
}
