package main

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"currantpulley/bench/soak/plan"
	"currantpulley/bench/soak/site"
	"currantpulley/bench/soak/upstream"
	"currantpulley/platform/standin/names"
)

// Ports. Each process of a kind listens at an address of its own, as on VMs.
const (
	portFront    = 8080
	portControl  = 7080
	portReady    = 9080
	portUpstream = 8000
	portProxy    = 18000 // the proxy of upstream i listens at portProxy+i
	portStore    = 6000
)

// Last numbers of the loopback addresses.
const (
	hostOthers  = 1   // store and proxy
	hostDaemons = 2   // and the next
	hostUps     = 240 // upstreams, and the next
	maxDaemons  = hostUps - hostDaemons
)

// installation is what a soak starts.
type installation struct {
	plan      *plan.Plan
	planFile  string
	self      string // path of this program
	newBuild  string // path of the daemon's binary
	operator  *operator
	store     *process
	proxy     *process
	callers   *process
	daemons   []*process
	upstreams []*process

	mu     sync.Mutex
	starts []int // of each upstream
}

// network returns the first three numbers of the loopback addresses of this soak.
// Soaks that run at the same time have different ones.
func network() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d", 64+pid>>8&63, pid&255)
}

func address(network string, host, port int) string {
	return net.JoinHostPort(fmt.Sprintf("%s.%d", network, host), strconv.Itoa(port))
}

// newInstallation fills in the addresses of the plan and prepares the processes.
func newInstallation(f *flags, p *plan.Plan) (*installation, error) {
	if f.daemons > maxDaemons {
		return nil, fmt.Errorf("%d daemons, at most %d are possible", f.daemons, maxDaemons)
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	in := &installation{plan: p, planFile: filepath.Join(p.Dir, "plan.json"), self: self, newBuild: f.binary}
	n := network()
	p.Store = address(n, hostOthers, portStore)
	for i := range site.Upstreams {
		to := address(n, hostUps+i, portUpstream)
		p.Proxies = append(p.Proxies, plan.Proxy{Listen: address(n, hostOthers, portProxy+i), To: to, Upstream: i})
	}
	storeProxy := plan.Proxy{Listen: address(n, hostOthers, portProxy+site.Upstreams), To: p.Store, Store: true, Upstream: site.Upstreams}
	p.Proxies = append(p.Proxies, storeProxy)
	template, err := os.ReadFile(f.template)
	if err != nil {
		return nil, err
	}
	for i := range f.daemons {
		d, err := in.newDaemon(f, n, i, string(template))
		if err != nil {
			return nil, err
		}
		in.daemons = append(in.daemons, d)
	}
	in.operator = newOperator(p.Store)
	in.store = in.newPart(commandStore)
	in.proxy = in.newPart(commandProxy)
	in.callers = in.newPart(commandCaller, "--callers", strconv.Itoa(f.callers))
	for i := range site.Upstreams {
		in.upstreams = append(in.upstreams, in.newPart(commandUpstream, "--number", strconv.Itoa(i)))
	}
	in.starts = make([]int, site.Upstreams)
	return in, nil
}

// newDaemon writes the settings of daemon i and returns its process.
func (in *installation) newDaemon(f *flags, network string, i int, template string) (*process, error) {
	name := fmt.Sprintf("daemon-%d", i)
	boot := names.Boot{
		Node: name, Zone: "a", IP: fmt.Sprintf("%s.%d", network, hostDaemons+i),
		Front: address(network, hostDaemons+i, portFront), Control: address(network, hostDaemons+i, portControl),
		Ready: address(network, hostDaemons+i, portReady), Store: in.plan.Proxies[site.Upstreams].Listen,
		MemoryMB: site.MemoryMB, GraceS: site.StopGrace.Seconds(),
		RetryRatio: site.RetryRatio, RetryExtra: site.RetryExtra, RetryWindowS: int(site.RetryWindow.Seconds()),
	}
	if f.oldBuild == "" { // an old build may not know these settings
		boot.QuotaWindowS, boot.QuotaOverage, boot.QuotaSlack = int(site.QuotaWindow.Seconds()), site.QuotaOverage, site.QuotaSlack
	}
	in.plan.Daemons = append(in.plan.Daemons, boot.Front)
	file := filepath.Join(in.plan.Dir, name+".toml")
	argv := []string{cmp.Or(f.oldBuild, f.binary), "platform"}
	if slices.Contains(f.only, plan.CutDaemons) {
		argv = in.newPart(commandDaemon, "--number", strconv.Itoa(i)).argv
	}
	return &process{
		name: name, dir: in.plan.Dir, argv: argv, env: []string{names.BootVariable + "=" + file},
	}, os.WriteFile(file, []byte(boot.Render(template)), 0o600)
}

// newPart returns a process of this program.
func (in *installation) newPart(command string, args ...string) *process {
	name := command
	if command == commandUpstream {
		name += "-" + args[1]
	}
	argv := append([]string{in.self, command, "--plan", in.planFile, "--name", name}, args...)
	return &process{name: name, dir: in.plan.Dir, argv: argv}
}

// startUpstream starts an upstream as a new instance.
func (in *installation) startUpstream(i int) error {
	in.mu.Lock()
	defer in.mu.Unlock()
	u := in.upstreams[i]
	if u.current().running() {
		return nil
	}
	proxy := in.plan.Proxies[i]
	u.argv = in.newPart(commandUpstream, "--number", strconv.Itoa(i), "--generation", strconv.Itoa(in.starts[i]),
		"--listen", proxy.To, "--announce", proxy.Listen).argv
	in.starts[i]++
	return u.start()
}

// instance returns the id of an upstream's newest start.
func (in *installation) instance(i int) string {
	in.mu.Lock()
	defer in.mu.Unlock()
	return upstream.InstanceID(i, in.starts[i]-1)
}

// ended returns the ids of the starts of upstreams before the newest ones.
func (in *installation) ended() []string {
	in.mu.Lock()
	defer in.mu.Unlock()
	var out []string
	for i, starts := range in.starts {
		for generation := range starts - 1 {
			out = append(out, upstream.InstanceID(i, generation))
		}
	}
	return out
}

// startTimeout bounds the start of the store.
const startTimeout = 5 * time.Second

// startAll starts everything. Daemons start last, all at the same time, and callers
// send at once.
func (in *installation) startAll(ctx context.Context) error {
	if err := in.store.start(); err != nil {
		return err
	}
	if err := in.proxy.start(); err != nil {
		return err
	}
	for i := range in.upstreams {
		if err := in.startUpstream(i); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := in.operator.change(ctx); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	for _, d := range in.daemons {
		if err := d.start(); err != nil {
			return err
		}
	}
	return in.callers.start()
}

// endAll ends everything that was started.
func (in *installation) endAll() {
	for _, p := range in.all() {
		p.signal(syscall.SIGCONT)
		p.stop(syscall.SIGKILL, time.Second)
	}
}

func (in *installation) all() []*process {
	out := []*process{in.callers, in.proxy, in.store}
	out = append(out, in.daemons...)
	return append(out, in.upstreams...)
}
