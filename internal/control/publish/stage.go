package publish

import (
	"fmt"
	"time"

	pb "currantpulley/internal/control/publish/publishpb"
	"currantpulley/internal/event"
)

// stageState is how far a VM is with a candidate.
type stageState uint8

const (
	stageNeedsContent stageState = iota
	stageChecking
	stageAcked
	stageNacked
)

// stage is a candidate that this VM can take into force or has refused.
type stage struct {
	hash     string
	content  []byte // nil: not readable here
	state    stageState
	refusals []*pb.Refusal
	err      error // why the content can't be read
}

const maxStages = 8

// stageHead begins the checks of the candidate that is decided next.
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

func (m *Machine) startStage(_ time.Time, offset uint64, hash string, override bool, content []byte) {
	m.dropOldStages()
	m.stages[offset] = &stage{hash: hash, content: content, state: stageChecking}
	m.emit(Check{Candidate: offset, Content: content, Hash: hash, Override: override})
}

// dropOldStages bounds the memory for candidates.
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

// Checked takes the result of a Check; no refusals mean that this VM can take
// the candidate into force.
func (m *Machine) Checked(now time.Time, offset uint64, refusals []*pb.Refusal) {
	s := m.stages[offset]
	if s == nil || s.state != stageChecking {
		return
	}
	s.state, s.refusals = stageAcked, refusals
	if len(refusals) > 0 {
		s.state = stageNacked
		m.emitEvent(event.ConfigNacked, offset, "", RefusalText(refusals), nil)
	}
	m.coordinate(now)
}

// Offer returns the configuration in force for another VM that asks. A
// detached VM offers none, since it may have missed newer ones.
func (m *Machine) Offer() version {
	if m.detached {
		return version{}
	}
	return m.applied
}

// Stage answers another VM that coordinates a candidate.
func (m *Machine) Stage(now time.Time, r *pb.StageRequest) *pb.StageReply {
	m.lastPeerContact = now
	reply := &pb.StageReply{Version: m.applied.number}
	reply.Answer, reply.Refusals = m.answer(now, r)
	return reply
}

func (m *Machine) answer(now time.Time, r *pb.StageRequest) (pb.Answer, []*pb.Refusal) {
	h := m.history
	if h.haltedOffset != 0 {
		return pb.Answer_ANSWER_NACK, m.refusal("the log can't be followed past record %d: %v", h.haltedOffset, h.haltedErr)
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

// stageContent stages a candidate that the log does not give here, from the
// content that the coordinator sent.
func (m *Machine) stageContent(now time.Time, r *pb.StageRequest) (pb.Answer, []*pb.Refusal) {
	if len(r.GetContent()) == 0 {
		return pb.Answer_ANSWER_NEED_CONTENT, nil
	}
	content, err := decompress(r.GetContent())
	if err == nil {
		err = verifyHash(content, r.GetHash())
	}
	if err != nil {
		return pb.Answer_ANSWER_NACK, m.refusal("the content from %s can't be read: %v", r.GetFrom(), err)
	}
	m.startStage(now, r.GetCandidate(), r.GetHash(), r.GetOverride(), content)
	return pb.Answer_ANSWER_PENDING, nil
}

func (m *Machine) refusal(format string, args ...any) []*pb.Refusal {
	return []*pb.Refusal{{Vm: m.self, Reason: fmt.Sprintf(format, args...)}}
}
