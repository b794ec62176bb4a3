package exchange

import (
	"math"

	"currantpulley/internal/control/exchange/exchangepb"
	"currantpulley/internal/placement/pace"
)

const (
	pacePeriods = 2    // periods for which an upstream's pace is sent after an answer
	maxPaces    = 32   // maximum number of paces in one state
	paceLogUnit = 0.01 // of exchangepb.Pace.Log
	paceUnit    = 0.1  // of exchangepb.Pace.Weight, in answers
)

// paces returns what this daemon's next state tells of upstreams' paces.
func (e *Exchange) paces() []*exchangepb.Pace {
	if e.opts.Paces == nil {
		return nil
	}
	claims := e.opts.Paces(pacePeriods*period(len(e.opts.View().Live())), maxPaces)
	out := make([]*exchangepb.Pace, 0, len(claims))
	for _, c := range claims {
		out = append(out, &exchangepb.Pace{
			Upstream: c.Upstream, Log: int32(math.Round(c.Log / paceLogUnit)), Weight: uint32(math.Max(1, math.Round(c.Weight/paceUnit))),
		})
	}
	return out
}

// applyPaces applies what another daemon's state tells of upstreams' paces. No daemon sends
// more than maxPaces.
func (e *Exchange) applyPaces(s *exchangepb.State) {
	messages := s.GetPaces()
	if e.opts.OnPaces == nil || len(messages) == 0 {
		return
	}
	messages = messages[:min(maxPaces, len(messages))]
	claims := make([]pace.Claim, 0, len(messages))
	for _, m := range messages {
		claims = append(claims, pace.Claim{Upstream: m.GetUpstream(), Log: float64(m.GetLog()) * paceLogUnit, Weight: float64(m.GetWeight()) * paceUnit})
	}
	e.opts.OnPaces(s.GetVm(), claims)
}
