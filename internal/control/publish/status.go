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

// StatusPath is the path of StatusHandler on the admin listener.
const StatusPath = "/admin/publish/status"

// Status is the state of publishing as one daemon knows it.
type Status struct {
	VM        string           `json:"vm"`
	Version   uint64           `json:"version"`
	Hash      string           `json:"hash"`
	Detached  string           `json:"detached,omitempty"` // reason; empty: attached
	Position  uint64           `json:"position"`           // offset of the next record to read
	Halted    string           `json:"halted,omitempty"`   // error of the record that stopped processing; empty: none
	Centres   []CentreStatus   `json:"data_centres"`
	Candidate *CandidateStatus `json:"candidate,omitempty"` // decided next; nil: none
	Outcomes  []Outcome        `json:"outcomes"`            // decided candidates, oldest first
}

// CentreStatus counts the VMs of a data centre.
type CentreStatus struct {
	DataCentre string `json:"data_centre"`
	Live       int    `json:"live"`
	InForce    int    `json:"in_force"` // VMs known to have Version or a later one
	Acked      int    `json:"acked"`    // VMs that acknowledged the candidate that this daemon coordinates
}

// CandidateStatus is the progress of a candidate. Acked and Waiting are only set
// by a daemon that coordinates it.
type CandidateStatus struct {
	Candidate    uint64   `json:"candidate"`
	Author       string   `json:"author"`
	Coordinating bool     `json:"leading"`           // whether this daemon coordinates it
	Acked        []string `json:"acked,omitempty"`   // VMs that acknowledged it
	Waiting      []string `json:"waiting,omitempty"` // live VMs that have not acknowledged it
}

// Status returns the state of publishing as this VM knows it.
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

// countVM adds vm to the counts of its data centre.
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
	out.Coordinating = true
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

// StatusHandler returns a handler that serves the Status as JSON.
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

// Status returns the state of publishing as this daemon knows it. It fails if
// ctx ends first.
func (p *Publisher) Status(ctx context.Context) (Status, error) {
	var s Status
	err := p.opts.Loop.Do(ctx, func(now time.Time) { s = p.machine.Status(now) })
	return s, err
}
