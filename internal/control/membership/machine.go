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

// member is what the machine knows of another VM.
type member struct {
	vm     fleet.VM
	listed bool      // named by the platform's last list
	marked bool      // marked as leaving by the platform's last list
	since  time.Time // of the present state
	digest uint32    // of that VM's view, as it last said
}

// machine is the protocol's state. It does no I/O and reads no clock; each
// method gets the time and returns what is to be sent.
type machine struct {
	opts    Options
	self    fleet.VM
	members map[string]*member // all but self
	queue   *queue
	plan    plan
	rand    *rand.Rand
	health  int // Lifeguard's local health score; 0 is best
	regions map[string]*reach
	ticked  time.Time
	// forgotten are addresses of VMs dropped since the view was last handed out.
	forgotten []string
	cursor    string // name after which the next page is compared
	changed   bool
	digest    uint32
	digestN   bool // digest is up to date
}

func newMachine(opts Options, now time.Time) *machine {
	m := &machine{
		opts:    opts,
		self:    opts.Self,
		members: make(map[string]*member),
		queue:   newQueue(),
		rand:    rand.New(rand.NewPCG(opts.Seed, rendezvous.Hash(opts.Self.Name))),
		regions: make(map[string]*reach),
		ticked:  now,
		changed: true,
	}
	m.self.State = fleet.Alive
	m.queue.add(update(m.self), 1)
	m.list(now, opts.Seeds)
	return m
}

// list takes in the platform's list. It lags, so it only introduces VMs and
// marks those as leaving that it newly names so; the VM itself may object.
func (m *machine) list(now time.Time, vms []backing.ListedVM) {
	named := make(map[string]bool, len(vms))
	for _, l := range vms {
		if l.Name == m.self.Name || l.Name == "" {
			continue
		}
		named[l.Name] = true
		m.listOne(now, l)
	}
	for name, mb := range m.members {
		mb.listed = named[name]
	}
}

func (m *machine) listOne(now time.Time, l backing.ListedVM) {
	mb, ok := m.members[l.Name]
	if !ok {
		vm := fleet.VM{Name: l.Name, PeerAddress: l.PeerAddress, DataCentre: l.DataCentre}
		mb = &member{vm: vm, since: now}
		m.members[l.Name] = mb
		m.touch()
	}
	if mb.vm.Incarnation == 0 && mb.vm.PeerAddress != l.PeerAddress {
		mb.vm.PeerAddress = l.PeerAddress
		m.touch()
	}
	if l.Leaving && !mb.marked && mb.vm.State < fleet.Leaving {
		m.set(now, mb, fleet.Leaving, "named as leaving by the platform's list")
	}
	mb.marked = l.Leaving
}

// apply takes in a rumour and reports whether it was news.
func (m *machine) apply(now time.Time, u *pb.Update) bool { return m.learn(now, u, true) }

// learn takes in one update and reports whether it was news. VMs that were
// first heard of in a page of a peer's view are no rumour to pass on.
func (m *machine) learn(now time.Time, u *pb.Update, rumour bool) bool {
	if u.GetName() == m.self.Name {
		return m.applySelf(u)
	}
	vm := fromUpdate(u)
	mb, ok := m.members[vm.Name]
	if !ok {
		return m.introduce(now, vm, rumour)
	}
	if !supersedes(vm, mb.vm) {
		m.queue.heard(u)
		return false
	}
	before := mb.vm
	mb.vm, mb.since = vm, now
	m.touch()
	if rumour || before.Incarnation > 0 {
		m.queue.add(u, m.size())
	}
	m.report(before, vm, "heard from peers")
	return true
}

// supersedes reports whether news about a VM overrides what is known of it.
func supersedes(news, known fleet.VM) bool {
	if news.Incarnation != known.Incarnation {
		return news.Incarnation > known.Incarnation
	}
	return news.State > known.State
}

func (m *machine) introduce(now time.Time, vm fleet.VM, rumour bool) bool {
	if vm.State == fleet.Dead || vm.Name == "" {
		return false
	}
	m.members[vm.Name] = &member{vm: vm, since: now}
	m.touch()
	if rumour {
		m.queue.add(update(vm), m.size())
	}
	m.opts.Recorder.Record(event.Event{ID: event.MemberJoined, Peer: vm.Name, Detail: "in data centre " + vm.DataCentre})
	return true
}

// applySelf refutes whatever others believe of this VM that is not so.
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
		Detail: fmt.Sprintf("peers held this VM as %s; incarnation is now %d", theirs.State, m.self.Incarnation),
	})
	return true
}

func (m *machine) announceSelf() {
	m.touch()
	m.queue.add(update(m.self), m.size())
}

// setSite records the site of this VM once its configuration is known.
func (m *machine) setSite(site string) {
	if m.self.Site == site {
		return
	}
	m.self.Site = site
	m.self.Incarnation++
	m.announceSelf()
}

// leave makes this VM leaving for the rest of its life.
func (m *machine) leave() {
	if m.self.State == fleet.Leaving {
		return
	}
	m.self.State = fleet.Leaving
	m.self.Incarnation++
	m.announceSelf()
}

// receive takes in a peer's gossip.
func (m *machine) receive(now time.Time, g *pb.Gossip) {
	for _, u := range g.GetUpdates() {
		m.apply(now, u)
	}
	if g.GetUnknownPeer() {
		m.queue.add(update(m.self), m.size())
	}
	mb, ok := m.members[g.GetFrom()]
	if !ok || g.GetIncarnation() < mb.vm.Incarnation {
		return
	}
	mb.digest = g.GetDigest()
	m.reached(now, mb.vm.DataCentre, true)
	m.opts.OnVersion(g.GetFrom(), g.GetVersion(), now)
}

// gossip builds what travels on a message to the VM called to.
func (m *machine) gossip(to string, incarnation uint64) *pb.Gossip {
	g := &pb.Gossip{
		From:        m.self.Name,
		Incarnation: m.self.Incarnation,
		Version:     m.opts.Version(),
		Site:        m.self.Site,
		Digest:      m.viewDigest(),
		Updates:     m.queue.take(maxUpdates),
	}
	mb, known := m.members[to]
	g.UnknownPeer = !known || mb.vm.Incarnation == 0 || incarnation > mb.vm.Incarnation
	if known && mb.vm.Incarnation > 0 && (mb.vm.State == fleet.Suspect || mb.vm.State == fleet.Dead) {
		g.Updates = append(g.Updates, update(mb.vm)) // so that it can refute at once
	}
	return g
}

// set changes the state of mb at its present incarnation and spreads it.
func (m *machine) set(now time.Time, mb *member, state fleet.State, why string) {
	before := mb.vm
	mb.vm.State, mb.since = state, now
	m.touch()
	m.queue.add(update(mb.vm), m.size())
	m.report(before, mb.vm, why)
}

// probed takes in the outcome of a probe, direct or indirect.
func (m *machine) probed(now time.Time, name string, ok bool) {
	mb, known := m.members[name]
	if !known {
		return
	}
	m.reached(now, mb.vm.DataCentre, ok)
	if ok {
		m.health = max(m.health-1, 0)
		return
	}
	m.health = min(m.health+1, maxHealth)
	switch mb.vm.State {
	case fleet.Alive:
		m.set(now, mb, fleet.Suspect, "no answer to a probe")
	case fleet.Leaving:
		m.set(now, mb, fleet.Dead, "no answer after leaving")
	case fleet.Suspect, fleet.Dead:
	}
}

// expire turns suspects into dead and forgets the dead that no list names.
func (m *machine) expire(now time.Time) {
	timeout := m.suspicion()
	for name, mb := range m.members {
		age := now.Sub(mb.since)
		switch {
		case mb.vm.State == fleet.Suspect && age >= timeout:
			m.set(now, mb, fleet.Dead, "suspicion was not refuted")
		case mb.vm.State == fleet.Dead && !mb.listed && age >= m.opts.Forget:
			delete(m.members, name)
			m.forgotten = append(m.forgotten, mb.vm.PeerAddress)
			m.touch()
			m.opts.Recorder.Record(event.Event{ID: event.MemberForgotten, Peer: name})
		}
	}
}

// suspicion grows with the logarithm of the fleet, for rumours take as long
// to reach all, and with the local health score.
func (m *machine) suspicion() time.Duration {
	scale := math.Max(1, math.Log10(float64(m.size())))
	return time.Duration(float64(m.opts.Suspicion) * scale * float64(1+m.health))
}

// resume shifts all deadlines by the time for which this process did not run.
func (m *machine) resume(now time.Time) {
	gap := now.Sub(m.ticked)
	if gap < pauseFactor*m.opts.ProbePeriod {
		return
	}
	for _, mb := range m.members {
		mb.since = mb.since.Add(gap)
	}
	for _, r := range m.regions {
		r.since = r.since.Add(gap)
	}
	m.opts.Recorder.Record(event.Event{ID: event.ProcessPaused, Detail: gap.Round(time.Millisecond).String()})
}

func (m *machine) size() int { return len(m.members) + 1 }

func (m *machine) touch() { m.changed, m.digestN, m.plan.stale = true, false, true }

// view returns the present view.
func (m *machine) view() fleet.View {
	vms := make([]fleet.VM, 0, m.size())
	vms = append(vms, m.self)
	for _, mb := range m.members {
		vms = append(vms, mb.vm)
	}
	slices.SortFunc(vms, func(a, b fleet.VM) int { return cmp.Compare(a.Name, b.Name) })
	return fleet.View{Self: m.self.Name, VMs: vms}
}

// viewDigest hashes what daemons should agree on. Suspicion passes by itself
// and dead VMs are forgotten at different times, so neither counts.
func (m *machine) viewDigest() uint32 {
	if m.digestN {
		return m.digest
	}
	h := fnv.New32a()
	for _, vm := range m.view().VMs {
		if vm.State == fleet.Dead || vm.Incarnation == 0 {
			continue
		}
		_, _ = fmt.Fprintf(h, "%s %d %t\n", vm.Name, vm.Incarnation, vm.State == fleet.Leaving)
	}
	m.digest, m.digestN = h.Sum32(), true
	return m.digest
}

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
