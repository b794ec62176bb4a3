package balance

import (
	"currantpulley/internal/catalog"
	"currantpulley/internal/rendezvous"
)

// Each chunk of a long prompt's prefill stalls the answers that the same engine
// decodes. So short and long work have separate engines, their lanes, while these can do
// it; see timing.delay for what an engine of the other lane costs.
const (
	// longTokens is the prompt size in tokens from which a request is long work.
	longTokens = 2000
	// shortShare is the share of the engines in the lane of short work.
	shortShare = 0.34
	// otherLaneCost is added to the score of an engine in the other lane, so that the
	// lanes hold while no engine has much to do.
	otherLaneCost = ownerBonus
)

// lane caches which of a service's engines are reserved for short work.
type lane struct {
	engines []*catalog.Upstream // all of the service
	short   map[string]bool     // ids of the reserved ones
}

// ShortLane returns the ids of the engines of a service that are reserved for
// short work, the same ones at every daemon.
func (b *Balancer) ShortLane(service string, all []*catalog.Upstream) map[string]bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.shortLane(service, all)
}

func (b *Balancer) shortLane(service string, all []*catalog.Upstream) map[string]bool {
	if l, ok := b.lanes[service]; ok && sameSlice(l.engines, all) {
		return l.short
	}
	names := make([]uint64, len(all))
	for i, u := range all {
		names[i] = rendezvous.Hash(u.ID)
	}
	short := make(map[string]bool)
	for _, i := range rendezvous.Top(names, 0, int(shortShare*float64(len(all)))) {
		short[all[i].ID] = true
	}
	b.lanes[service] = lane{all, short}
	return short
}

// sameSlice reports whether a and b are the same slice in memory.
func sameSlice(a, b []*catalog.Upstream) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}
