package peers

import "time"

// Neighbours returns the number of live daemons in this data centre, this one included, and
// the time until they see each other's work.
func (p *Peers) Neighbours() (daemons int, delay time.Duration) {
	for _, vm := range p.View().Live() {
		if vm.DataCentre == p.opts.Settings.DataCentre {
			daemons++
		}
	}
	return max(1, daemons), p.exchange.Period()
}
