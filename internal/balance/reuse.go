package balance

import (
	"time"

	"currantpulley/internal/catalog"
)

const (
	// fetchRate and storeRate are the numbers of tokens whose cache entries can be
	// transferred per millisecond from another engine and from a store. The link
	// of a store is shared by all engines.
	fetchRate = 200
	storeRate = 100
	// fetchMin is the number of shared tokens from which fetching their cache
	// entries is worth the transfer time: it leaves the engine free to compute
	// other prompts.
	fetchMin = 64
	// saveMin is the number of shared tokens from which a store should keep their
	// cache entries. Smaller saves are not worth their share of its link.
	saveMin = 1024
	// storedTTL is how long a store is expected to keep an unused prefix. One that is gone
	// costs a moment, and the engine computes it.
	storedTTL = 40 * time.Second
	// pendingTTL is how long after a prompt was sent to an engine its parts are
	// expected to be computed there soon.
	pendingTTL = 1500 * time.Millisecond
	// pendingMax bounds the prefixes in the table of pending computations.
	pendingMax = 1024
)

// reuse is the part of a prompt that an engine need not compute.
type reuse struct {
	held     int           // tokens in the engine, or computed there before the prompt's turn
	fetched  int           // tokens that it gets from elsewhere
	from     string        // address to fetch from; empty: none
	transfer time.Duration // of the fetched tokens
}

// reuse returns the part of w's prompt that u need not compute. A prefix that an engine
// surely holds comes from there rather than from a store, whose link all engines share. A
// store is named as the source even when the engine probably holds everything, because
// the engine may have evicted it.
func (b *Balancer) reuse(snap *catalog.Snapshot, w *Work, u *catalog.Upstream, version uint64, aff affinity, now time.Time) reuse {
	found := b.lookUp(w, version, aff, now)
	holdings := found.holdings
	r := reuse{held: max(tokensHeldBy(holdings, u.ShortID()), tokensHeldBy(found.pending, u.ShortID()))}
	stored := 0
	if aff.store != nil {
		stored = tokensHeldBy(holdings, aff.store.ShortID())
	}
	for _, h := range holdings {
		if h.tokens < r.held+fetchMin || h.tokens < stored || (h.tokens == stored && !h.usedAt.After(aff.surelyKeptSince)) {
			continue
		}
		if source := b.source(snap, w, h.holder, version, now); source != nil && source != u {
			r.from, r.fetched = source.Address, h.tokens-r.held
			r.transfer = transferTime(r.fetched, fetchRate)
			return r
		}
	}
	if stored > 0 {
		r.from = aff.store.Address
		r.fetched = max(0, stored-r.held)
		r.transfer = transferTime(r.fetched, storeRate)
	}
	return r
}

// source returns the engine with the given short id if it is available and
// still serves version, and nil otherwise.
func (b *Balancer) source(snap *catalog.Snapshot, w *Work, shortID uint32, version uint64, now time.Time) *catalog.Upstream {
	u := snap.ByShortID(shortID)
	if u == nil || u.Service != w.Service {
		return nil
	}
	s := b.stateOf(u.Key(), now)
	if s.unavailableFor(now) > 0 || s.version(u, w.Prompt.Model) != version {
		return nil
	}
	return u
}

// setSaveTarget sets the store in p that should receive the prompt's shared
// parts, unless it probably holds them or they are too few.
func (b *Balancer) setSaveTarget(w *Work, p *Pick, store *catalog.CacheStore, found prefixLookup) {
	shared := w.Prompt.sharedTokens()
	if store == nil || p.Version == 0 || shared < saveMin || tokensHeldBy(found.holdings, store.ShortID()) >= shared {
		return
	}
	p.Save, p.storeID = store.Address, store.ShortID()
}

// copyCost returns the cost of a second copy of cache entries, of so many tokens: it evicts
// as many others, which have to be computed again.
func (t *timing) copyCost(tokens int) time.Duration { return t.first.Prefill(float64(tokens)) }

// transferTime returns the time to transfer tokens at rate tokens per
// millisecond.
func transferTime(tokens, rate int) time.Duration {
	return time.Duration(float64(tokens) / float64(rate) * float64(time.Millisecond))
}
