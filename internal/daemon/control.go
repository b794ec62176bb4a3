package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"currantpulley/internal/backing"
	"currantpulley/internal/backing/httplog"
	"currantpulley/internal/backing/httpvms"
	"currantpulley/internal/config"
	"currantpulley/internal/control/branches"
	"currantpulley/internal/control/calls"
	"currantpulley/internal/control/lease"
	"currantpulley/internal/control/loads"
	"currantpulley/internal/control/membership"
	"currantpulley/internal/control/orders"
	"currantpulley/internal/control/publish"
	"currantpulley/internal/control/usage"
	"currantpulley/internal/event"
	"currantpulley/internal/fleet"
	"currantpulley/internal/limits"
	"currantpulley/internal/settings"
)

// platformTimeout is the timeout of one HTTP request to a platform service, including
// the time for which a read waits for a record.
const platformTimeout = 30 * time.Second

// control holds the control components of a daemon. All except calls keep their
// state on the control goroutine.
type control struct {
	membership *membership.Membership
	loads      *loads.Loads
	usage      *usage.Usage
	branches   *branches.Branches
	publisher  *publish.Publisher // nil without a log
	calls      *calls.Calls       // nil without a log
	leases     *lease.Leases      // nil without a log
	orders     *orders.Orders     // nil without a log
	log        backing.Log        // nil without a log
}

// newControl creates the control components and registers their gRPC services.
func (d *Daemon) newControl() {
	client := &http.Client{Timeout: platformTimeout}
	c := &d.control
	c.membership = membership.New(membership.Options{
		Loop:    d.loop,
		Pool:    d.pool,
		List:    vmList(d.settings.Platform.VMList, client),
		Seeds:   seeds(d.settings.Platform.Seeds),
		Self:    d.self(),
		Version: func() uint64 { return d.state.version },
		OnVersion: func(vm string, version uint64, now time.Time) {
			if c.publisher != nil {
				c.publisher.PeerVersionReceived(vm, version, now)
			}
		},
		OnView:   d.onView,
		Recorder: d.recorder,
	})
	c.loads = loads.New(loads.Options{
		Loop:       d.loop,
		Pool:       d.pool,
		Poller:     loads.EnginePoller{Engine: d.engine},
		Self:       d.settings.VM,
		OnUpdate:   d.onLoads,
		LastAnswer: d.lastAnswer.At,
		Recorder:   d.recorder,
	})
	c.usage = usage.New(usage.Options{
		Loop:     d.loop,
		Pool:     d.pool,
		Self:     d.settings.VM,
		Collect:  d.collectUsage,
		Apply:    d.applyTotals,
		Recorder: d.recorder,
	})
	c.branches = branches.New(branches.Options{
		Loop:           d.loop,
		Pool:           d.pool,
		Recorder:       d.recorder,
		NewFacts:       d.scheduler.Branches,
		RecentBranches: d.scheduler.KnownBranches,
		MergeFacts:     d.scheduler.MergeBranches,
	})
	c.membership.Register(d.peers.Server)
	c.branches.Register(d.peers.Server)
	c.loads.Register(d.peers.Server)
	c.usage.Register(d.peers.Server)
	if d.settings.Platform.Log != "" {
		d.newLogComponents(httplog.New(d.settings.Platform.Log, client))
	}
}

// newLogComponents creates the components that keep their state in the platform's
// log.
func (d *Daemon) newLogComponents(log backing.Log) {
	c := &d.control
	c.log = log
	c.publisher = publish.New(publish.Options{
		Loop:       d.loop,
		Log:        log,
		Pool:       d.pool,
		View:       c.membership.View,
		Traffic:    d.traffic,
		Recorder:   d.recorder,
		Site:       d.settings.Site,
		Self:       d.settings.VM,
		Apply:      d.onVersion,
		OnDetached: d.onDetached,
	})
	c.publisher.Register(d.peers.Server)
	c.calls = calls.New(calls.Options{
		Loop:     d.loop,
		Log:      c.log,
		Pool:     d.pool,
		View:     c.membership.View,
		Config:   d.config,
		Self:     d.settings.VM,
		Recorder: d.recorder,
	})
	c.calls.Register(d.peers.Server)
	c.leases = lease.New(lease.Options{Loop: d.loop, Log: c.log, Self: d.settings.VM, Recorder: d.recorder})
	c.orders = orders.New(orders.Options{
		Loop:     d.loop,
		Leases:   c.leases,
		Engine:   d.engine,
		Snapshot: d.holder.Load,
		Self:     d.settings.VM,
		Recorder: d.recorder,
	})
}

// run starts the components. They run until ctx ends.
func (c *control) run(ctx context.Context) {
	go c.membership.Run(ctx)
	go c.loads.Run(ctx)
	go c.usage.Run(ctx)
	go c.branches.Run(ctx)
	if c.log == nil {
		return
	}
	go func() { _ = c.publisher.Run(ctx) }()
	go c.calls.Run(ctx)
	go c.leases.Run(ctx)
	go c.orders.Run(ctx)
}

// self returns this VM as its peers see it.
func (d *Daemon) self() fleet.VM {
	return fleet.VM{
		Name:        d.settings.VM,
		PeerAddress: d.advertisedAddress(),
		DataCentre:  d.settings.DataCentre,
		Site:        d.settings.Site,
	}
}

// advertisedAddress returns the address at which other daemons reach this one.
func (d *Daemon) advertisedAddress() string {
	if d.settings.PeerAddress != "" {
		return d.settings.PeerAddress
	}
	return d.peers.Address()
}

// vmList returns the client of the platform's VM list, nil without a URL.
func vmList(url string, client *http.Client) backing.VMList {
	if url == "" {
		return nil
	}
	return httpvms.New(url, client)
}

// seeds converts the configured seeds. It skips those without a valid host:port.
func seeds(list []settings.Seed) []backing.ListedVM {
	out := make([]backing.ListedVM, 0, len(list))
	for _, s := range list {
		if _, _, err := net.SplitHostPort(s.PeerAddress); err == nil {
			out = append(out, backing.ListedVM{Name: s.VM, PeerAddress: s.PeerAddress, DataCentre: s.DataCentre})
		}
	}
	return out
}

// config returns the configuration in force, nil before the first one.
func (d *Daemon) config() *config.Config {
	if snap := d.holder.Load(); snap != nil {
		return snap.Config
	}
	return nil
}

// onVersion applies a published configuration version. It runs on the control
// goroutine.
func (d *Daemon) onVersion(version uint64, set *config.Set) {
	c, err := set.Site(d.settings.Site)
	if err != nil {
		d.recorder.Record(event.Event{ID: event.SiteMissing, Version: version, Step: "apply", Err: err})
		return
	}
	d.apply(time.Now(), version, set.Hash(), c)
}

// onDetached stops or resumes the admission of requests. It runs on the control
// goroutine. The publisher records the event.
func (d *Daemon) onDetached(detached bool, _ string) {
	d.state.detached = detached
	d.state.publish(time.Now())
}

// onView distributes a new membership view to the components. It runs on the
// control goroutine.
func (d *Daemon) onView(v fleet.View) {
	d.state.view = v
	d.control.loads.SetView(v)
	d.control.usage.SetView(v)
	d.control.branches.SetView(v)
	d.state.publish(time.Now())
}

// onLoads replaces what is known of the upstreams. It runs on the control
// goroutine.
func (d *Daemon) onLoads(states []loads.State) {
	clear(d.state.reports)
	for _, s := range states {
		d.state.reports[s.Upstream] = upstreamReport{s.Health, s.Incarnation, s.Weights, s.Load}
	}
	d.state.publish(time.Now())
}

// collectUsage returns each workspace's usage since the last call.
func (d *Daemon) collectUsage() []usage.Use {
	var out []usage.Use
	for _, u := range d.scheduler.Usage() {
		out = append(out, usage.Use{Workspace: u.Workspace, Requests: u.Requests, Tokens: u.Tokens})
	}
	return out
}

// applyTotals passes the workspaces' totals over all daemons to the limits.
func (d *Daemon) applyTotals(totals []usage.Total) {
	out := make([]limits.Total, 0, len(totals))
	for _, t := range totals {
		out = append(out, limits.Total{Workspace: t.Workspace, Requests: t.Requests, Tokens: t.Tokens})
	}
	d.scheduler.Apply(out)
}
