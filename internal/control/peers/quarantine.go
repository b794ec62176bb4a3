package peers

import (
	"context"
	"fmt"
	"strconv"

	"currantpulley/internal/control/exchange"
	"currantpulley/internal/event"
	"currantpulley/internal/freshness"
	"currantpulley/internal/quarantine"
)

// newQuarantine returns the table of the parts of prompts that crash upstreams, whose
// evidence all daemons share until ctx ends.
func (p *Peers) newQuarantine(ctx context.Context) *quarantine.Table {
	return quarantine.New(quarantine.Options{
		Announce:  func(s quarantine.Suspect) { p.exchange.Announce(ctx, exchange.Notice{Suspect: &s}) },
		Turn:      p.mayTry,
		OnVerdict: p.recordVerdict,
	})
}

// Quarantine returns the parts of prompts that crash upstreams, as all daemons know
// them.
func (p *Peers) Quarantine() *quarantine.Table { return p.quarantine }

// mayTry reports whether this daemon may let a request with a quarantined part through
// in the numbered slot: in each slot one daemon may.
func (p *Peers) mayTry(part quarantine.Part, slot int64) bool {
	return p.ownsFirst(strconv.FormatUint(uint64(part), 16) + "/" + strconv.FormatInt(slot, 10))
}

// suspect returns the evidence against a quarantined part for the exchange.
func (p *Peers) suspect() (quarantine.Suspect, bool) { return p.quarantine.Share(freshness.Time()) }

// recordVerdict records an event for a new verdict on a part.
func (p *Peers) recordVerdict(part quarantine.Part, v quarantine.Verdict, crashes int) {
	id := event.PartSuspected
	switch v {
	case quarantine.Quarantined:
		id = event.PartQuarantined
	case quarantine.Sound:
		id = event.PartReleased
	case quarantine.Suspected:
	}
	p.opts.Recorder.Record(event.Event{ID: id, Step: "quarantine", Detail: fmt.Sprintf("%s, %d crashes", part, crashes)})
}
