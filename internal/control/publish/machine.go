package publish

import (
	"fmt"
	"maps"
	"time"

	pb "currantpulley/internal/control/publish/publishpb"
	"currantpulley/internal/event"
	"currantpulley/internal/fleet"
)

// version is a configuration that is or may come into force.
type version struct {
	number  uint64
	hash    string
	content []byte
}

// Machine is the protocol of one daemon. It does nothing by itself: inputs
// are method calls with the time, outputs are the actions that Take returns.
// It is not safe for concurrent use.
type Machine struct {
	self        string
	timing      Timing
	history     *history
	applied     version // in force here; number 0: none
	target      version // highest version heard to be in force, without content
	targetSince time.Time
	synced      bool // the log was read to its end since the start

	view            fleet.View
	leaving         map[string]bool   // VMs that announced their stop
	versions        map[string]uint64 // in force at each VM, as heard; 0: it started anew and has none yet
	started         time.Time
	lastLogRead     time.Time // last read of the log up to its end
	lastPeerContact time.Time // last word from another VM
	detached        bool
	applyError      string // why the version in force can't be used here; empty: it can

	stages       map[uint64]*stage
	coordination *coordination
	fetchingFrom string // VM that a fetch is under way to; empty: none
	fetchStarted time.Time
	reappend     appendTask // to append the version in force again
	confirm      appendTask // to append that more than half of the fleet knows it

	lastTick        time.Time
	appliedAt       time.Time // of force; later after a pause
	confirmed       uint64    // highest version found to be known to more than half of the fleet
	heldSince       time.Time // since when a version read from the log is not applied; zero: none is
	attachableSince time.Time // since when there is no reason to be detached; zero: there is one

	actions []Action
}

// NewMachine returns the machine of the VM called self.
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

// SetTiming changes the periods.
func (m *Machine) SetTiming(t Timing) { m.timing = t }

// Take returns the actions since the last call.
func (m *Machine) TakeActions() []Action {
	out := m.actions
	m.actions = nil
	return out
}

// Version returns the version in force here; 0: none.
func (m *Machine) Version() uint64 { return m.applied.number }

// Detached reports whether requests must not be admitted.
func (m *Machine) Detached() bool { return m.detached }

// Position returns the offset that is read next.
func (m *Machine) Position() uint64 { return m.history.next }

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

func (m *Machine) emitEvent(id event.ID, v uint64, peer, detail string, err error) {
	m.emit(RecordEvent{event.Event{ID: id, Version: v, Peer: peer, Step: "publish", Detail: detail, Err: err}})
}

// LogStartsAt tells the first retained offset, before the first LogRead or
// when the records before it were dropped unread.
func (m *Machine) LogStartsAt(first uint64) {
	if first <= m.history.next {
		return
	}
	if m.history.next > 1 {
		m.emitEvent(event.ConfigLogTrimmed, m.applied.number, "", fmt.Sprintf("records %d to %d were dropped unread", m.history.next, first-1), nil)
	}
	m.history.skipTo(first)
	m.coordination = nil
}

// LogRead takes records read from the log. caughtUp tells whether they
// reached its end at the time sent, when the read began; the process may have
// been paused since.
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

func (m *Machine) emitOutcome(o Outcome) {
	ids := map[Result]event.ID{
		Committed: event.ConfigCommitted, Refused: event.ConfigRefused,
		Lost: event.ConfigLost, Duplicate: event.ConfigDuplicate,
	}
	detail := ""
	switch o.Result {
	case Refused:
		detail = RefusalText(o.Refusals)
	case Lost, Duplicate:
		detail = fmt.Sprintf("version %d came first", o.Winner)
	case Open, Committed:
	}
	m.emitEvent(ids[o.Result], o.Candidate, "", detail, nil)
}

// assumeInForce settles what is in force when the whole retained stream does
// not tell: what a peer or this daemon has, or nothing when no peer has any.
func (m *Machine) assumeInForce(now time.Time) {
	if m.history.known || m.history.haltedOffset != 0 {
		return
	}
	waited := now.Sub(m.started) >= m.timing.Detach
	if m.applied.number > 0 || waited && m.target.number == 0 {
		m.history.assume(m.applied.number, m.applied.hash)
	}
}

// follow takes the highest version known to be in force into force here.
// Until the log was read to its end only a peer's word counts, because the
// records read so far may be old.
func (m *Machine) advance(now time.Time) {
	h := m.history
	if m.synced && h.inForce > m.applied.number && !m.mustHold(now) {
		m.applyFromLog(now)
	}
	m.fetch(now)
}

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

// apply takes v into force. Versions never go down.
func (m *Machine) apply(now time.Time, v version) {
	if v.number <= m.applied.number {
		return
	}
	m.applied, m.appliedAt = v, now
	m.heldSince = time.Time{}
	m.applyError = ""
	m.history.adopt(v.number, v.hash)
	m.targetSince = now // there is progress, even if a still higher version is wanted
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

// Unusable tells that the version in force can't be used at this VM.
func (m *Machine) ApplyFailed(now time.Time, reason string) {
	m.applyError = reason
	m.updateDetached(now)
}

func (m *Machine) raiseTarget(now time.Time, number uint64, hash string) {
	if number <= m.applied.number || number <= m.target.number {
		return
	}
	if m.target.number == 0 {
		m.targetSince = now
	}
	m.target = version{number: number, hash: hash}
}

// Heard takes the version in force at another VM.
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

// recordPeerVersion notes the version in force at a VM. One that had a version and
// now has none has started anew.
func (m *Machine) recordPeerVersion(vm string, number uint64) {
	known, heard := m.versions[vm]
	switch {
	case number > 0:
		m.versions[vm] = max(known, number)
	case heard:
		m.versions[vm] = 0
	}
}

const (
	fetchRetry    = 300 * time.Millisecond
	fetchDeadline = 2 * time.Second // after which another VM is asked
)

// fetch asks a VM that has the wanted version for it.
func (m *Machine) fetch(now time.Time) {
	if m.fetchingFrom != "" && now.Sub(m.fetchStarted) > fetchDeadline {
		m.fetchingFrom = ""
	}
	if m.target.number <= m.applied.number || m.fetchingFrom != "" || now.Sub(m.fetchStarted) < fetchRetry {
		return
	}
	donor := m.pickFetchSource()
	if donor == "" {
		return
	}
	m.fetchingFrom, m.fetchStarted = donor, now
	m.emit(Fetch{VM: donor, Above: m.applied.number})
}

// donor picks a VM that has the wanted version: one of the own data centre
// if there is any, spread over the askers by rendezvous.
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

// Fetched takes the answer to a Fetch, or a configuration that a peer gave
// at the start. A number of 0 is a failure.
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

// Tick does what is due. The view is the fleet as membership sees it.
func (m *Machine) Tick(now time.Time, view fleet.View) {
	m.setView(view)
	m.detectPause(now)
	m.advance(now)
	m.updateDetached(now)
	m.stageHead(now)
	m.coordinate(now)
	m.appendDueRecords(now)
}

// minPause is the time between two ticks from which the process counts as
// paused. Membership takes longer pauses for such, too.
const minPause = 300 * time.Millisecond

// detectPause makes contact count anew: after a pause, membership gives all
// VMs time to answer before it finds them dead. After a long one, a newer
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

// fleetSize counts the VMs that may serve: all but those that announced
// their stop. Dead VMs count, since they may only be cut off.
func (m *Machine) fleetSize() int {
	n := 0
	for _, vm := range m.view.VMs {
		if !m.leaving[vm.Name] {
			n++
		}
	}
	return max(n, 1)
}

// reachable counts the VMs of fleetSize that are not found dead, this one
// included.
func (m *Machine) reachableCount() int {
	n := 0
	for _, vm := range m.view.VMs {
		if m.isReachable(vm) {
			n++
		}
	}
	return max(n, 1)
}

// reaches reports whether vm counts for reachable.
func (m *Machine) isReachable(vm fleet.VM) bool {
	return vm.Name == m.self || vm.State != fleet.Dead && !m.leaving[vm.Name]
}

// remembering counts the VMs of reachable but those that started anew and have
// found neither the log nor a VM that is sure of its version: they have lost
// what they knew.
func (m *Machine) informedCount() int {
	n := m.reachableCount()
	for _, vm := range m.view.VMs {
		if v, heard := m.versions[vm.Name]; vm.Name != m.self && m.isReachable(vm) && heard && v == 0 {
			n--
		}
	}
	return n
}

// updateDetached detaches the daemon while a newer version may be in force
// elsewhere. It is attached again when it has read the log to its end, or
// when there has been no reason for as long as membership takes to find out
// who is dead.
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

func (m *Machine) setDetached(detached bool, reason string) {
	if detached != m.detached {
		m.detached = detached
		m.emit(Detach{Detached: detached, Reason: reason})
	}
}

func (m *Machine) logIsFresh(now time.Time) bool { return now.Sub(m.lastLogRead) <= m.timing.Detach }

func (m *Machine) detachReason(now time.Time) string {
	limit := m.timing.Detach
	switch {
	case m.applyError != "":
		return fmt.Sprintf("version %d can't be used here: %s", m.applied.number, m.applyError)
	case m.target.number > m.applied.number && now.Sub(m.targetSince) > limit:
		return fmt.Sprintf("version %d is in force but can't be fetched", m.target.number)
	case !m.heldSince.IsZero() && now.Sub(m.heldSince) > 2*limit:
		return fmt.Sprintf("version %d is in the log but at most half of the fleet may know it", m.history.inForce)
	case m.inMinority() && m.confirmedVersion() < m.applied.number:
		return fmt.Sprintf("only %d of %d VMs answer, and the others may not know version %d", m.reachableCount(), m.fleetSize(), m.applied.number)
	case m.logIsFresh(now) || m.fleetSize() == 1:
		return ""
	case now.Sub(m.lastPeerContact) > limit:
		return "neither the log nor any peer answers"
	case !m.informedMajority():
		return fmt.Sprintf("the log does not answer and only %d of %d VMs do that know a version", m.informedCount(), m.fleetSize())
	}
	return ""
}

// RefusalText returns refusals on one line.
func RefusalText(refusals []*pb.Refusal) string {
	text := ""
	for i, r := range refusals {
		if i > 0 {
			text += "; "
		}
		text += RefusalLine(r)
	}
	return text
}

// RefusalLine returns one refusal as VM: FILE:LINE: KEY: REASON.
func RefusalLine(r *pb.Refusal) string {
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
