package decide

import (
	"testing"
	"time"

	"currantpulley/internal/config"
	"currantpulley/internal/refusal"
	"currantpulley/internal/snapshot"
)

// publishNewWeights configures weights of the model that no engine serves yet.
func publishNewWeights(s *harness) {
	c := *s.config
	c.Models = map[string]*config.Model{"m": {Name: "m", Weights: "w2", PieceTokens: pieceTokens}}
	next := *s.snap
	next.Config, next.Version, next.BuiltAt = &c, s.snap.Version+1, s.now.Add(time.Millisecond)
	s.config, s.snap = &c, &next
}

func TestRequestsWaitForTheFirstEngineWithNewWeights(t *testing.T) {
	for name, c := range map[string]struct {
		loaded  time.Duration
		granted bool
	}{
		"loaded soon": {500 * time.Millisecond, true},
		"never":       {weightsLoadTimeout, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := newHarness(4, 1)
			publishNewWeights(s)
			x := s.exchange("w", pieces("p", 2))
			x.Arrived, x.Deadline = s.now, s.now.Add(time.Minute)
			ticket, err := s.admit(x)
			if err != nil {
				t.Fatalf("refused immediately: %v", err)
			}
			s.now = s.now.Add(c.loaded)
			if c.granted {
				s.change(2, func(u *snapshot.Upstream) { u.Weights = map[string]string{"m": "w2"} })
			}
			s.pollQueue()
			if ticket.granted != c.granted {
				t.Fatalf("granted %v, want %v", ticket.granted, c.granted)
			}
			if c.granted {
				if got := ticket.choice.Upstream.Name; got != "engine-0002" {
					t.Fatalf("went to %s, which serves the old weights", got)
				}
				return
			}
			if r := ticket.refused; r == nil || r.Code != refusal.NoUpstream || r.Effect != refusal.NotRun || r.RetryAfter == 0 {
				t.Fatalf("got refusal %+v, want one with code no_upstream, effect not-run and a retry time", r)
			}
		})
	}
}

func TestRequestsDoNotWaitForDownEngines(t *testing.T) {
	s := newHarness(2, 1)
	for i := range 2 {
		s.change(i, func(u *snapshot.Upstream) { u.Health = snapshot.Down })
	}
	x := s.exchange("w", pieces("p", 2))
	x.Arrived = s.now
	if _, err := s.admit(x); err == nil {
		t.Fatal("the request was queued although no engine is up")
	}
}
