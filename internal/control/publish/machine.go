package publish

import (
	"fmt"
	"maps"
	"time"

	pb "currantpulley/internal/control/publish/publishpb"
	"currantpulley/internal/event"
	"currantpulley/internal/fleet"
)

// version is a configuration that is in force or may come into force.
type version struct {
	number  uint64 // offset of its candidate; 0: none
	hash    string // of content
	content []byte // canonical form
}

// Machine is the publishing protocol of one daemon as a state machine. It does
// no I/O and reads no clock: its inputs are method calls that pass the time, its
// outputs are the actions that TakeActions returns. It is not safe for
// concurrent use.
type Machine struct {
	self        string
	timing      Timing
	history     *history
	applied     version   // in force on this VM; number 0: none
	target      version   // highest version known to be in force elsewhere, without content; number 0: none
	targetSince time.Time // when target was first set, or the last apply since then
	synced      bool      // whether the log was read to its end since the start

	view            fleet.View
	leaving         map[string]bool   // VMs that announced their shutdown
	versions        map[string]uint64 // last known version in force at each VM; 0: it restarted and has none yet
	started         time.Time
	lastLogRead     time.Time // start of the last read that reached the end of the log
	lastPeerContact time.Time // last message from another VM
	detached        bool      // whether requests must not be admitted
	applyError      string    // why the version in force can't be applied here; empty: it can

	stages       map[uint64]*stage
	coordination *coordination // nil: no candidate to decide
	fetchingFrom string        // VM that a fetch is in progress from; empty: none
	fetchStarted time.Time     // of the last fetch
	reappend     appendTask    // appends the version in force again
	confirm      appendTask    // appends the Confirmation of the version in force

	lastTick        time.Time
	appliedAt       time.Time // when applied came into force here; moved to the end of a pause
	confirmed       uint64    // highest version that this VM found to be known to more than half of the fleet
	heldSince       time.Time // since when a version read from the log is held back; zero: none is
	attachableSince time.Time // since when there has been no reason to be detached; zero: there is one

	actions []Action // for the next TakeActions
}

// NewMachine returns the Machine of the VM named self, started at now.
func NewMachine(self string, timing Timing, now time.Time) *Machine {
	return &Machine{
		self:            self,
		timing:          timing,
		history:         newHistory(1),
		view:            fleet.View{Self: self},
		leaving:         make(map[string]bool),
		versions:        make(map[string]uint64),
		started:         now,
		lastLogRead:     now,
		lastPeerContact: now,
		stages:          make(map[uint64]*stage),
	}
}

// SetTiming changes the timeouts and intervals.
func (m *Machine) SetTiming(t Timing) { m.timing = t }

// TakeActions returns the actions since the last call and clears them.
func (m *Machine) TakeActions() []Action {
	out := m.actions
	m.actions = nil
	return out
}

// Version returns the version in force on this VM, or 0 if there is none.
func (m *Machine) Version() uint64 { return m.applied.number }

// Detached reports whether this VM must not admit requests.
func (m *Machine) Detached() bool { return m.detached }

// Position returns the offset of the next record to read.
func (m *Machine) Position() uint64 { return m.history.next }

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

func (m *Machine) emitEvent(id event.ID, v uint64, peer, detail string, err error) {
	m.emit(RecordEvent{event.Event{ID: id, Version: v, Peer: peer, Step: "publish", Detail: detail, Err: err}})
}

// LogStartsAt sets the first retained offset. It is called before the first
// LogRead and when the log dropped records before they were read.
func (m *Machine) LogStartsAt(first uint64) {
	if first <= m.history.next {
		return
	}
	if m.history.next > 1 {
		m.emitEvent(event.ConfigLogTrimmed, m.applied.number, "", fmt.Sprintf("records %d to %d were dropped before they were read", m.history.next, first-1), nil)
	}
	m.history.skipTo(first)
	m.coordination = nil
}

// LogRead handles records read from the log. caughtUp reports whether they
// reached the end of the log at the time sent, when the read began. That time
// counts as the contact with the log, since the process may have been paused
// after it.
func (m *Machine) LogRead(now, sent time.Time, entries []entry, caughtUp bool) {
	for _, e := range entries {
		m.readEntry(e)
	}
	if caughtUp {
		m.lastLogRead = sent
		m.synced = true
		m.assumeInForce(now)
	}
	m.advance(now)
	m.stageHead(now)
	m.updateDetached(now)
}

// readEntry adds a record to the history and records the events that follow from
// it.
func (m *Machine) readEntry(e entry) {
	h := m.history
	halted, decided := h.haltedOffset, h.decidedCount
	if !h.read(e) {
		return
	}
	if h.haltedOffset != 0 && halted == 0 {
		m.emitEvent(event.ConfigRecordUnreadable, m.applied.number, "", fmt.Sprintf("record %d", h.haltedOffset), h.haltedErr)
	}
	for _, o := range h.latest(h.decidedCount - decided) {
		m.emitOutcome(o)
	}
	if m.coordination != nil && (h.head() == nil || h.head().offset != m.coordination.candidate.offset) {
		m.coordination = nil
	}
}

// emitOutcome records the event of a decided candidate.
func (m *Machine) emitOutcome(o Outcome) {
	ids := map[Result]event.ID{
		Committed: event.ConfigCommitted, Refused: event.ConfigRefused,
		Lost: event.ConfigLost, Duplicate: event.ConfigDuplicate,
	}
	detail := ""
	switch o.Result {
	case Refused:
		detail = FormatRefusals(o.Refusals)
	case Lost, Duplicate:
		detail = fmt.Sprintf("version %d came into force first", o.Winner)
	case Open, Committed:
	}
	m.emitEvent(ids[o.Result], o.Candidate, "", detail, nil)
}

// assumeInForce sets the history's version in force if the whole retained
// stream does not state it: to the version applied here, or to none if no peer
// has reported one within the detach time.
func (m *Machine) assumeInForce(now time.Time) {
	if m.history.known || m.history.haltedOffset != 0 {
		return
	}
	waited := now.Sub(m.started) >= m.timing.Detach
	if m.applied.number > 0 || waited && m.target.number == 0 {
		m.history.assume(m.applied.number, m.applied.hash)
	}
}

// advance applies the highest version known to be in force, or fetches it.
// Until the log was read to its end only versions of peers count, because the
// records read so far may be old.
func (m *Machine) advance(now time.Time) {
	h := m.history
	if m.synced && h.inForce > m.applied.number && !m.mustHold(now) {
		m.applyFromLog(now)
	}
	m.fetch(now)
}

// applyFromLog applies the version in force according to the log, with its
// content from the stage or the log, or else makes it the fetch target.
func (m *Machine) applyFromLog(now time.Time) {
	h := m.history
	if s := m.stages[h.inForce]; s != nil && s.content != nil && s.hash == h.hash {
		m.apply(now, version{h.inForce, h.hash, s.content})
		return
	}
	content, err := h.content()
	if err != nil {
		m.raiseTarget(now, h.inForce, h.hash)
		return
	}
	m.apply(now, version{h.inForce, h.hash, content})
}

// apply brings v into force on this VM. Versions never decrease.
func (m *Machine) apply(now time.Time, v version) {
	if v.number <= m.applied.number {
		return
	}
	m.applied, m.appliedAt = v, now
	m.heldSince = time.Time{}
	m.applyError = ""
	m.history.adopt(v.number, v.hash)
	m.targetSince = now // progress, even if the target is a still higher version
	if v.number >= m.target.number {
		m.target = version{}
	}
	for offset := range m.stages {
		if offset <= v.number {
			delete(m.stages, offset)
		}
	}
	m.emit(Apply{Version: v.number, Hash: v.hash, Content: v.content})
}

// ApplyFailed handles an Apply that failed: the daemon detaches until another
// version is applied.
func (m *Machine) ApplyFailed(now time.Time, reason string) {
	m.applyError = reason
	m.updateDetached(now)
}

// raiseTarget sets the version to fetch if number is higher than the target and
// the version in force here.
func (m *Machine) raiseTarget(now time.Time, number uint64, hash string) {
	if number <= m.applied.number || number <= m.target.number {
		return
	}
	if m.target.number == 0 {
		m.targetSince = now
	}
	m.target = version{number: number, hash: hash}
}

// PeerVersionReceived handles a report of the version in force at another VM.
func (m *Machine) PeerVersionReceived(now time.Time, vm string, number uint64) {
	if vm == m.self {
		return
	}
	m.lastPeerContact = now
	m.recordPeerVersion(vm, number)
	m.raiseTarget(now, number, "")
	m.fetch(now)
	m.updateDetached(now)
}

// recordPeerVersion stores the version in force at a VM. A VM that had a version
// and now has none was restarted.
func (m *Machine) recordPeerVersion(vm string, number uint64) {
	known, reported := m.versions[vm]
	switch {
	case number > 0:
		m.versions[vm] = max(known, number)
	case reported:
		m.versions[vm] = 0
	}
}

const (
	fetchRetry    = 300 * time.Millisecond // minimum time between two fetches
	fetchDeadline = 2 * time.Second        // for an answer, before another VM is asked
)

// fetch requests the target version from a VM that has it.
func (m *Machine) fetch(now time.Time) {
	if m.fetchingFrom != "" && now.Sub(m.fetchStarted) > fetchDeadline {
		m.fetchingFrom = ""
	}
	if m.target.number <= m.applied.number || m.fetchingFrom != "" || now.Sub(m.fetchStarted) < fetchRetry {
		return
	}
	source := m.pickFetchSource()
	if source == "" {
		return
	}
	m.fetchingFrom, m.fetchStarted = source, now
	m.emit(Fetch{VM: source, Above: m.applied.number})
}

// pickFetchSource returns a VM that has the target version, of the own data
// centre if possible, or an empty string. Rendezvous hashing spreads the VMs that
// fetch over the sources.
func (m *Machine) pickFetchSource() string {
	self, _ := m.view.Find(m.self)
	var near, far []fleet.VM
	for _, vm := range m.view.VMs {
		if m.versions[vm.Name] < m.target.number || vm.Name == m.self || vm.State == fleet.Dead {
			continue
		}
		if vm.DataCentre == self.DataCentre {
			near = append(near, vm)
		} else {
			far = append(far, vm)
		}
	}
	if len(near) == 0 {
		near = far
	}
	key := fmt.Sprintf("%s %d %d", m.self, m.target.number, m.fetchStarted.UnixNano())
	if best := fleet.Owners(near, key, 1); len(best) > 0 {
		return best[0].Name
	}
	return ""
}

// Fetched handles the answer to a Fetch, or a configuration received from a peer
// at boot. A number of 0 means that the fetch failed.
func (m *Machine) Fetched(now time.Time, vm string, number uint64, hash string, content []byte) {
	if vm == m.fetchingFrom {
		m.fetchingFrom = ""
	}
	if number == 0 {
		return
	}
	m.lastPeerContact = now
	m.recordPeerVersion(vm, number)
	if content != nil {
		m.apply(now, version{number, hash, content})
	}
	m.updateDetached(now)
}

// Tick updates the view of the fleet, which comes from membership, and does the
// work that is due.
func (m *Machine) Tick(now time.Time, view fleet.View) {
	m.setView(view)
	m.detectPause(now)
	m.advance(now)
	m.updateDetached(now)
	m.stageHead(now)
	m.coordinate(now)
	m.appendDueRecords(now)
}

// minPause is the time between two ticks above which the process counts as
// paused. Membership detects pauses as well, from a longer gap on.
const minPause = 300 * time.Millisecond

// detectPause restarts the waiting times that depend on contact, because after a
// pause membership gives all VMs time to answer before it declares them dead.
// After a pause longer than the detach time it detaches the daemon: a newer
// version may be in force everywhere else.
func (m *Machine) detectPause(now time.Time) {
	gap := now.Sub(m.lastTick)
	if !m.lastTick.IsZero() && gap > minPause {
		m.appliedAt, m.attachableSince = now, now
		if gap > m.timing.Detach && !m.logIsFresh(now) && m.fleetSize() > 1 {
			m.setDetached(true, "the process was paused")
		}
	}
	m.lastTick = now
}

// setView stores the view, and drops what is known about VMs that left it.
func (m *Machine) setView(view fleet.View) {
	m.view = view
	for _, vm := range view.VMs {
		switch vm.State {
		case fleet.Leaving:
			m.leaving[vm.Name] = true
		case fleet.Alive:
			delete(m.leaving, vm.Name)
		case fleet.Suspect, fleet.Dead:
		}
	}
	missing := func(name string) bool {
		_, ok := view.Find(name)
		return !ok
	}
	maps.DeleteFunc(m.versions, func(name string, _ uint64) bool { return missing(name) })
	maps.DeleteFunc(m.leaving, func(name string, _ bool) bool { return missing(name) })
}

// fleetSize returns the number of VMs that may serve: all but those that
// announced their shutdown. Dead VMs count, since they may only be partitioned.
func (m *Machine) fleetSize() int {
	n := 0
	for _, vm := range m.view.VMs {
		if !m.leaving[vm.Name] {
			n++
		}
	}
	return max(n, 1)
}

// reachableCount returns the number of VMs of fleetSize that are not declared
// dead, including this one.
func (m *Machine) reachableCount() int {
	n := 0
	for _, vm := range m.view.VMs {
		if m.isReachable(vm) {
			n++
		}
	}
	return max(n, 1)
}

// isReachable reports whether vm counts for reachableCount.
func (m *Machine) isReachable(vm fleet.VM) bool {
	return vm.Name == m.self || vm.State != fleet.Dead && !m.leaving[vm.Name]
}

// informedCount returns reachableCount without the VMs that restarted and have
// found neither the log nor an attached VM since: they have lost what they knew
// about versions.
func (m *Machine) informedCount() int {
	n := m.reachableCount()
	for _, vm := range m.view.VMs {
		if v, reported := m.versions[vm.Name]; vm.Name != m.self && m.isReachable(vm) && reported && v == 0 {
			n--
		}
	}
	return n
}

// updateDetached detaches the daemon while a newer version may be in force
// elsewhere. The daemon is attached again when it has read the log to its end,
// or when there has been no reason to be detached for the detach time, in which
// membership declares unreachable VMs dead.
func (m *Machine) updateDetached(now time.Time) {
	reason := m.detachReason(now)
	if reason != "" {
		m.attachableSince = time.Time{}
		m.setDetached(true, reason)
		return
	}
	if m.attachableSince.IsZero() {
		m.attachableSince = now
	}
	if m.logIsFresh(now) || now.Sub(m.attachableSince) >= m.timing.Detach {
		m.setDetached(false, "")
	}
}

// setDetached emits a Detach if the state changes.
func (m *Machine) setDetached(detached bool, reason string) {
	if detached != m.detached {
		m.detached = detached
		m.emit(Detach{Detached: detached, Reason: reason})
	}
}

// logIsFresh reports whether the log was read to its end within the detach time.
func (m *Machine) logIsFresh(now time.Time) bool { return now.Sub(m.lastLogRead) <= m.timing.Detach }

// detachReason returns why the daemon must not admit requests, or an empty
// string.
func (m *Machine) detachReason(now time.Time) string {
	limit := m.timing.Detach
	switch {
	case m.applyError != "":
		return fmt.Sprintf("version %d can't be applied here: %s", m.applied.number, m.applyError)
	case m.target.number > m.applied.number && now.Sub(m.targetSince) > limit:
		return fmt.Sprintf("version %d is in force but can't be fetched", m.target.number)
	case !m.heldSince.IsZero() && now.Sub(m.heldSince) > 2*limit:
		return fmt.Sprintf("version %d is in the log but possibly known to at most half of the fleet", m.history.inForce)
	case m.inMinority() && m.confirmedVersion() < m.applied.number:
		return fmt.Sprintf("only %d of %d VMs answer, and the others may not know version %d", m.reachableCount(), m.fleetSize(), m.applied.number)
	case m.logIsFresh(now) || m.fleetSize() == 1:
		return ""
	case now.Sub(m.lastPeerContact) > limit:
		return "neither the log nor any peer answers"
	case !m.informedMajority():
		return fmt.Sprintf("the log does not answer and only %d of %d VMs answer and know a version", m.informedCount(), m.fleetSize())
	}
	return ""
}

// FormatRefusals formats refusals on one line, separated by semicolons.
func FormatRefusals(refusals []*pb.Refusal) string {
	text := ""
	for i, r := range refusals {
		if i > 0 {
			text += "; "
		}
		text += FormatRefusal(r)
	}
	return text
}

// FormatRefusal formats one refusal as VM: FILE:LINE: KEY: REASON, without the
// parts that are empty.
func FormatRefusal(r *pb.Refusal) string {
	line := ""
	if r.GetVm() != "" {
		line = r.GetVm() + ": "
	}
	if r.GetFile() != "" {
		line += r.GetFile()
		if r.GetLine() > 0 {
			line += fmt.Sprintf(":%d", r.GetLine())
		}
		line += ": "
	}
	if r.GetKey() != "" {
		line += r.GetKey() + ": "
	}
	return line + r.GetReason()
}
