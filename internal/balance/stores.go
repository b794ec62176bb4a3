package balance

import (
	"time"

	"currantpulley/internal/catalog"
	"currantpulley/internal/rendezvous"
)

// storeState is what this daemon knows of a store of cache entries.
type storeState struct {
	downUntil time.Time
	epoch     uint64    // changes when the store starts empty; 0: not known
	emptyAt   time.Time // the store holds no entries from before
}

// StoreDown keeps requests from using a store before until.
func (b *Balancer) StoreDown(shortID uint32, until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stores[shortID]
	s.downUntil = until
	b.stores[shortID] = s
}

// StoreUp records that a store answers. An epoch other than the last one
// means that the store has started empty.
func (b *Balancer) StoreUp(shortID uint32, epoch uint64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stores[shortID]
	s.downUntil = time.Time{}
	if s.epoch != epoch {
		s.epoch, s.emptyAt = epoch, now
	}
	b.stores[shortID] = s
}

// assignedStore returns the store that hashing assigns to a prompt's parts, the
// same at every daemon. It returns nil when there is none or it is down.
func (b *Balancer) assignedStore(snap *catalog.Snapshot, p *Prompt, now time.Time) *catalog.CacheStore {
	if snap.Config == nil || len(snap.Config.Stores) == 0 {
		return nil
	}
	stores := snap.Config.Stores
	names := make([]uint64, len(stores))
	for i, s := range stores {
		names[i] = uint64(s.ShortID())
	}
	store := stores[rendezvous.Top(names, rendezvous.Hash(p.group()), 1)[0]]
	if now.Before(b.stores[store.ShortID()].downUntil) {
		return nil
	}
	return store
}
