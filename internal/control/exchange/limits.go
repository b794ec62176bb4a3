package exchange

import (
	"currantpulley/internal/control/exchange/exchangepb"
	"currantpulley/internal/ratelimit"
)

// limits returns the limits that this daemon's next state carries, for daemons that
// have missed a notice or know an older one.
func (e *Exchange) limits() []*exchangepb.Limit {
	if e.opts.Limit == nil {
		return nil
	}
	s, ok := e.opts.Limit()
	if !ok {
		return nil
	}
	return []*exchangepb.Limit{encodeLimit(s)}
}

// applyLimits applies the limits in another daemon's state.
func (e *Exchange) applyLimits(limits []*exchangepb.Limit) {
	for _, message := range limits {
		s := decodeLimit(message)
		e.opts.OnNotice(Notice{Limit: &s})
	}
}

// encodeLimit returns the message of s.
func encodeLimit(s ratelimit.Statement) *exchangepb.Limit {
	return &exchangepb.Limit{Upstream: s.Upstream, Limited: s.Limited, Rate: uint32(s.Rate), Version: s.Version}
}

// decodeLimit returns the limit in a message.
func decodeLimit(message *exchangepb.Limit) ratelimit.Statement {
	return ratelimit.Statement{
		Upstream: message.GetUpstream(), Limited: message.GetLimited(), Rate: ratelimit.Rate(message.GetRate()), Version: message.GetVersion(),
	}
}
