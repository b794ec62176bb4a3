package publish

import (
	"fmt"
	"slices"
	"time"

	pb "currantpulley/internal/control/publish/publishpb"
	"currantpulley/internal/event"
	"currantpulley/internal/fleet"
)

const (
	maxRefusals = 20 // per verdict
	// minorityTimeoutFactor is the factor by which a coordinator without a
	// majority waits longer before it refuses: another VM may reach one.
	minorityTimeoutFactor = 2
)

// coordination is the state of this VM's coordination of the candidate that is
// decided next.
type coordination struct {
	candidate   *candidate
	readAt      time.Time            // when this VM first saw the candidate as the next one
	startedAt   time.Time            // zero: not started; VMs of lower rank come first
	answers     map[string]answer    // by VM
	requestedAt map[string]time.Time // last request, by VM
	appending   bool                 // an append of the verdict is in progress
	retryAt     time.Time            // earliest time of the next append
}

// answer is the latest answer of a VM about the candidate.
type answer struct {
	kind     pb.Answer
	refusals []*pb.Refusal
	at       time.Time
}

// coordinate collects the answers about the candidate that is decided next and
// appends its verdict. Several VMs may do so at once: the first verdict in the
// log counts.
func (m *Machine) coordinate(now time.Time) {
	c := m.history.head()
	if c == nil || !m.synced || m.history.haltedOffset != 0 || now.Sub(m.lastLogRead) > m.timing.Detach {
		m.coordination = nil
		return
	}
	if m.coordination == nil {
		m.coordination = &coordination{
			candidate: c, readAt: now,
			answers: make(map[string]answer), requestedAt: make(map[string]time.Time),
		}
	}
	if !m.becomeCoordinator(now) || m.coordination.appending || now.Before(m.coordination.retryAt) {
		return
	}
	m.sendStageRequests(now)
	if v := m.verdict(now); v != nil {
		m.coordination.appending = true
		m.emit(Append{verdictRecord(v)})
	}
}

// becomeCoordinator reports whether this VM coordinates the candidate, and
// starts the coordination when it is due: the VM of rank k waits k times the
// takeover delay.
func (m *Machine) becomeCoordinator(now time.Time) bool {
	c := m.coordination
	if !c.startedAt.IsZero() {
		return true
	}
	rank := m.rank(fmt.Sprintf("%d %s", c.candidate.offset, c.candidate.GetHash()))
	if now.Sub(c.readAt) < time.Duration(rank)*m.timing.Takeover {
		return false
	}
	c.startedAt = now
	if rank > 0 {
		m.emitEvent(event.ConfigTakenOver, c.candidate.offset, "", fmt.Sprintf("rank %d", rank), nil)
	}
	return true
}

// rank returns the position of this VM among the live VMs in the rendezvous
// order for key, starting with 0.
func (m *Machine) rank(key string) int {
	live := m.view.Live()
	owners := fleet.Owners(live, key, len(live))
	return max(0, slices.IndexFunc(owners, func(vm fleet.VM) bool { return vm.Name == m.self }))
}

// sendStageRequests asks the live VMs whose answer is missing or too old.
func (m *Machine) sendStageRequests(now time.Time) {
	for _, vm := range m.view.Live() {
		if vm.Name == m.self || m.answerIsCurrent(now, vm.Name) || now.Sub(m.coordination.requestedAt[vm.Name]) < m.timing.StageInterval {
			continue
		}
		m.coordination.requestedAt[vm.Name] = now
		m.emit(m.stageRequest(vm.Name))
	}
}

// answerIsCurrent reports whether the answer of a VM is a refusal or a recent
// acknowledgement, so that it need not be asked again.
func (m *Machine) answerIsCurrent(now time.Time, vm string) bool {
	a, ok := m.coordination.answers[vm]
	if !ok {
		return false
	}
	return a.kind == pb.Answer_ANSWER_NACK ||
		a.kind == pb.Answer_ANSWER_ACK && now.Sub(a.at) < m.timing.AckTimeout/2
}

// stageRequest returns the request to a VM, with the content if the VM asked
// for it.
func (m *Machine) stageRequest(vm string) RequestStage {
	c := m.coordination.candidate
	return RequestStage{
		VM:          vm,
		WithContent: m.coordination.answers[vm].kind == pb.Answer_ANSWER_NEED_CONTENT,
		Request: &pb.StageRequest{
			Candidate: c.offset, Parent: c.GetParent(), Hash: c.GetHash(), Override: c.GetOverride(), From: m.self,
		},
	}
}

// StagedContent returns the staged content of a candidate, or nil.
func (m *Machine) StagedContent(offset uint64) []byte {
	if s := m.stages[offset]; s != nil {
		return s.content
	}
	return nil
}

// StageAnswered handles the reply to a RequestStage. A nil reply means that the
// VM did not answer.
func (m *Machine) StageAnswered(now time.Time, vm string, offset uint64, r *pb.StageReply) {
	if r == nil {
		return
	}
	m.PeerVersionReceived(now, vm, r.GetVersion())
	if m.coordination == nil || m.coordination.candidate.offset != offset {
		return
	}
	m.coordination.answers[vm] = answer{r.GetAnswer(), r.GetRefusals(), now}
	if r.GetAnswer() == pb.Answer_ANSWER_NEED_CONTENT {
		delete(m.coordination.requestedAt, vm)
	}
	m.coordinate(now)
}

// ownAnswer returns this VM's answer about the candidate.
func (m *Machine) ownAnswer(now time.Time) answer {
	s := m.stages[m.coordination.candidate.offset]
	if s == nil {
		return answer{kind: pb.Answer_ANSWER_PENDING, at: now}
	}
	kind, refusals := s.answer()
	return answer{kind, refusals, now}
}

// verdict returns the verdict that follows from the answers so far, or nil. It
// is a commit if all live VMs acknowledged and they are more than half of the
// fleet, and a refusal if any VM refused or the timeout is over.
func (m *Machine) verdict(now time.Time) *pb.Verdict {
	v := &pb.Verdict{Candidate: m.coordination.candidate.offset, Vm: m.self}
	acks := 0
	var missing []*pb.Refusal
	for _, vm := range m.view.Live() {
		a := m.coordination.answers[vm.Name]
		if vm.Name == m.self {
			a = m.ownAnswer(now)
		}
		switch {
		case a.kind == pb.Answer_ANSWER_NACK:
			v.Refusals = append(v.Refusals, a.refusals...)
		case a.kind == pb.Answer_ANSWER_ACK && now.Sub(a.at) <= m.timing.AckTimeout:
			acks++
		default:
			missing = append(missing, m.missingAck(vm, a))
		}
	}
	if len(v.Refusals) > 0 {
		v.Refusals = v.Refusals[:min(len(v.Refusals), maxRefusals)]
		return v
	}
	majority := 2*acks > m.fleetSize()
	if len(missing) == 0 && majority {
		v.Commit = true
		return v
	}
	if now.Sub(m.coordination.startedAt) < m.verdictTimeout() {
		return nil
	}
	if len(missing) == 0 {
		missing = m.refusal("only %d of %d VMs answer; more than half are needed", acks, m.fleetSize())
	}
	v.Refusals = missing[:min(len(missing), maxRefusals)]
	return v
}

// verdictTimeout returns the time after which missing acknowledgements refuse
// the candidate.
func (m *Machine) verdictTimeout() time.Duration {
	if 2*m.reachableCount() > m.fleetSize() {
		return m.timing.AckTimeout
	}
	return minorityTimeoutFactor * m.timing.AckTimeout
}

// missingAck returns the refusal for a VM that has not acknowledged in time.
func (m *Machine) missingAck(vm fleet.VM, a answer) *pb.Refusal {
	reason := fmt.Sprintf("did not answer within %s (%s)", m.timing.AckTimeout, vm.State)
	switch {
	case vm.Name == m.self && m.stages[m.coordination.candidate.offset] != nil && m.stages[m.coordination.candidate.offset].err != nil:
		reason = m.stages[m.coordination.candidate.offset].err.Error()
	case a.kind != pb.Answer_ANSWER_UNSPECIFIED:
		reason = fmt.Sprintf("was not ready within %s", m.timing.AckTimeout)
	}
	return &pb.Refusal{Vm: vm.Name, Reason: reason}
}

// Appended handles the result of an Append. An append that failed or whose
// reply was lost is retried after the takeover delay unless the record was read
// from the log by then. Duplicate records are harmless.
func (m *Machine) Appended(now time.Time, r *pb.Record, err error) {
	switch kind := r.Kind.(type) {
	case *pb.Record_Verdict:
		if m.coordination != nil && m.coordination.candidate.offset == kind.Verdict.GetCandidate() {
			m.coordination.appending = false
			m.coordination.retryAt = now.Add(m.timing.Takeover)
		}
	case *pb.Record_InForce:
		m.reappend.appended(now, m.timing)
	case *pb.Record_Confirmation:
		m.confirm.appended(now, m.timing)
	}
	if err != nil {
		m.emitEvent(event.ConfigAppendFailed, m.applied.number, "", "", err)
	}
}
