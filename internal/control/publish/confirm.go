package publish

import (
	"fmt"
	"time"

	pb "currantpulley/internal/control/publish/publishpb"
)

// duty is a record that some VM has to append. The VM of rank k waits k
// times the takeover delay; it is harmless when several append it.
type appendTask struct {
	since     time.Time // zero: nothing is due
	appending bool
	retryAt   time.Time
}

func (d *appendTask) appended(now time.Time, t Timing) {
	d.appending = false
	d.retryAt = now.Add(t.Takeover)
}

// appendDue reports whether this VM has to append the record of d now.
func (m *Machine) appendDue(now time.Time, d *appendTask, due bool, key string) bool {
	if !due {
		d.since = time.Time{}
		return false
	}
	if d.since.IsZero() {
		d.since = now
	}
	if d.appending || now.Before(d.retryAt) {
		return false
	}
	wait := time.Duration(m.rank(fmt.Sprintf("%s %d", key, m.applied.number))) * m.timing.Takeover
	return now.Sub(d.since) >= wait
}

// keep appends what has to stay in the log about the version in force: that
// more than half of the fleet knows it, and the version itself before the
// log's retention drops it.
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

// confirmApplied notes that more than half of the fleet knows the version
// in force: those that can be reached some time after it came into force here
// have heard of it.
func (m *Machine) confirmApplied(now time.Time) {
	if m.applied.number > m.confirmed && now.Sub(m.appliedAt) >= m.timing.Detach && m.informedMajority() {
		m.confirmed = m.applied.number
	}
}

// confirmedVersion returns the highest version that more than half of the
// fleet is known to know.
func (m *Machine) confirmedVersion() uint64 { return max(m.confirmed, m.history.confirmed) }

// minority reports whether at most half of the fleet can be reached. The
// others may then go on without this VM.
func (m *Machine) inMinority() bool {
	n := m.fleetSize()
	return n > 1 && 2*m.reachableCount() <= n
}

// remembered reports whether more than half of the fleet can be reached and may
// know which version is in force, so that no newer one can be.
func (m *Machine) informedMajority() bool { return 2*m.informedCount() > m.fleetSize() }

// held reports whether a version read from the log must wait: this VM and
// those it reaches may be the only ones that can read the log, while the
// others go on with the older version.
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
