package decide

import (
	"currantpulley/internal/event"
	"currantpulley/internal/limits"
	"currantpulley/internal/pipe"
	"currantpulley/internal/refusal"
)

// Take implements the Limiter of the limits filter. It charges the workspace for
// the prompt and the expected output, or returns a *refusal.Error.
func (s *Scheduler) Take(x *pipe.Exchange) error {
	if x.Workspace == nil {
		return nil
	}
	now := s.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.syncSnapshot(x.Snap, now)
	tokens := 0.0
	if x.Prompt != nil {
		tokens = float64(x.Prompt.Tokens) + s.expectedOutput(x)
	}
	ok, wait := s.ledger.Take(x.Workspace, tokens, s.fleet.liveDaemons, now)
	if !ok {
		s.record(event.LimitReached, x, "", now)
		return refusal.New(refusal.RateLimited, "the workspace is over its limit").WithRetryAfter(wait)
	}
	if x.Prompt != nil {
		s.ticketOf(x).chargedTokens = tokens
	}
	return nil
}

// Settle implements the Limiter of the limits filter. A request is charged for
// the attempt that was answered, regardless of hedges and retries, and for nothing
// when no attempt was made.
func (s *Scheduler) Settle(x *pipe.Exchange) {
	t, ok := x.Picker.(*ticket)
	if !ok || t.chargedTokens == 0 {
		return
	}
	usedTokens := 0.0
	for _, a := range x.Attempts {
		usedTokens = max(usedTokens, float64(a.PromptTokens+a.OutputTokens))
	}
	if usedTokens == 0 && len(x.Attempts) > 0 {
		return // the engine reported no token counts
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.Settle(x.Workspace.Name, t.chargedTokens-usedTokens)
	t.chargedTokens = 0
}

// Usage returns the demand on this daemon by workspace since the last call.
func (s *Scheduler) Usage() []limits.Use {
	now := s.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.Usage(now)
}

// Apply sets the demand summed over all daemons.
func (s *Scheduler) Apply(totals []limits.Total) {
	now := s.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ledger.Apply(totals, now)
}
