package balance

import (
	"fmt"
	"time"

	"currantpulley/internal/placement/holders"
	"currantpulley/internal/rendezvous"
)

const (
	// heldMax bounds the prefixes whose holders are remembered.
	heldMax = 4096
	// computedMax bounds the recent prefixes kept for the other daemons.
	computedMax = 64
)

// Held states that an engine or a store holds a prompt's leading parts, or that an
// engine is about to compute them.
type Held struct {
	Prefix  uint64 // hash of the leading parts
	Holder  uint32 // catalog.Key.ShortID or catalog.CacheStore.ShortID
	Pending bool   // not held yet; the engine is about to compute them
}

// computedPrefix is a prefix that was computed, or is about to be, for a request
// of this daemon.
type computedPrefix struct {
	Held
	at time.Time
}

// Salt returns the cache salt of a group of workspaces that may share cache
// entries, for one weights version. Engines keep entries with different salts
// apart.
func Salt(group string, version uint64) string {
	return fmt.Sprintf("%s/%d", group, version)
}

// prefixes returns the chained hashes of the prompt's leading parts, up to each
// part except the last, which is unique to the request.
func (p *Prompt) prefixes(group string, version uint64) []uint64 {
	if len(p.Parts) < 2 {
		return nil
	}
	chain := rendezvous.Hash(Salt(group, version) + "/" + p.Model)
	out := make([]uint64, len(p.Parts)-1)
	for i := range out {
		chain = rendezvous.Weight(chain, rendezvous.Hash(p.Parts[i].ID))
		out[i] = chain
	}
	return out
}

// holding is the number of a prompt's tokens that an engine or a store holds.
type holding struct {
	holder uint32 // catalog.Key.ShortID or catalog.CacheStore.ShortID
	tokens int
	usedAt time.Time
}

// prefixLookup lists who holds a prompt's leading parts, computed with one
// weights version. Holders of more tokens come first.
type prefixLookup struct {
	prefixes []uint64
	holdings []holding
	pending  []holding // engines that are about to compute them
}

// lookUp finds the holders of a prompt's leading parts, once for all engines
// with the same weights version. The result is empty when the version is not
// known.
func (b *Balancer) lookUp(w *Work, version uint64, aff affinity, now time.Time) prefixLookup {
	if found, ok := aff.lookups[version]; ok || version == 0 {
		return found
	}
	p := prefixLookup{prefixes: w.Prompt.prefixes(w.Group, version)}
	p.holdings = w.Prompt.find(b.held, p.prefixes, func(shortID uint32, used time.Time) bool { return b.stillHolds(shortID, aff, used, now) })
	p.pending = w.Prompt.find(b.pending, p.prefixes, func(_ uint32, sent time.Time) bool { return now.Sub(sent) < pendingTTL })
	aff.lookups[version] = p
	return p
}

// find returns the entries of table for the prompt's prefixes that are valid.
func (p *Prompt) find(table *holders.Table, prefixes []uint64, valid func(shortID uint32, at time.Time) bool) []holding {
	tokens := p.sharedTokens()
	var out []holding
	for i := len(prefixes) - 1; i >= 0; i-- {
		for _, h := range table.Find(prefixes[i]) {
			shortID := uint32(h.Upstream)
			if valid(shortID, h.At) && tokensHeldBy(out, shortID) == 0 {
				out = append(out, holding{shortID, tokens, h.At})
			}
		}
		tokens -= p.Parts[i].Tokens
	}
	return out
}

// stillHolds reports whether an engine or a store probably still holds a prefix
// that it last used at the given time.
func (b *Balancer) stillHolds(shortID uint32, aff affinity, used, now time.Time) bool {
	if aff.store != nil && shortID == aff.store.ShortID() {
		return now.Sub(used) < storedTTL && used.After(b.stores[shortID].emptyAt)
	}
	return used.After(aff.keptSince)
}

// tokensHeldBy returns the tokens that holder has; 0: it is not among all.
func tokensHeldBy(all []holding, holder uint32) int {
	for _, h := range all {
		if h.holder == holder {
			return h.tokens
		}
	}
	return 0
}

// RecordHolder records another daemon's report that an engine or a store holds a
// prefix or is about to compute it.
func (b *Balancer) RecordHolder(h Held, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.table(h.Pending).Add(h.Prefix, holders.Holder{Upstream: int32(h.Holder), At: now})
}

// table returns the table of pending prefixes or that of held ones.
func (b *Balancer) table(pending bool) *holders.Table {
	if pending {
		return b.pending
	}
	return b.held
}

// Computed returns up to limit prefixes that engines computed for this daemon,
// or were about to, after since, newest first.
func (b *Balancer) Computed(since time.Time, limit int) []Held {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Held
	for i := len(b.computed) - 1; i >= 0 && len(out) < limit && b.computed[i].at.After(since); i-- {
		out = append(out, b.computed[i].Held)
	}
	return out
}

// recordComputed records that an engine has computed a prompt's leading parts or
// is about to, or that a store received them.
func (b *Balancer) recordComputed(holder uint32, prefixes []uint64, pending bool, now time.Time) {
	for _, prefix := range prefixes {
		h := Held{prefix, holder, pending}
		b.table(pending).Add(prefix, holders.Holder{Upstream: int32(h.Holder), At: now})
		b.computed = append(b.computed, computedPrefix{h, now})
	}
	if extra := len(b.computed) - computedMax; extra > 0 {
		b.computed = append(b.computed[:0], b.computed[extra:]...)
	}
}
