package decide

import (
	"context"
	"fmt"
	"time"

	"currantpulley/internal/config"
	"currantpulley/internal/event"
	"currantpulley/internal/fleet"
	"currantpulley/internal/pipe"
	"currantpulley/internal/prompt"
	"currantpulley/internal/rendezvous"
	"currantpulley/internal/snapshot"
)

const pieceTokens = 2048

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// harness is a scheduler with a clock and a snapshot that tests control.
type harness struct {
	*Scheduler
	now    time.Time
	snap   *snapshot.Snapshot
	config *config.Config
	events []event.Event
}

func (s *harness) Record(e event.Event) { s.events = append(s.events, e) }

// newHarness returns a harness with n engines and the given number of live daemons.
func newHarness(n, live int) *harness {
	s := &harness{now: start, config: &config.Config{
		Models:     map[string]*config.Model{"m": {Name: "m", Weights: "w1", PieceTokens: pieceTokens}},
		Workspaces: map[string]*config.Workspace{},
		Placement:  config.Placement{Owners: 3, OwnersMax: 8, EventSampling: 64, LoadBound: 1.5},
		Admission:  config.Admission{QueueMax: 64, LongTokens: 16384, LongShare: 0.5, SlowShare: 0.34, WindowStart: 8},
		Retry:      config.Retry{Budget: 0.1, HedgeBudget: 0.05, AttemptsMax: 3, HedgeAfter: config.Duration(300 * time.Millisecond)},
	}}
	s.snap = &snapshot.Snapshot{Version: 1, Config: s.config, BuiltAt: start, Admitting: true}
	for i := range live {
		s.snap.View.VMs = append(s.snap.View.VMs, fleet.VM{Name: fmt.Sprintf("vm-%03d", i)})
	}
	for i := range n {
		s.snap.Upstreams = append(s.snap.Upstreams, newUpstream(i))
	}
	s.Scheduler = New(s, func() time.Time { return s.now }, func() *snapshot.Snapshot { return s.snap })
	return s
}

func newUpstream(i int) *snapshot.Upstream {
	name := fmt.Sprintf("engine-%04d", i)
	return &snapshot.Upstream{
		Upstream:    &config.Upstream{Name: name, Kind: config.KindEngine, Models: []string{"m"}, Concurrency: 64},
		Hash:        rendezvous.Hash(name),
		Health:      snapshot.Up,
		Incarnation: "i1",
		Weights:     map[string]string{"m": "w1"},
		Load:        snapshot.Load{At: start},
	}
}

// change sets a new snapshot in which f has changed upstream i.
func (s *harness) change(i int, f func(*snapshot.Upstream)) {
	next := *s.snap
	next.Upstreams = append([]*snapshot.Upstream(nil), s.snap.Upstreams...)
	u := *next.Upstreams[i]
	u.Load.At = s.now.Add(time.Millisecond)
	f(&u)
	next.Upstreams[i] = &u
	next.BuiltAt = s.now.Add(time.Millisecond)
	s.snap = &next
}

// pieces returns the hashes of n pieces that are unique to path.
func pieces(path string, n int) []uint64 {
	chain := make([]uint64, n)
	for i := range chain {
		chain[i] = rendezvous.Hash(fmt.Sprintf("%s/%d", path, i))
	}
	return chain
}

// exchange returns a request of a workspace whose prompt has the given pieces.
func (s *harness) exchange(workspace string, chain []uint64) *pipe.Exchange {
	return &pipe.Exchange{
		Ctx:       context.Background(),
		Snap:      s.snap,
		ID:        "r",
		Model:     s.config.Models["m"],
		Workspace: &config.Workspace{Name: workspace, Weight: 1},
		Deadline:  s.now.Add(2 * time.Second),
		Prompt: &prompt.Prompt{
			Scope:     prompt.Scope{Workspace: workspace, Model: "m", Weights: "w1"},
			Tokens:    len(chain)*pieceTokens + 10,
			MaxOutput: 64,
			PieceSize: pieceTokens,
			Pieces:    chain,
		},
	}
}

// admit classifies x and submits it.
func (s *harness) admit(x *pipe.Exchange) (*ticket, error) {
	x.Class = s.Class(x)
	return s.submit(x)
}

// startAttempt picks an upstream for an admitted x and starts an attempt there.
func (s *harness) startAttempt(x *pipe.Exchange) (*pipe.Attempt, error) {
	c, err := s.Picker(x).Pick(x.Ctx, x, nil)
	if err != nil {
		return nil, err
	}
	a := &pipe.Attempt{Exchange: x, Choice: c, Number: 1, SentAt: s.now}
	x.Attempts = append(x.Attempts, a)
	s.Started(a)
	return a, nil
}

// finishAttempt completes an attempt: the first token comes after ttft, the end of
// the answer after ttft once more.
func (s *harness) finishAttempt(a *pipe.Attempt, ttft time.Duration, cached int) {
	a.Incarnation, a.Weights = a.Choice.Upstream.Incarnation, "w1"
	s.now = s.now.Add(ttft)
	a.FirstTokenAt = s.now
	s.FirstToken(a)
	s.now = s.now.Add(ttft)
	a.EndedAt = s.now
	a.PromptTokens, a.CachedTokens, a.OutputTokens = a.Exchange.Prompt.Tokens, cached, 32
	s.Finished(a)
}
