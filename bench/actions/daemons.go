package actions

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"currantpulley/internal/config"
	"currantpulley/internal/control/calls"
	"currantpulley/internal/control/loop"
	"currantpulley/internal/event"
	"currantpulley/internal/fleet"
	"currantpulley/internal/peer"
)

const (
	daemonCount = 13
	dataCentres = 3
	viewDelay   = 2 * time.Second // from a stop to the new view, and from that to the replacement's start
)

// daemon is the part of a daemon that handles at-most-once calls, served over
// real connections.
type daemon struct {
	calls   *calls.Calls
	vm      fleet.VM
	ctx     context.Context // ends when the daemon is stopped abruptly
	stop    context.CancelFunc
	stopped sync.WaitGroup
}

// cluster is a set of daemons that share a log and a membership view.
type cluster struct {
	log    *limitedLog
	config *config.Config
	view   atomic.Pointer[fleet.View]

	mu      sync.Mutex
	daemons [daemonCount]*daemon
}

func newCluster(log *limitedLog) (*cluster, error) {
	c := &cluster{log: log, config: &config.Config{Calls: config.Calls{
		Streams: 1, Horizon: config.Duration(time.Hour), Wait: config.Duration(5 * time.Second),
	}}}
	c.view.Store(&fleet.View{})
	for i := range c.daemons {
		if err := c.start(i); err != nil {
			return nil, err
		}
	}
	c.publish()
	return c, nil
}

// start starts daemon i, or a replacement for it.
func (c *cluster) start(i int) error {
	server, err := peer.Listen("127.0.0.1:0", nil)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	d := &daemon{ctx: ctx, stop: stop}
	d.vm = fleet.VM{Name: fmt.Sprintf("vm-%02d", i), PeerAddress: server.Address(), DataCentre: fmt.Sprintf("dc-%d", i%dataCentres)}
	l, pool := loop.New(), peer.NewPool(nil)
	d.calls = calls.New(calls.Options{
		Loop: l, Log: c.log, Pool: pool, Self: d.vm.Name, Recorder: event.Discard{},
		View: func() fleet.View { return *c.view.Load() }, Config: func() *config.Config { return c.config },
	})
	d.calls.Register(server.Server)
	d.stopped.Go(func() { l.Run(ctx) })
	d.stopped.Go(func() { _ = server.Run(ctx) })
	d.stopped.Go(func() {
		d.calls.Run(ctx)
		pool.Close()
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.daemons[i] = d
	return nil
}

// publish replaces the membership view by the daemons that are running.
func (c *cluster) publish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	view := &fleet.View{}
	for _, d := range c.daemons {
		if d.ctx.Err() == nil {
			view.VMs = append(view.VMs, d.vm)
		}
	}
	c.view.Store(view)
}

func (c *cluster) daemon(i int) *daemon {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.daemons[i]
}

// replace stops daemon i abruptly and, after the others have noticed, starts a
// replacement.
func (c *cluster) replace(ctx context.Context, i int) error {
	c.daemon(i).stop()
	if !sleep(ctx, viewDelay) {
		return ctx.Err()
	}
	c.publish()
	if !sleep(ctx, viewDelay) {
		return ctx.Err()
	}
	if err := c.start(i); err != nil {
		return err
	}
	c.publish()
	return nil
}

func (c *cluster) close() {
	for i := range c.daemons {
		d := c.daemon(i)
		d.stop()
		d.stopped.Wait()
	}
}

// sleep waits for d and reports false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
