package peers

import (
	"sync"
	"time"

	"currantpulley/internal/control/tunnel"
	"currantpulley/internal/freshness"
	"currantpulley/internal/holdoff"
)

// cutOffs knows which other daemons said that they reach no upstreams themselves. It is
// safe for concurrent use.
type cutOffs struct {
	mu    sync.Mutex
	until map[string]time.Time // by daemon
}

// set applies what a daemon said, which holds for lifetime at most.
func (c *cutOffs) set(vm string, cutOff bool, lifetime time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !cutOff {
		delete(c.until, vm)
		return
	}
	if c.until == nil {
		c.until = make(map[string]time.Time)
	}
	c.until[vm] = freshness.Time().Add(lifetime)
}

// has reports whether the daemon called vm is cut off.
func (c *cutOffs) has(vm string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return freshness.Time().Before(c.until[vm])
}

// newTunnels returns both ends of the connections that daemons carry for each other.
func (p *Peers) newTunnels() (*tunnel.Server, *tunnel.Client) {
	server := tunnel.NewServer(tunnel.ServerOptions{
		Dial: p.opts.Dial, Known: p.hasUpstreamAt, CutOff: p.opts.CutOff, MaySend: p.maySendTo,
		OnHoldoff: func(n holdoff.Notice) { p.opts.Balancer.RecordHoldoff(n, freshness.Time()) },
	})
	client := tunnel.NewClient(tunnel.ClientOptions{
		Pool: p.pool, Self: p.opts.Settings.VM, DataCentre: p.opts.Settings.DataCentre, View: p.View, CutOff: p.cutOffs.has,
	})
	return server, client
}

// hasUpstreamAt reports whether an upstream has the address.
func (p *Peers) hasUpstreamAt(address string) bool {
	return p.opts.Watcher.Load().AtAddress(address) != nil
}

// maySendTo reports whether the upstream at the address takes requests of this daemon.
func (p *Peers) maySendTo(address string) bool {
	u := p.opts.Watcher.Load().AtAddress(address)
	return u != nil && p.opts.Balancer.MaySend(u, freshness.Time())
}

// Tunnels returns the client of connections through other daemons.
func (p *Peers) Tunnels() *tunnel.Client { return p.tunnels }

// Carried returns the number of connections that are open for other daemons.
func (p *Peers) Carried() int { return p.carrier.Carried() }
