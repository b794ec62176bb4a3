package exchange

import (
	"currantpulley/internal/control/exchange/exchangepb"
	"currantpulley/internal/quarantine"
)

// suspectPeriod is the number of states of which one carries evidence against a
// quarantined part, for daemons that have missed the notices.
const suspectPeriod = 8

// suspects returns the evidence that this daemon's next state carries.
func (e *Exchange) suspects() []*exchangepb.Suspect {
	if e.opts.Suspect == nil || e.sequence%suspectPeriod != 0 {
		return nil
	}
	s, ok := e.opts.Suspect()
	if !ok {
		return nil
	}
	return []*exchangepb.Suspect{encodeSuspect(s)}
}

// applySuspects applies the evidence in another daemon's state.
func (e *Exchange) applySuspects(suspects []*exchangepb.Suspect) {
	for _, message := range suspects {
		s := decodeSuspect(message)
		e.opts.OnNotice(Notice{Suspect: &s})
	}
}

// encodeSuspect returns the message of s.
func encodeSuspect(s quarantine.Suspect) *exchangepb.Suspect {
	message := &exchangepb.Suspect{Part: uint64(s.Part), Depth: uint32(s.Depth), IdleMs: uint32(s.Idle.Milliseconds())}
	for _, c := range s.Crashes {
		message.Crashes = append(message.Crashes, &exchangepb.Crash{
			Upstream: c.Upstream, AgeMs: uint32(c.Age.Milliseconds()), WaitedMs: uint32(c.Waited.Milliseconds()), Disproved: c.Disproved,
		})
	}
	return message
}

// decodeSuspect returns the evidence in a message.
func decodeSuspect(message *exchangepb.Suspect) quarantine.Suspect {
	s := quarantine.Suspect{
		Part: quarantine.Part(message.GetPart()), Depth: int(message.GetDepth()), Idle: milliseconds(message.GetIdleMs()),
	}
	for _, c := range message.GetCrashes() {
		s.Crashes = append(s.Crashes, quarantine.Crash{
			Upstream: c.GetUpstream(), Age: milliseconds(c.GetAgeMs()), Waited: milliseconds(c.GetWaitedMs()), Disproved: c.GetDisproved(),
		})
	}
	return s
}
