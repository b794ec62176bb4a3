package publish

import (
	"fmt"
	"time"

	pb "currantpulley/internal/control/publish/publishpb"
	"currantpulley/internal/event"
)

// stageState is the state of a candidate on this VM.
type stageState uint8

const (
	stageNeedsContent stageState = iota
	stageChecking
	stageAcked
	stageNacked
)

// stage is a candidate on this VM, with its content and the result of its
// checks.
type stage struct {
	hash     string
	content  []byte // nil: it could not be decoded
	state    stageState
	refusals []*pb.Refusal
	err      error // why the content could not be decoded
}

const maxStages = 8 // candidates kept at once

// stageHead starts the checks of the candidate that is decided next, if it was
// made from the version in force here.
func (m *Machine) stageHead(now time.Time) {
	c := m.history.head()
	if c == nil || m.stages[c.offset] != nil || c.GetParent() != m.applied.number {
		return
	}
	content, err := decodePayload(c.GetPayload(), c.GetHash(), m.history.fullRecords)
	if err != nil {
		m.stages[c.offset] = &stage{hash: c.GetHash(), err: err}
		return
	}
	m.startStage(now, c.offset, c.GetHash(), c.GetOverride(), content)
}

// startStage stores the content of a candidate and requests its checks.
func (m *Machine) startStage(_ time.Time, offset uint64, hash string, override bool, content []byte) {
	m.dropOldStages()
	m.stages[offset] = &stage{hash: hash, content: content, state: stageChecking}
	m.emit(Check{Candidate: offset, Content: content, Hash: hash, Override: override})
}

// dropOldStages drops the oldest stages until there is space for another one.
func (m *Machine) dropOldStages() {
	for len(m.stages) >= maxStages {
		oldest := uint64(0)
		for offset := range m.stages {
			if oldest == 0 || offset < oldest {
				oldest = offset
			}
		}
		delete(m.stages, oldest)
	}
}

// Checked handles the result of a Check. Without refusals, this VM acknowledges
// the candidate.
func (m *Machine) Checked(now time.Time, offset uint64, refusals []*pb.Refusal) {
	s := m.stages[offset]
	if s == nil || s.state != stageChecking {
		return
	}
	s.state, s.refusals = stageAcked, refusals
	if len(refusals) > 0 {
		s.state = stageNacked
		m.emitEvent(event.ConfigNacked, offset, "", FormatRefusals(refusals), nil)
	}
	m.coordinate(now)
}

// Offer returns the configuration in force for a VM that requests it. A detached
// VM returns none, since it may have missed newer versions.
func (m *Machine) Offer() version {
	if m.detached {
		return version{}
	}
	return m.applied
}

// Stage answers the request of a VM that coordinates a candidate.
func (m *Machine) Stage(now time.Time, r *pb.StageRequest) *pb.StageReply {
	m.lastPeerContact = now
	reply := &pb.StageReply{Version: m.applied.number}
	reply.Answer, reply.Refusals = m.answer(now, r)
	return reply
}

// answer returns this VM's answer to r. The answer is pending while this VM has
// another version in force than the candidate's parent, or knows that the
// candidate is decided or not the next one.
func (m *Machine) answer(now time.Time, r *pb.StageRequest) (pb.Answer, []*pb.Refusal) {
	h := m.history
	if h.haltedOffset != 0 {
		return pb.Answer_ANSWER_NACK, m.refusal("the configuration stream can't be processed past record %d: %v", h.haltedOffset, h.haltedErr)
	}
	if r.GetParent() != m.applied.number || r.GetCandidate() <= m.applied.number {
		return pb.Answer_ANSWER_PENDING, nil
	}
	o, read := h.outcome(r.GetCandidate())
	if read && o.Result != Open {
		return pb.Answer_ANSWER_PENDING, nil
	}
	m.stageHead(now)
	s := m.stages[r.GetCandidate()]
	if s == nil && read && h.known {
		return pb.Answer_ANSWER_PENDING, nil
	}
	if s == nil || s.state == stageNeedsContent {
		return m.stageContent(now, r)
	}
	return s.answer()
}

// answer returns the answer that follows from the state of the checks.
func (s *stage) answer() (pb.Answer, []*pb.Refusal) {
	switch s.state {
	case stageAcked:
		return pb.Answer_ANSWER_ACK, nil
	case stageNacked:
		return pb.Answer_ANSWER_NACK, s.refusals
	case stageNeedsContent:
		return pb.Answer_ANSWER_NEED_CONTENT, nil
	case stageChecking:
	}
	return pb.Answer_ANSWER_PENDING, nil
}

// stageContent stages a candidate that this VM could not read from the log, with
// the content that the coordinator sent.
func (m *Machine) stageContent(now time.Time, r *pb.StageRequest) (pb.Answer, []*pb.Refusal) {
	if len(r.GetContent()) == 0 {
		return pb.Answer_ANSWER_NEED_CONTENT, nil
	}
	content, err := decompress(r.GetContent())
	if err == nil {
		err = verifyHash(content, r.GetHash())
	}
	if err != nil {
		return pb.Answer_ANSWER_NACK, m.refusal("the content from %s can't be decoded: %v", r.GetFrom(), err)
	}
	m.startStage(now, r.GetCandidate(), r.GetHash(), r.GetOverride(), content)
	return pb.Answer_ANSWER_PENDING, nil
}

// refusal returns one refusal of this VM.
func (m *Machine) refusal(format string, args ...any) []*pb.Refusal {
	return []*pb.Refusal{{Vm: m.self, Reason: fmt.Sprintf(format, args...)}}
}
