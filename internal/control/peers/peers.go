// Package peers connects a daemon that runs behind the gateway with the other
// daemons. They share the membership of the fleet, the work that each has at the
// engines, which engines are closed, and how far each has read the
// configuration's log.
package peers

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"currantpulley/internal/backing"
	"currantpulley/internal/balance"
	"currantpulley/internal/catalog"
	"currantpulley/internal/control/exchange"
	"currantpulley/internal/control/feed"
	"currantpulley/internal/control/loop"
	"currantpulley/internal/control/membership"
	"currantpulley/internal/control/origins"
	"currantpulley/internal/control/quotas"
	"currantpulley/internal/control/tunnel"
	"currantpulley/internal/event"
	"currantpulley/internal/fairness"
	"currantpulley/internal/fleet"
	"currantpulley/internal/freshness"
	"currantpulley/internal/peer"
	"currantpulley/internal/quarantine"
	"currantpulley/internal/quota"
	"currantpulley/internal/ratelimit"
	"currantpulley/internal/settings"
	"currantpulley/internal/upstream"
)

// listReaders is the number of daemons beyond which more of them don't read the list of
// VMs more often in all.
const listReaders = 16

// leaveTimeout bounds the announcement to the others that this daemon stops.
const leaveTimeout = 500 * time.Millisecond

// Peers runs the protocols between daemons. It is safe for concurrent use.
type Peers struct {
	opts       Options
	loop       *loop.Loop
	pool       *peer.Pool
	server     *peer.Server
	membership *membership.Membership
	exchange   *exchange.Exchange
	origins    *origins.Origins
	quotas     *quotas.Quotas
	lag        freshness.Lag
	quarantine *quarantine.Table
	limits     *ratelimit.Table
	shares     *fairness.Table
	departures departures
	cutOffs    cutOffs
	carrier    *tunnel.Server
	tunnels    *tunnel.Client
	onOrder    atomic.Pointer[func(k catalog.Key, token uint64, open bool)]
}

// Options configures Peers.
type Options struct {
	Settings settings.Settings
	List     backing.VMList
	Watcher  *catalog.Watcher
	Balancer *balance.Balancer
	Proof    *freshness.Proof // of the time at which the configuration was the newest
	// RegistryProof is of the time at which the upstreams were the newest.
	RegistryProof *freshness.Proof
	// ProveRegistry makes sure that the upstreams known here were the newest at an
	// instant.
	ProveRegistry func(ctx context.Context, at freshness.Instant) error
	// Restored delivers a value after the store was restored from a copy.
	Restored <-chan struct{}
	Builds   origins.BuildStore  // keeps the upstreams' builds beyond the life of all daemons
	Streams  origins.StreamStore // keeps the streams' builds beyond the life of all daemons
	Feed     *feed.Feed          // of the topics that few daemons read for the others
	Recorder event.Recorder
	// Departures delivers the upstreams that this daemon has read to be leaving.
	Departures <-chan catalog.Key
	// Dial opens this daemon's own connections to upstreams.
	Dial upstream.DialFunc
	// CutOff reports whether this daemon reaches no upstreams itself.
	CutOff func() bool
	// Part returns this daemon's part of an allowance that all daemons share, from 0 to
	// 1. The parts of all daemons add up to 1 at most.
	Part func() float64
	// OnBehind makes this daemon restart its pending read of the configuration's
	// log.
	OnBehind func()
	// OnCall is called when a call to another daemon has ended, with the name of its
	// service and method; nil: not called. It must not block.
	OnCall func(call string, err error)
}

// Start joins the other daemons and runs the protocols until ctx ends. It fails
// if the peer address can't be listened on.
func Start(ctx context.Context, o Options) (*Peers, error) {
	p := &Peers{opts: o, loop: loop.New(), pool: peer.NewPool(nil, dialOptions(o.OnCall)...)}
	s, r := o.Settings, o.Recorder
	var err error
	if p.server, err = peer.Listen(s.PeerListen, nil); err != nil {
		return nil, err
	}
	p.quarantine, p.limits, p.shares = p.newQuarantine(ctx), p.newLimits(ctx), fairness.New(p.roomOf)
	o.Balancer.UsePaceChanges(p.recordPace)
	p.membership = membership.New(membership.Options{
		Loop: p.loop, Pool: p.pool, List: o.List, Recorder: r,
		Self:   fleet.VM{Name: s.VM, PeerAddress: s.PeerListen, DataCentre: s.DataCentre, Site: s.Site},
		OnView: func(fleet.View) {}, ListReaders: listReaders,
	})
	p.quotas = quotas.New(quotas.Options{
		Pool: p.pool, Self: s.VM, View: p.membership.View, Recorder: r, Watcher: o.Watcher, InContact: p.InContact,
		Tolerance: quota.Tolerance{Window: s.Bounds.QuotaWindow.Std(), Overage: s.Bounds.QuotaOverage, Slack: s.Bounds.QuotaSlack},
	})
	p.exchange = exchange.New(exchange.Options{
		Loop: p.loop, Pool: p.pool, Self: s.VM, View: p.membership.View, Recorder: r,
		Collect: p.ownUse, Apply: p.applyUse, ComputedPrefixes: p.computedPrefixes, OnComputedPrefixes: p.onComputedPrefixes,
		Announcements: p.announcements, OnAnnouncement: p.onAnnouncement, OnNotice: p.handleNotice,
		Proof: p.proof, OnProof: p.onProof, Suspect: p.suspect, Limit: p.limit, Paces: p.paces, OnPaces: p.onPaces,
		CutOff: o.CutOff, OnCutOff: p.cutOffs.set,
		WorkspaceUses: p.shares.Own, OnWorkspaceUses: p.onWorkspaceUses,
		Quotas: p.quotas,
	})
	p.carrier, p.tunnels = p.newTunnels()
	p.origins = origins.New(origins.Options{
		Pool: p.pool, Self: s.VM, View: p.membership.View, Recorder: r, Watcher: o.Watcher, Proof: o.RegistryProof, Prove: o.ProveRegistry,
		Store: o.Builds, Streams: o.Streams, Restored: o.Restored,
	})
	p.membership.Register(p.server.Server)
	p.exchange.Register(p.server.Server)
	p.origins.Register(p.server.Server)
	p.quotas.Register(p.server.Server)
	p.carrier.Register(p.server.Server)
	o.Feed.Join(p.pool, p.membership.View)
	o.Feed.Register(p.server.Server)
	go p.loop.Run(ctx)
	go func() {
		if err := p.server.Run(ctx); err != nil && ctx.Err() == nil {
			r.Record(event.Event{ID: event.DaemonFailed, Step: "serve peers", Err: err})
		}
	}()
	go p.membership.Run(ctx)
	go p.exchange.Run(ctx)
	go p.origins.Run(ctx)
	go p.quotas.Run(ctx)
	go p.announceDepartures(ctx)
	return p, nil
}

// Leave announces to the other daemons that this one stops.
func (p *Peers) Leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := p.membership.Leave(ctx); err != nil {
		p.opts.Recorder.Record(event.Event{ID: event.DaemonDraining, Step: "announce leaving", Err: err})
	}
}

// View returns the current view of the fleet.
func (p *Peers) View() fleet.View { return p.membership.View() }

// Origins returns the builds that began streams, of this daemon and the others.
func (p *Peers) Origins() *origins.Origins { return p.origins }

// Quotas returns the quotas of workspaces that all daemons keep together.
func (p *Peers) Quotas() *quotas.Quotas { return p.quotas }

// contactAge is the age of the proof that the configuration is the newest up to which
// this daemon counts as in contact with the others: the proof comes from the store, or
// from a daemon that is in contact with it.
const contactAge = 5 * time.Second

// InContact reports whether this daemon is in contact with the others or the store.
func (p *Peers) InContact() bool { return p.opts.Proof.Within(contactAge, freshness.Now()) }

// Live returns the number of daemons that may be serving, this one included.
func (p *Peers) Live() int { return max(1, p.View().LiveCount()) }

// IsAmongFirst reports whether this daemon is one of the first n live owners of a key, or
// knows no more than n live daemons.
func (p *Peers) IsAmongFirst(key string, n int) bool {
	live := p.View().Live()
	return len(live) <= n || slices.ContainsFunc(fleet.Owners(live, key, n), func(vm fleet.VM) bool { return vm.Name == p.opts.Settings.VM })
}

// Known returns the number of daemons that are known, this one included. It has those
// that are leaving, and for a while those that no longer answer.
func (p *Peers) Known() int { return max(1, len(p.View().VMs)) }

// OnOrder sets the function that is called for each order of another daemon to an
// engine. Orders that arrive before the call are not reported.
func (p *Peers) OnOrder(f func(k catalog.Key, token uint64, open bool)) { p.onOrder.Store(&f) }

// ownUse returns this daemon's work at the engines.
func (p *Peers) ownUse() []exchange.Use {
	var out []exchange.Use
	for k, u := range p.opts.Balancer.OwnWork(freshness.Time()) {
		out = append(out, exchange.Use{Upstream: k.ShortID(), Use: u})
	}
	return out
}

// applyUse sets another daemon's work at the engines that are known here.
func (p *Peers) applyUse(vm string, uses []exchange.Use, lifetime time.Duration) {
	now := freshness.Time()
	snap := p.opts.Watcher.Load()
	shared := make(map[catalog.Key]balance.Use, len(uses))
	for _, u := range uses {
		if known := snap.ByShortID(u.Upstream); known != nil {
			shared[known.Key()] = u.Use
		}
	}
	p.opts.Balancer.SetPeerWork(vm, shared, now, now.Add(lifetime))
}

// computedPrefixes returns up to limit prefixes that engines computed for this
// daemon within the last window.
func (p *Peers) computedPrefixes(window time.Duration, limit int) []balance.Held {
	return p.opts.Balancer.Computed(freshness.Time().Add(-window), limit)
}

// onComputedPrefixes applies prefixes that engines computed for another daemon.
func (p *Peers) onComputedPrefixes(held []balance.Held) {
	now := freshness.Time()
	for _, h := range held {
		p.opts.Balancer.RecordHolder(h, now)
	}
}

// maxAnnouncements bounds the number of versions of one model whose ages are
// sent to other daemons.
const maxAnnouncements = 4

// announcements returns the newest announced weights versions of all models.
func (p *Peers) announcements() []exchange.Announcement {
	now := freshness.Time()
	var out []exchange.Announcement
	for model, target := range p.opts.Watcher.Load().Weights {
		for _, a := range target.Announcements(maxAnnouncements) {
			out = append(out, exchange.Announcement{Model: model, Weights: a.Version, Age: now.Sub(a.At), Observed: a.Observed})
		}
	}
	return out
}

// onAnnouncement applies a weights version that another daemon knows to be
// announced.
func (p *Peers) onAnnouncement(a exchange.Announcement) {
	p.opts.Watcher.LearnAnnouncement(a.Model, catalog.Announcement{Version: a.Weights, At: freshness.Time().Add(-a.Age), Observed: a.Observed})
}

// proof returns this daemon's own proof.
func (p *Peers) proof() (int64, time.Duration, bool) { return p.opts.Proof.Latest(freshness.Now()) }

// onProof applies another daemon's proof. If the other daemon has been ahead for
// some time, reading the log hangs on this one and is restarted.
func (p *Peers) onProof(position int64, at freshness.Instant) {
	p.opts.Proof.ObservePeer(position, at)
	now := freshness.Now()
	own, _, ok := p.opts.Proof.Latest(now)
	if ok && p.lag.ShouldReread(own, position, now) {
		p.opts.OnBehind()
	}
}
