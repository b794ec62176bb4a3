package publish

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	pb "currantpulley/internal/control/publish/publishpb"
	"currantpulley/internal/fleet"
)

// StatusPath is where StatusHandler is served on the admin listener.
const StatusPath = "/admin/publish/status"

// Status is what one daemon knows about publishing.
type Status struct {
	VM        string           `json:"vm"`
	Version   uint64           `json:"version"`
	Hash      string           `json:"hash"`
	Detached  string           `json:"detached,omitempty"` // reason; empty: not detached
	Position  uint64           `json:"position"`           // next offset of the stream
	Halted    string           `json:"halted,omitempty"`   // why the stream can't be followed
	Centres   []CentreStatus   `json:"data_centres"`
	Candidate *CandidateStatus `json:"candidate,omitempty"` // the one that is decided next
	Outcomes  []Outcome        `json:"outcomes"`            // decided candidates, oldest first
}

// CentreStatus counts the VMs of a data centre.
type CentreStatus struct {
	DataCentre string `json:"data_centre"`
	Live       int    `json:"live"`
	InForce    int    `json:"in_force"` // known to have Version or a later one
	Acked      int    `json:"acked"`    // of the candidate that this daemon coordinates
}

// CandidateStatus is the progress of a candidate as its coordinator sees it.
type CandidateStatus struct {
	Candidate uint64   `json:"candidate"`
	Author    string   `json:"author"`
	Leading   bool     `json:"leading"` // whether this daemon coordinates it
	Acked     []string `json:"acked,omitempty"`
	Waiting   []string `json:"waiting,omitempty"`
}

// Status returns what the machine knows.
func (m *Machine) Status(now time.Time) Status {
	s := Status{
		VM:       m.self,
		Version:  m.applied.number,
		Hash:     m.applied.hash,
		Detached: m.detachReason(now),
		Position: m.history.next,
		Outcomes: slices.Clone(m.history.outcomes),
	}
	if m.history.haltedErr != nil {
		s.Halted = m.history.haltedErr.Error()
	}
	if c := m.history.head(); c != nil {
		s.Candidate = m.candidateStatus(now, c)
	}
	for _, vm := range m.view.Live() {
		s.countVM(vm, m.versions[vm.Name] >= m.applied.number || vm.Name == m.self)
	}
	return s
}

func (s *Status) countVM(vm fleet.VM, inForce bool) {
	i := slices.IndexFunc(s.Centres, func(c CentreStatus) bool { return c.DataCentre == vm.DataCentre })
	if i < 0 {
		i = len(s.Centres)
		s.Centres = append(s.Centres, CentreStatus{DataCentre: vm.DataCentre})
	}
	s.Centres[i].Live++
	if inForce {
		s.Centres[i].InForce++
	}
	if s.Candidate != nil && slices.Contains(s.Candidate.Acked, vm.Name) {
		s.Centres[i].Acked++
	}
}

func (m *Machine) candidateStatus(now time.Time, c *candidate) *CandidateStatus {
	out := &CandidateStatus{Candidate: c.offset, Author: c.GetAuthor()}
	if m.coordination == nil || m.coordination.startedAt.IsZero() {
		return out
	}
	out.Leading = true
	for _, vm := range m.view.Live() {
		a := m.coordination.answers[vm.Name]
		if vm.Name == m.self {
			a = m.ownAnswer(now)
		}
		if a.kind == pb.Answer_ANSWER_ACK {
			out.Acked = append(out.Acked, vm.Name)
		} else {
			out.Waiting = append(out.Waiting, vm.Name)
		}
	}
	return out
}

// StatusHandler serves the Status as JSON.
func (p *Publisher) StatusHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s, err := p.Status(r.Context())
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s)
	})
}

// Status returns what this daemon knows about publishing.
func (p *Publisher) Status(ctx context.Context) (Status, error) {
	var s Status
	err := p.opts.Loop.Do(ctx, func(now time.Time) { s = p.machine.Status(now) })
	return s, err
}
