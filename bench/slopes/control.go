package main

import (
	"context"
	"fmt"
	"math/rand"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"time"

	"google.golang.org/grpc"

	"currantpulley/internal/backing"
	"currantpulley/internal/config"
	"currantpulley/internal/control/loads"
	"currantpulley/internal/control/loop"
	"currantpulley/internal/control/membership"
	"currantpulley/internal/control/usage"
	"currantpulley/internal/fleet"
	"currantpulley/internal/peer"
	"currantpulley/internal/snapshot"
	"currantpulley/internal/timeline"
	"currantpulley/internal/upstream"
)

// The load of one daemon at the size that the system is designed for.
const (
	enginesPerDaemon  = 1500.0 / fleetDaemons
	requestsPerSecond = 30
	tokensPerRequest  = 4000
	workspaces        = 23000
	workspaceSkew     = 1.1 // exponent of the workspaces' Zipf distribution
	dataCentres       = 3   // in a fleet with one site
)

// controlSize is the size of a measured fleet.
type controlSize struct {
	daemons, siteSize int
	warmUp            time.Duration
}

// controlFigures are the results of one measurement, averaged over the daemons of
// a fleet unless stated otherwise.
type controlFigures struct {
	Measure        string             `json:"measure"`
	Daemons        int                `json:"daemons"`
	SiteSize       int                `json:"site_size"`
	Engines        int                `json:"engines"`
	Seconds        float64            `json:"seconds"`
	BytesPerSecond float64            `json:"bytes_per_s"` // sent and received, to other daemons and engines
	SentPerSecond  float64            `json:"sent_per_s"`
	MaxPerSecond   float64            `json:"max_bytes_per_s"` // of the busiest daemon
	PollPerSecond  float64            `json:"poll_bytes_per_s"`
	ByMethod       map[string]float64 `json:"by_method_bytes_per_s"` // gRPC payloads and headers received
	CallsPerSecond float64            `json:"calls_per_s"`           // gRPC calls made
	CPUShare       float64            `json:"cpu_share"`             // of a core; includes the simulated engines
	Live           int                `json:"live"`                  // VMs that the first daemon sees as alive
	Known          int                `json:"engines_known"`         // engines that the first daemon sees as up
}

// node is the control part of one daemon.
type node struct {
	server  *peer.Server
	pool    *peer.Pool
	polls   peer.Traffic
	calls   *callStats
	members *membership.Membership

	mu    sync.Mutex
	known int // engines that are up
}

// bytes returns the bytes sent and received so far, polls of engines included.
func (n *node) bytes() (sent, received uint64) {
	sent = n.pool.Traffic().Sent() + n.server.Traffic().Sent() + n.polls.Sent()
	received = n.pool.Traffic().Received() + n.server.Traffic().Received() + n.polls.Received()
	return sent, received
}

// runControl measures a fleet of the given size for length after its warm-up.
func runControl(ctx context.Context, size controlSize, length time.Duration) (controlFigures, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	nodes, err := startFleet(ctx, size)
	if err != nil {
		return controlFigures{}, err
	}
	defer stopFleet(nodes)
	if err := wait(ctx, size.warmUp); err != nil {
		return controlFigures{}, err
	}
	before, cpuBefore, start := readCounters(nodes), cpuTime(), time.Now()
	if err := wait(ctx, length); err != nil {
		return controlFigures{}, err
	}
	elapsed := time.Since(start).Seconds()
	after, cpuAfter := readCounters(nodes), cpuTime()
	return figures(size, nodes, before, after, elapsed, cpuAfter-cpuBefore), nil
}

// wait waits for d, or returns the error of ctx if it ends first.
func wait(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// counters are the counters of one daemon.
type counters struct {
	sent, received, polls uint64
	calls                 uint64
	methods               map[string]uint64
}

// readCounters reads the counters of all daemons.
func readCounters(nodes []*node) []counters {
	var out []counters
	for _, n := range nodes {
		r := counters{polls: n.polls.Sent() + n.polls.Received()}
		r.sent, r.received = n.bytes()
		r.calls, r.methods = n.calls.read()
		out = append(out, r)
	}
	return out
}

// figures computes the results from the counters before and after a measurement.
func figures(size controlSize, nodes []*node, before, after []counters, seconds float64, cpu time.Duration) controlFigures {
	f := controlFigures{
		Measure: "control", Daemons: size.daemons, SiteSize: size.siteSize,
		Engines: engineCount(size.siteSize) * (size.daemons / size.siteSize), Seconds: seconds,
		ByMethod: make(map[string]float64), Live: len(nodes[0].members.View().Live()),
	}
	nodes[0].mu.Lock()
	f.Known = nodes[0].known
	nodes[0].mu.Unlock()
	daemonSeconds := seconds * float64(len(nodes))
	for i := range nodes {
		sent := float64(after[i].sent - before[i].sent)
		bytes := sent + float64(after[i].received-before[i].received)
		f.SentPerSecond += sent / daemonSeconds
		f.BytesPerSecond += bytes / daemonSeconds
		f.MaxPerSecond = max(f.MaxPerSecond, bytes/seconds)
		f.PollPerSecond += float64(after[i].polls-before[i].polls) / daemonSeconds
		f.CallsPerSecond += float64(after[i].calls-before[i].calls) / daemonSeconds
		for method, n := range after[i].methods {
			f.ByMethod[method] += float64(n-before[i].methods[method]) / daemonSeconds
		}
	}
	f.CPUShare = cpu.Seconds() / daemonSeconds
	return f
}

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// engineCount returns the number of engines of a site.
func engineCount(siteSize int) int { return int(float64(siteSize)*enginesPerDaemon + 0.5) }

// startFleet starts the control parts of all daemons, each with all VMs as seeds.
func startFleet(ctx context.Context, size controlSize) ([]*node, error) {
	var nodes []*node
	var seeds []backing.ListedVM
	sites := size.daemons / size.siteSize
	for i := range size.daemons {
		calls := newCallStats()
		clock := timeline.NewClock(nil)
		server, err := peer.Listen("127.0.0.1:0", nil, grpc.StatsHandler(calls), clock.ServerOption())
		if err != nil {
			return nil, err
		}
		pool := peer.NewPool(nil, grpc.WithStatsHandler(calls), clock.ClientOption(loads.ServiceName, usage.ServiceName))
		n := &node{server: server, pool: pool, calls: calls}
		nodes = append(nodes, n)
		seeds = append(seeds, backing.ListedVM{
			Name: fmt.Sprintf("vm-%03d.example", i), PeerAddress: server.Address(), DataCentre: dataCentreOf(i, sites),
		})
	}
	engines, stop := startEngines(engineCount(size.siteSize))
	context.AfterFunc(ctx, stop)
	for i, n := range nodes {
		n.start(ctx, seeds, i, fmt.Sprintf("site-%d", i%sites), engines)
	}
	return nodes, nil
}

// dataCentreOf returns the data centre of daemon i. Each of several sites has its
// own data centre; a single site is spread over dataCentres.
func dataCentreOf(i, sites int) string {
	if sites == 1 {
		return fmt.Sprintf("dc-%d", i%dataCentres)
	}
	return fmt.Sprintf("dc-%d", i%sites)
}

func stopFleet(nodes []*node) {
	for _, n := range nodes {
		n.pool.Close()
		n.server.Stop()
	}
}

// start connects and runs the control components as a real daemon does.
func (n *node) start(ctx context.Context, seeds []backing.ListedVM, i int, site string, engines map[string]*config.Upstream) {
	controlLoop := loop.New()
	self := fleet.VM{Name: seeds[i].Name, PeerAddress: seeds[i].PeerAddress, DataCentre: seeds[i].DataCentre, Site: site}
	shared := loads.New(loads.Options{
		Loop: controlLoop, Pool: n.pool, Self: self.Name, Poller: newPoller(&n.polls), OnUpdate: n.updateEngines,
	})
	used := usage.New(usage.Options{
		Loop: controlLoop, Pool: n.pool, Self: self.Name,
		Collect: newDemand(int64(i)).collect, Apply: func([]usage.Total) {},
	})
	n.members = membership.New(membership.Options{
		Loop: controlLoop, Pool: n.pool, Seeds: seeds, Self: self,
		Version: func() uint64 { return 1 },
		OnView: func(view fleet.View) {
			shared.SetView(view)
			used.SetView(view)
		},
	})
	n.members.Register(n.server.Server)
	shared.Register(n.server.Server)
	used.Register(n.server.Server)
	go controlLoop.Run(ctx)
	go func() { _ = n.server.Run(ctx) }()
	controlLoop.Post(func(now time.Time) {
		shared.SetUpstreams(now, engines)
		used.SetWorkspaces(workspaceNames)
	})
	go n.members.Run(ctx)
	go shared.Run(ctx)
	go used.Run(ctx)
}

// updateEngines counts the engines that are up.
func (n *node) updateEngines(states []loads.State) {
	up := 0
	for _, s := range states {
		if s.Health == snapshot.Up {
			up++
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.known = up
}

var workspaceNames = func() []string {
	names := make([]string, workspaces)
	for i := range names {
		names[i] = fmt.Sprintf("workspace-%05d", i)
	}
	return names
}()

// demand simulates the usage of a daemon that serves requests at a constant rate.
// The popularity of workspaces has a Zipf distribution.
type demand struct {
	zipf *rand.Zipf
	last time.Time
}

func newDemand(seed int64) *demand {
	r := rand.New(rand.NewSource(seed))
	return &demand{zipf: rand.NewZipf(r, workspaceSkew, 1, workspaces-1), last: time.Now()}
}

// collect returns the usage since the last call, by workspace.
func (d *demand) collect() []usage.Use {
	now := time.Now()
	count := int(now.Sub(d.last).Seconds() * requestsPerSecond)
	d.last = now
	used := make(map[string]usage.Use)
	for range count {
		name := workspaceNames[d.zipf.Uint64()]
		u := used[name]
		used[name] = usage.Use{Workspace: name, Requests: u.Requests + 1, Tokens: u.Tokens + tokensPerRequest}
	}
	uses := make([]usage.Use, 0, len(used))
	for _, u := range used {
		uses = append(uses, u)
	}
	return uses
}

// startEngines starts one server that simulates n engines, whose load changes with
// every report. The returned function closes its connections.
func startEngines(n int) (map[string]*config.Upstream, func()) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, `{"incarnation":"4f1c2a9e","weights":{"atlas-70b":"2026-05"},"loading":false,"role":"mixed",`+
			`"adapters":[],"fencing":12,"load":{"running":%d,"queued":%d,"queued_tokens":%d,"cached_pieces":%d,"capacity_pieces":32000}}`,
			rand.Intn(64), rand.Intn(32), rand.Intn(60000), 30000+rand.Intn(2000))
	}))
	engines := make(map[string]*config.Upstream, n)
	for i := range n {
		name := fmt.Sprintf("engine-%04d", i)
		engines[name] = &config.Upstream{Name: name, Kind: config.KindEngine, Address: strings.TrimPrefix(server.URL, "http://")}
	}
	return engines, server.CloseClientConnections
}

// newPoller returns a poller that reads the state of engines over HTTP and counts
// the bytes in traffic.
func newPoller(traffic *peer.Traffic) loads.EnginePoller {
	transport := upstream.NewTransport()
	transport.DialContext = traffic.Dial
	return loads.EnginePoller{Engine: upstream.NewHTTPEngine(transport)}
}
