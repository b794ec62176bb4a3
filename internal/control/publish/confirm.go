package publish

import (
	"fmt"
	"time"

	pb "currantpulley/internal/control/publish/publishpb"
)

// appendTask is the state of a record that one VM of the fleet has to append.
// The VM of rank k waits k times the takeover delay, so that usually only one
// appends it. Several copies are harmless.
type appendTask struct {
	since     time.Time // when the record became due; zero: it is not due
	appending bool
	retryAt   time.Time
}

// appended marks an append as finished, whether or not it succeeded, and
// delays the next attempt.
func (a *appendTask) appended(now time.Time, t Timing) {
	a.appending = false
	a.retryAt = now.Add(t.Takeover)
}

// appendDue reports whether this VM has to append the record of task now. The
// key and the version in force determine the rank of this VM.
func (m *Machine) appendDue(now time.Time, task *appendTask, due bool, key string) bool {
	if !due {
		task.since = time.Time{}
		return false
	}
	if task.since.IsZero() {
		task.since = now
	}
	if task.appending || now.Before(task.retryAt) {
		return false
	}
	wait := time.Duration(m.rank(fmt.Sprintf("%s %d", key, m.applied.number))) * m.timing.Takeover
	return now.Sub(task.since) >= wait
}

// appendDueRecords appends a Confirmation once more than half of the fleet
// knows the version in force, and the version itself before the log's
// retention drops its records.
func (m *Machine) appendDueRecords(now time.Time) {
	m.confirmApplied(now)
	h := m.history
	ready := m.synced && h.known && h.haltedOffset == 0 && m.applied.number > 0 && h.inForce == m.applied.number &&
		m.confirmed >= m.applied.number && now.Sub(m.lastLogRead) <= m.timing.Detach
	if m.appendDue(now, &m.confirm, ready && h.confirmed < m.applied.number, "confirm") {
		m.confirm.appending = true
		m.emit(Append{confirmationRecord(&pb.Confirmation{Version: m.applied.number, Vm: m.self})})
	}
	old := h.oldestRecordAt.IsZero() || now.Sub(h.oldestRecordAt) > m.timing.Reappend
	if m.appendDue(now, &m.reappend, ready && old, "restate") {
		m.reappend.appending = true
		m.emit(Append{inForceRecord(&pb.InForce{
			Version: m.applied.number, Hash: m.applied.hash, Vm: m.self,
			Payload: &pb.Payload{Data: compress(m.applied.content)},
		})})
	}
}

// confirmApplied sets confirmed to the version in force once this VM has had
// it for the detach time and reaches a majority: the VMs that it still reaches
// then have learnt of the version.
func (m *Machine) confirmApplied(now time.Time) {
	if m.applied.number > m.confirmed && now.Sub(m.appliedAt) >= m.timing.Detach && m.informedMajority() {
		m.confirmed = m.applied.number
	}
}

// confirmedVersion returns the highest version that is confirmed to be known
// to more than half of the fleet.
func (m *Machine) confirmedVersion() uint64 { return max(m.confirmed, m.history.confirmed) }

// inMinority reports whether this VM reaches at most half of the fleet. The
// others may then commit versions without it.
func (m *Machine) inMinority() bool {
	n := m.fleetSize()
	return n > 1 && 2*m.reachableCount() <= n
}

// informedMajority reports whether this VM reaches more than half of the fleet,
// not counting VMs that restarted without a version. No newer version can then
// be in force.
func (m *Machine) informedMajority() bool { return 2*m.informedCount() > m.fleetSize() }

// mustHold reports whether a version read from the log must not be applied
// yet: this VM and those that it reaches may be the only ones that can read the
// log, while the majority keeps serving the older version.
func (m *Machine) mustHold(now time.Time) bool {
	if !m.inMinority() || m.confirmedVersion() >= m.history.inForce {
		m.heldSince = time.Time{}
		return false
	}
	if m.heldSince.IsZero() {
		m.heldSince = now
	}
	return true
}
