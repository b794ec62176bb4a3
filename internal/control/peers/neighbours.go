package peers

import "time"

// Neighbours returns the number of live daemons in this data centre, this one included, and
// the time until they see each other's work.
func (p *Peers) Neighbours() (daemons int, delay time.Duration) {
	return max(1, len(p.View().In(p.opts.Settings.DataCentre))), p.exchange.Period()
}
