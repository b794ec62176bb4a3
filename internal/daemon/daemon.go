// Package daemon assembles the parts of one router process: the listener for
// callers, the filter pipeline, the control goroutine, the peer protocol between
// daemons and the admin listener.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"currantpulley/internal/config"
	"currantpulley/internal/control/loop"
	"currantpulley/internal/control/traffic"
	"currantpulley/internal/decide"
	"currantpulley/internal/event"
	"currantpulley/internal/filter/account"
	"currantpulley/internal/filter/authenticate"
	"currantpulley/internal/filter/dispatch"
	"currantpulley/internal/filter/idempotency"
	"currantpulley/internal/filter/lastanswer"
	"currantpulley/internal/filter/parse"
	"currantpulley/internal/filter/route"
	"currantpulley/internal/memory"
	"currantpulley/internal/metrics"
	"currantpulley/internal/peer"
	"currantpulley/internal/pipe"
	"currantpulley/internal/server"
	"currantpulley/internal/settings"
	"currantpulley/internal/snapshot"
	"currantpulley/internal/upstream"
)

// Daemon is one running router process.
type Daemon struct {
	settings   settings.Settings
	recorder   event.Recorder
	events     events
	metrics    *metrics.Metrics
	holder     *snapshot.Holder
	loop       *loop.Loop
	state      *state
	scheduler  *decide.Scheduler
	engine     *upstream.HTTPEngine
	lastAnswer *lastanswer.Filter
	traffic    *traffic.Traffic
	control    control
	pool       *peer.Pool
	peers      *peer.Server
	callers    *server.Server
	admin      *server.Server
	memory     *memory.Account
	cancel     context.CancelFunc
	ready      readiness
}

// Start creates a daemon and starts serving. It returns when the listeners are open,
// or with the first error.
func Start(ctx context.Context, s settings.Settings, opts ...Option) (*Daemon, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	o := options{recorder: event.Discard{}, logger: zerolog.Nop()}
	for _, opt := range opts {
		opt(&o)
	}
	ctx, cancel := context.WithCancel(ctx)
	d := &Daemon{
		settings:   s,
		events:     newEvents(s.VM, o.logger),
		metrics:    metrics.New(),
		holder:     &snapshot.Holder{},
		loop:       loop.New(),
		engine:     upstream.NewHTTPEngine(upstream.NewTransport()),
		lastAnswer: lastanswer.New(),
		memory:     memory.New(memory.ForCallers(s.Limits.MemoryMB)),
		cancel:     cancel,
	}
	d.recorder = tee{d.events.recorder, o.recorder}
	d.metrics.RegisterMemory(d.memory)
	d.state = newState(d.holder)
	d.traffic = traffic.New(d.liveVMs, time.Now)
	d.scheduler = decide.New(d.recorder, time.Now, d.holder.Load)
	if err := d.start(ctx, o); err != nil {
		d.Kill()
		return nil, err
	}
	d.recorder.Record(event.Event{ID: event.DaemonStarted, Detail: d.callers.Address()})
	return d, nil
}

// start starts the control components and opens the listeners, that for callers
// last.
func (d *Daemon) start(ctx context.Context, o options) error {
	if err := d.listenPeers(); err != nil {
		return err
	}
	d.newControl()
	d.serveEvents()
	d.state.view = d.control.membership.View()
	go d.loop.Run(ctx)
	if o.static != nil {
		applyStatic := func(now time.Time) { d.apply(now, o.static.version, "", o.static.config) }
		if err := d.loop.Do(ctx, applyStatic); err != nil {
			return err
		}
	}
	go func() { _ = d.peers.Run(ctx) }()
	d.control.run(ctx)
	if err := d.listenAdmin(); err != nil {
		return err
	}
	return d.listenCallers(o)
}

// apply brings a configuration into force at this daemon. It runs on the control
// goroutine.
func (d *Daemon) apply(now time.Time, version uint64, hash string, c *config.Config) {
	d.state.version = version
	d.state.hash = hash
	d.state.config = c
	d.control.loads.SetUpstreams(now, c.Upstreams)
	d.control.usage.SetWorkspaces(slices.Collect(maps.Keys(c.Workspaces)))
	d.state.publish(now)
	d.metrics.Version(version)
}

// listenPeers opens the listener of the peer protocol and the connection pool.
func (d *Daemon) listenPeers() error {
	tlsServer, tlsClient, err := peerTLS(d.settings.TLS)
	if err != nil {
		return err
	}
	d.pool = peer.NewPool(tlsClient, d.events.dialOption())
	d.peers, err = peer.Listen(d.settings.PeerListen, tlsServer, d.events.clock.ServerOption())
	return err
}

// listenCallers opens the listener for callers.
func (d *Daemon) listenCallers(o options) error {
	tlsConfig, err := callerTLS(d.settings.TLS)
	if err != nil {
		return err
	}
	auth := authenticate.New()
	d.callers, err = server.Start(server.Options{
		Address: d.settings.Listen,
		TLS:     tlsConfig,
		Limits:  d.callerLimits,
		Handler: &handler{holder: d.holder, pipe: d.pipe(o, auth), auth: auth},
		Refused: d.recordConnectionRefused,
		Memory:  d.memory,
		Record:  d.recorder.Record,
	})
	return err
}

// liveVMs returns the number of daemons that may be serving, this one included.
func (d *Daemon) liveVMs() int { return max(1, len(d.control.membership.View().Live())) }

// pipe returns the filters in the order in which requests pass them.
func (d *Daemon) pipe(o options, auth *authenticate.Filter) pipe.Pipe {
	placement := []pipe.Filter{d.scheduler.Limits(), d.scheduler.Classify(), d.scheduler.Admit(), d.scheduler.Place()}
	if o.placement != nil {
		placement = o.placement()
	}
	p := pipe.Pipe{account.New(d.metrics, d.recorder), d.lastAnswer, d.traffic, auth, route.New(), parse.New()}
	p = append(p, placement[0])
	if d.control.calls != nil {
		p = append(p, idempotency.New(d.control.calls, d.recorder))
	}
	p = append(p, placement[1:]...)
	return append(p, dispatch.New(dispatch.Options{
		Engine:   d.engine,
		Service:  upstream.NewService(upstream.NewTransport(), upstream.NewOnceTransport()),
		Retries:  d.scheduler.Retries(),
		Hedges:   d.scheduler.Hedges(),
		Recorder: d.recorder,
	}))
}

// Limits of the listener for callers before any configuration is in force.
const (
	bootMaxBody        = 1 << 20  // bytes
	bootMaxHeader      = 64 << 10 // bytes
	bootMaxConnections = 1024
	bootTimeout        = 10 * time.Second
)

// callerLimits returns the current limits of the listener for callers.
func (d *Daemon) callerLimits() server.Limits {
	snap := d.holder.Load()
	if snap == nil {
		return server.Limits{MaxBody: bootMaxBody, MaxHeader: bootMaxHeader, MaxConnections: bootMaxConnections,
			ReadTimeout: bootTimeout, WriteTimeout: bootTimeout}
	}
	c := snap.Config.Caller
	return server.Limits{
		MaxBody:        int64(c.MaxBody),
		MaxHeader:      int64(c.MaxHeader),
		MaxConnections: c.MaxConnections,
		ReadTimeout:    c.ReadTimeout.Std(),
		WriteTimeout:   c.WriteTimeout.Std(),
	}
}

// Address returns the address of the listener for callers, as host:port.
func (d *Daemon) Address() string { return d.callers.Address() }

// AdminAddress returns the address of the admin listener, as host:port.
func (d *Daemon) AdminAddress() string { return d.admin.Address() }

// PeerAddress returns the address of the peer protocol's listener, as host:port.
func (d *Daemon) PeerAddress() string { return d.peers.Address() }

// Kill stops the daemon immediately and closes all connections.
func (d *Daemon) Kill() {
	d.cancel()
	if d.callers != nil {
		d.callers.Close()
	}
	if d.admin != nil {
		d.admin.Close()
	}
	if d.peers != nil {
		d.peers.Stop()
	}
	if d.pool != nil {
		d.pool.Close()
	}
}

// drainPoll is the interval at which Stop checks for requests and connections.
const drainPoll = 20 * time.Millisecond

// Stop shuts the daemon down gracefully. The daemon fails its readiness probe and
// announces to its peers that it is leaving, keeps admitting requests for the drain
// delay so that both can notice, and then lets the requests in progress finish. It
// closes connections only when they are idle, as a request that was accepted must get
// a response. Stop returns an error if requests have not finished when the drain timeout
// or ctx ends.
func (d *Daemon) Stop(ctx context.Context) error {
	if !d.ready.leave() {
		return errors.New("the daemon is stopping already")
	}
	d.recorder.Record(event.Event{ID: event.DaemonDraining})
	ctx, cancel := context.WithTimeout(ctx, d.settings.Drain.Delay.Std()+d.settings.Drain.Timeout.Std())
	defer cancel()
	defer d.Kill()
	d.callers.Drain()
	if err := d.control.membership.Leave(ctx); err != nil {
		d.recorder.Record(event.Event{ID: event.DaemonDraining, Step: "announce leaving", Err: err})
	}
	if err := sleep(ctx, d.settings.Drain.Delay.Std()); err != nil {
		return fmt.Errorf("drain: %w", err)
	}
	d.loop.Post(func(now time.Time) {
		d.state.draining = true
		d.state.publish(now)
	})
	if err := awaitNone(ctx, d.callers.Active); err != nil {
		return fmt.Errorf("drain: %d requests still in progress: %w", d.callers.Active(), err)
	}
	d.callers.StopAccepting()
	d.callers.CloseIdle()
	if err := awaitNone(ctx, d.callers.Open); err != nil {
		return fmt.Errorf("drain: %d connections still open: %w", d.callers.Open(), err)
	}
	d.drainCalls(ctx)
	d.recorder.Record(event.Event{ID: event.DaemonStopped})
	return nil
}

// recordTimeout is the longest wait for the outcomes of the last calls to be logged.
const recordTimeout = 3 * time.Second

// drainCalls waits until the outcomes of at-most-once calls are in the log.
func (d *Daemon) drainCalls(ctx context.Context) {
	if d.control.calls == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	if err := d.control.calls.Drain(ctx); err != nil {
		d.recorder.Record(event.Event{ID: event.CallOutcomeLate, Step: "stop", Err: err})
	}
}

// awaitNone waits until count returns 0, and returns an error if ctx ends before.
func awaitNone(ctx context.Context, count func() int64) error {
	for count() > 0 {
		if err := sleep(ctx, drainPoll); err != nil {
			return err
		}
	}
	return nil
}

// sleep waits for t. It returns early, with an error, if ctx ends.
func sleep(ctx context.Context, t time.Duration) error {
	timer := time.NewTimer(t)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
