package peers

import (
	"context"
	"slices"
	"time"

	"currantpulley/internal/catalog"
	"currantpulley/internal/control/exchange"
	"currantpulley/internal/control/storehealth"
	"currantpulley/internal/freshness"
)

// handleNotice applies a notice of another daemon. It calls the function set by
// OnOrder if the notice comes from an order.
func (p *Peers) handleNotice(n exchange.Notice) {
	switch {
	case n.Suspect != nil:
		p.quarantine.Merge(*n.Suspect, freshness.Time())
		return
	case n.Limit != nil:
		p.limits.Merge(*n.Limit, freshness.Time())
		return
	}
	if n.Closed && n.Token == 0 {
		p.departures.record(n.Upstream, time.Now())
	}
	u := p.opts.Watcher.Load().ByShortID(n.Upstream)
	if u == nil {
		if p.knowsStore(n.Upstream) {
			p.applyStoreNotice(n, freshness.Time())
		}
		return
	}
	k := u.Key()
	p.applyNotice(k, n, freshness.Time())
	if f := p.onOrder.Load(); f != nil && n.Token != 0 {
		(*f)(k, n.Token, !n.Closed)
	}
}

// applyNotice applies a notice about an engine to the balancer.
func (p *Peers) applyNotice(k catalog.Key, n exchange.Notice, now time.Time) {
	if n.Weights != 0 {
		p.opts.Balancer.RecordVersion(k, n.Model, n.Weights, now)
	}
	if n.Closed {
		p.opts.Balancer.Close(k, now.Add(n.TTL), now)
		return
	}
	p.opts.Balancer.Open(k, now)
}

// knowsStore reports whether the configuration has a store with the short id.
func (p *Peers) knowsStore(shortID uint32) bool {
	c := p.opts.Watcher.Load().Config
	return c != nil && slices.ContainsFunc(c.Stores, func(s *catalog.CacheStore) bool { return s.ShortID() == shortID })
}

// applyStoreNotice applies a notice about a store of cache entries to the
// balancer. The token of the notice is the store's epoch.
func (p *Peers) applyStoreNotice(n exchange.Notice, now time.Time) {
	if n.Closed {
		p.opts.Balancer.StoreDown(n.Upstream, now.Add(n.TTL))
		return
	}
	p.opts.Balancer.StoreUp(n.Upstream, n.Token, now)
}

// storeDownTTL is the time for which a store that doesn't answer is not used,
// unless another notice extends it.
const storeDownTTL = 2 * time.Second

// AnnounceStore applies a store's state on this daemon and announces it to all
// others.
func (p *Peers) AnnounceStore(ctx context.Context, s storehealth.State) {
	n := exchange.Notice{Upstream: s.ShortID, Closed: s.Down, TTL: storeDownTTL, Token: s.Epoch}
	p.applyStoreNotice(n, freshness.Time())
	p.exchange.Announce(ctx, n)
}

// Announce applies a notice about the engine k on this daemon and announces it to
// all others.
func (p *Peers) Announce(ctx context.Context, k catalog.Key, n exchange.Notice) {
	n.Upstream = k.ShortID()
	p.applyNotice(k, n, freshness.Time())
	p.exchange.Announce(ctx, n)
}
