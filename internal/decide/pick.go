package decide

import (
	"context"
	"errors"
	"slices"
	"time"

	"currantpulley/internal/event"
	"currantpulley/internal/pipe"
	"currantpulley/internal/refusal"
	"currantpulley/internal/snapshot"
)

// Picker implements place.Placement.
func (s *Scheduler) Picker(x *pipe.Exchange) pipe.Picker {
	if x.Prompt == nil {
		return servicePicker{s}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.syncSnapshot(x.Snap, s.clock())
	return s.ticketOf(x)
}

// errEngineExpected is the error of a pick that succeeds when an engine has loaded the
// model's weights.
var errEngineExpected = errors.New("an engine is expected to load the weights")

// Pick implements pipe.Picker. It waits while no upstream can take the request but an
// engine is expected to load the model's weights, as a request that isn't admitted yet does.
func (t *ticket) Pick(ctx context.Context, _ *pipe.Exchange, tried []string) (pipe.Choice, error) {
	for {
		if err := context.Cause(ctx); err != nil {
			return pipe.Choice{}, refusal.New(refusal.DeadlineExceeded, "the request ended before it was sent").WithCause(err)
		}
		choice, err := t.scheduler.pickNow(t, tried)
		if !errors.Is(err, errEngineExpected) {
			return choice, err
		}
		select {
		case <-ctx.Done():
		case <-time.After(queuePollInterval):
		}
	}
}

// pickNow returns the upstream for an attempt. The first pick of an admitted request is
// the upstream that admission reserved. Later picks are scored again and do not wait for
// room, since the retry and hedge budgets bound their number. The error is
// errEngineExpected or a refusal.
func (s *Scheduler) pickNow(t *ticket, tried []string) (pipe.Choice, error) {
	now := s.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.syncSnapshot(t.x.Snap, now)
	s.refreshModel(t)
	if t.granted && !t.choiceUsed {
		t.choiceUsed = true
		if len(tried) == 0 && s.stillAcceptsRequests(t) {
			return t.choice, nil
		}
	}
	var buffer [candidatesMax]candidate
	d := s.choose(&t.work, tried, now, buffer[:0])
	if d.best == nil && s.engineExpected(t, tried, now) {
		return pipe.Choice{}, errEngineExpected
	}
	if d.best == nil {
		return pipe.Choice{}, s.noUpstreamRefusal(t, now)
	}
	d.best.up.speed.Probe(now)
	t.knownCached, t.idle = d.best.knownCached, d.best.idle
	return s.choiceOf(t, &d, now), nil
}

// stillAcceptsRequests reports whether the reserved upstream can also serve the
// request according to the newest snapshot.
func (s *Scheduler) stillAcceptsRequests(t *ticket) bool {
	u := t.reserved
	return u != nil && s.fleet.byNumber[u.number] == u && u.snap.AcceptsRequests() && u.snap.Serves(t.work.model)
}

// servicePicker picks the replica of a plain service that has the fewest requests
// of this daemon in flight.
type servicePicker struct{ scheduler *Scheduler }

// Pick implements pipe.Picker.
func (p servicePicker) Pick(_ context.Context, x *pipe.Exchange, tried []string) (pipe.Choice, error) {
	s := p.scheduler
	now := s.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.syncSnapshot(x.Snap, now)
	best := s.leastReplica(x.Route.Service, tried)
	if best == nil {
		s.record(event.NoUpstreamForWork, x, x.Route.Service, now)
		return pipe.Choice{}, refusal.New(refusal.NoUpstream, "no replica of the service can take the request now").WithRetryAfter(noUpstreamRetryAfter)
	}
	return pipe.Choice{Upstream: best, Level: -1, Priority: x.Priority, Reason: "fewest requests in flight"}, nil
}

func (s *Scheduler) leastReplica(service string, tried []string) *snapshot.Upstream {
	var best *snapshot.Upstream
	least := 0
	for _, su := range s.fleet.snap.Upstreams {
		if su.Service != service || service == "" || !su.AcceptsRequests() || slices.Contains(tried, su.Name) {
			continue
		}
		own := s.fleet.byName[su.Name].load.Own()
		if best == nil || own < least {
			best, least = su, own
		}
	}
	return best
}

// expectedOutput returns the expected output length of x in tokens.
func (s *Scheduler) expectedOutput(x *pipe.Exchange) float64 {
	output := float64(outputStart)
	if x.Workspace != nil {
		if learned, ok := s.meanOutput[x.Workspace.Name]; ok {
			output = learned
		}
	}
	if x.Prompt.MaxOutput > 0 {
		return min(output, float64(x.Prompt.MaxOutput))
	}
	return output
}

// outputStart is the expected output length in tokens before any answer of the
// workspace was seen.
const outputStart = 128

// learnOutput updates the mean output length of a workspace, in tokens.
func (s *Scheduler) learnOutput(workspace string, tokens int) {
	old, ok := s.meanOutput[workspace]
	if !ok {
		old = float64(tokens)
	}
	s.meanOutput[workspace] = old + outputSmoothing*(float64(tokens)-old)
}

const outputSmoothing = 0.1
