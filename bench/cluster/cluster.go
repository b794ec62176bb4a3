// Package cluster runs a site in one process: simulated engines and real daemons
// that communicate over loopback.
package cluster

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"currantpulley/bench/measure"
	"currantpulley/bench/site"
	"currantpulley/internal/backing"
	"currantpulley/internal/config"
	"currantpulley/internal/daemon"
	"currantpulley/internal/fake/fakeengine"
	"currantpulley/internal/fake/fakehttp"
	"currantpulley/internal/fake/fakevms"
	"currantpulley/internal/pipe"
	"currantpulley/internal/settings"
)

// listLag is the delay with which the VM list of the platform shows changes.
const listLag = 500 * time.Millisecond

// Options configures a Cluster.
type Options struct {
	Site        site.Site
	Placement   func() []pipe.Filter // nil: the router's own
	Waste       *measure.WasteCounter
	OnAdmit     func(r *http.Request, text []byte) // called for each request that an engine admits; may be nil
	IgnoreCache bool                               // engines ignore their caches
}

// Cluster is a running site.
type Cluster struct {
	opts           Options
	engines        []*fakeengine.Engine
	config         *config.Config
	servers        []*http.Server
	daemonSettings []settings.Settings

	mu       sync.Mutex
	daemons  []*daemon.Daemon
	restarts atomic.Int64
}

// Start starts the engines, the VM list and the daemons.
func Start(ctx context.Context, opts Options) (*Cluster, error) {
	c := &Cluster{opts: opts}
	addresses, err := c.startEngines()
	if err == nil {
		c.config, err = Configuration(opts.Site, addresses)
	}
	if err == nil {
		err = c.assignSettings()
	}
	if err == nil {
		err = c.startDaemons(ctx)
	}
	if err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// serve serves handler at a free port until the cluster is closed.
func (c *Cluster) serve(handler http.Handler) (address string, err error) {
	server, address, err := fakehttp.Serve("127.0.0.1:0", handler)
	if err == nil {
		c.servers = append(c.servers, server)
	}
	return address, err
}

func (c *Cluster) startEngines() (addresses []string, err error) {
	for i := range c.opts.Site.Engines {
		o := c.opts.Site.Engine(i)
		o.IgnoreCache = c.opts.IgnoreCache
		o.OnAdmit = c.opts.OnAdmit
		o.Observe = c.opts.Waste.Observe
		e := fakeengine.New(o)
		address, err := c.serve(e)
		if err != nil {
			return nil, fmt.Errorf("start engine %s: %w", o.Name, err)
		}
		c.engines = append(c.engines, e)
		addresses = append(addresses, address)
	}
	return addresses, nil
}

// assignSettings fixes the settings of each daemon, so that a restarted daemon
// keeps its addresses, and serves the VM list.
func (c *Cluster) assignSettings() error {
	list := fakevms.New(listLag)
	address, err := c.serve(list)
	if err != nil {
		return err
	}
	number := clusterCount.Add(1)
	var listed []backing.ListedVM
	for i := range c.opts.Site.Daemons {
		ip := loopbackAddress(number, i)
		s := settings.Defaults()
		s.VM, s.DataCentre, s.Site = fmt.Sprintf("vm-%02d", i), c.opts.Site.DataCentre(i), c.opts.Site.Name
		s.Listen = net.JoinHostPort(ip, callerPort)
		s.PeerListen = net.JoinHostPort(ip, peerPort)
		s.AdminListen = net.JoinHostPort(ip, adminPort)
		s.PeerAddress = s.PeerListen
		s.Platform.VMList = "http://" + address
		c.daemonSettings = append(c.daemonSettings, s)
		listed = append(listed, backing.ListedVM{Name: s.VM, PeerAddress: s.PeerAddress, DataCentre: s.DataCentre})
	}
	list.Set(listed)
	return nil
}

// Ports of every daemon. Each daemon has its own loopback address, so that no
// outgoing connection can take its port while it restarts.
const (
	callerPort = "8080"
	peerPort   = "7080"
	adminPort  = "9080"
)

var clusterCount atomic.Int64 // number of clusters started by this process

// loopbackAddress returns the address of daemon i of cluster number n. It depends
// on the process id, so that concurrent benchmarks rarely collide.
func loopbackAddress(n int64, i int) string {
	const usable = 250
	return fmt.Sprintf("127.%d.%d.%d", 2+os.Getpid()%usable, 1+n%usable, 1+i)
}

// startDaemons starts all daemons at once. Those that started are kept even if
// others failed, so that Close ends them.
func (c *Cluster) startDaemons(ctx context.Context) error {
	started := make([]*daemon.Daemon, len(c.daemonSettings))
	var g errgroup.Group
	for i, s := range c.daemonSettings {
		g.Go(func() error {
			options := []daemon.Option{daemon.WithConfig(1, c.config)}
			if c.opts.Placement != nil {
				options = append(options, daemon.WithPlacement(c.opts.Placement))
			}
			d, err := daemon.Start(ctx, s, options...)
			if err != nil {
				return fmt.Errorf("start daemon %s: %w", s.VM, err)
			}
			started[i] = d
			return nil
		})
	}
	err := g.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range started {
		if d != nil {
			c.daemons = append(c.daemons, d)
		}
	}
	return err
}

// RestartDaemons kills all daemons at once and starts them again at the same
// addresses.
func (c *Cluster) RestartDaemons(ctx context.Context) error {
	c.restarts.Add(1)
	c.kill()
	c.restarts.Add(1)
	return c.startDaemons(ctx)
}

// kill kills all daemons.
func (c *Cluster) kill() {
	c.mu.Lock()
	defer c.mu.Unlock()
	var g sync.WaitGroup
	for _, d := range c.daemons {
		g.Go(d.Kill)
	}
	g.Wait()
	c.daemons = nil
}

// Restarts returns a counter that RestartDaemons increases by one before it kills
// the daemons and by one after, so that it is odd while they are being killed.
func (c *Cluster) Restarts() int64 { return c.restarts.Load() }

// Addresses returns the addresses at which the daemons listen for callers,
// including those of killed daemons.
func (c *Cluster) Addresses() []string {
	addresses := make([]string, len(c.daemonSettings))
	for i, s := range c.daemonSettings {
		addresses[i] = s.Listen
	}
	return addresses
}

// Slow multiplies the processing time of the engines with these indices by factor
// and delays their load reports by reportLag.
func (c *Cluster) Slow(engines []int, factor float64, reportLag time.Duration) {
	for _, i := range engines {
		c.engines[i].SetSlowness(factor)
		c.engines[i].SetReportLag(reportLag)
	}
}

// Stats returns the sums of the statistics of all engines.
func (c *Cluster) Stats() fakeengine.Stats {
	var sum fakeengine.Stats
	for _, e := range c.engines {
		s := e.Stats()
		sum.Requests += s.Requests
		sum.PromptTokens += s.PromptTokens
		sum.CachedTokens += s.CachedTokens
		sum.PrefilledTokens += s.PrefilledTokens
		sum.OutputTokens += s.OutputTokens
	}
	return sum
}

// Close kills the daemons and closes the servers.
func (c *Cluster) Close() {
	c.kill()
	for _, s := range c.servers {
		if err := s.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			continue
		}
	}
}
