package peers

import (
	"testing"
	"time"

	"currantpulley/internal/balance"
	"currantpulley/internal/catalog"
	"currantpulley/internal/control/exchange"
	"currantpulley/internal/freshness"
)

// newPeers returns Peers with two engines and a store, without other daemons, and
// a function that returns the number of orders reported.
func newPeers(t *testing.T) (p *Peers, orders func() int) {
	t.Helper()
	w := catalog.NewWatcher()
	c := &catalog.Config{Version: 1, Services: make(map[string]*catalog.Service)}
	c.AddService(&catalog.Service{Name: "cache", Store: &catalog.CacheStore{Address: "10.0.0.9:80"}})
	w.SetConfig(c)
	for _, id := range []string{"i-1", "i-2"} {
		w.PutUpstream(&catalog.Upstream{ID: id, Service: "llm", Slots: 8})
	}
	p = &Peers{opts: Options{Watcher: w, Balancer: balance.New(balance.Options{})}}
	n := 0
	p.OnOrder(func(catalog.Key, uint64, bool) { n++ })
	return p, func() int { return n }
}

// pick returns the engine that gets the next work.
func (p *Peers) pick() string {
	now := freshness.Time()
	u := p.opts.Balancer.Pick(p.opts.Watcher.Load(), &balance.Work{Service: "llm"}, now)
	p.opts.Balancer.Done(u, balance.Served, now)
	return u.Upstream.ID
}

// TestNoticesOfEngines checks that a notice that closes an engine keeps work from
// it, and that only a notice with a token about a known engine is reported as an
// order of another daemon.
func TestNoticesOfEngines(t *testing.T) {
	p, orders := newPeers(t)
	first := p.opts.Watcher.Load().Upstreams["i-1"].ShortID()
	p.handleNotice(exchange.Notice{Upstream: first, Closed: true, TTL: time.Minute})
	if got := p.pick(); got != "i-2" || orders() != 0 {
		t.Errorf("after a departure: work goes to %s, %d orders reported", got, orders())
	}
	p.handleNotice(exchange.Notice{Upstream: first, Model: "m", Weights: 3, Token: 7})
	if v := p.opts.Balancer.Version(p.opts.Watcher.Load().Upstreams["i-1"], "m", freshness.Time()); v != 3 || orders() != 1 {
		t.Errorf("after an order: the engine serves version %d, %d orders reported", v, orders())
	}
	p.handleNotice(exchange.Notice{Upstream: first + 1, Closed: true, TTL: time.Minute, Token: 8})
	if orders() != 1 {
		t.Error("a notice about an unknown engine was reported as an order")
	}
}

// TestNoticesOfStores checks that a store that is down is not used until a notice
// says that it is up again or the earlier notice expires, and that a notice about
// an unknown store has no effect.
func TestNoticesOfStores(t *testing.T) {
	p, _ := newPeers(t)
	store := p.opts.Watcher.Load().Config.Stores[0]
	saves := func() bool {
		now := freshness.Time()
		prompt := &balance.Prompt{Model: "m", Tokens: 9000, Parts: []balance.Part{{ID: "a", Tokens: 6000}, {ID: "b", Tokens: 3000}}}
		for _, u := range p.opts.Watcher.Load().UpstreamsOf("llm") {
			p.opts.Balancer.RecordVersion(u.Key(), "m", 1, now)
		}
		pick := p.opts.Balancer.Pick(p.opts.Watcher.Load(), &balance.Work{Service: "llm", Group: "g", Prompt: prompt}, now)
		p.opts.Balancer.Done(pick, balance.Cancelled, now)
		return pick.Save == store.Address
	}
	for i, step := range []struct {
		notice exchange.Notice
		saves  bool
	}{
		{exchange.Notice{Upstream: store.ShortID() + 1, Closed: true, TTL: time.Minute}, true},
		{exchange.Notice{Upstream: store.ShortID(), Closed: true, TTL: time.Minute, Token: 1}, false},
		{exchange.Notice{Upstream: store.ShortID(), Token: 2}, true},
		{exchange.Notice{Upstream: store.ShortID(), Closed: true}, true},
	} {
		p.handleNotice(step.notice)
		if got := saves(); got != step.saves {
			t.Errorf("step %d: saving to the store is %t", i, got)
		}
	}
}
