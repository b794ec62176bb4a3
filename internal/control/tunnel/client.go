package tunnel

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"currantpulley/internal/control/tunnel/tunnelpb"
	"currantpulley/internal/failure"
	"currantpulley/internal/fleet"
	"currantpulley/internal/peer"
)

// Errors of Client.Dial.
var (
	// ErrRefused: the upstream's port refuses the connection of another daemon, too.
	ErrRefused = errors.New("the upstream refuses connections")
	// ErrNoCarrier: no other daemon could be asked.
	ErrNoCarrier = errors.New("no other daemon can open the connection")
)

const (
	// hedgeDelay is the time after which a second daemon is asked beside the first.
	hedgeDelay = 60 * time.Millisecond
	// maxAsked is the number of daemons that are asked for one connection.
	maxAsked = 3
	// refusalQuorum is the number of daemons whose connections must be refused until an
	// upstream counts as ended. A single one may be partitioned from it.
	refusalQuorum = 2
)

// ClientOptions configures a Client. All fields are required.
type ClientOptions struct {
	Pool       *peer.Pool
	Self       string // name of this VM
	DataCentre string
	View       func() fleet.View
	CutOff     func(vm string) bool // reports whether a daemon said that it reaches no upstreams itself
}

// Client opens connections to upstreams through other daemons.
type Client struct {
	opts ClientOptions

	mu    sync.Mutex
	conns map[*Conn]bool
}

// NewClient returns a Client.
func NewClient(o ClientOptions) *Client {
	return &Client{opts: o, conns: make(map[*Conn]bool)}
}

// HasCarriers reports whether there is a daemon to ask.
func (c *Client) HasCarriers() bool { return len(c.carriers()) > 0 }

// opened is the result of asking one daemon.
type opened struct {
	conn *Conn
	err  error
}

// Dial opens a connection to the upstream at address through another daemon. It asks
// a second and a third one if the first does not answer soon or can't. Its error wraps
// ErrRefused if refusalQuorum of them, or all if there are fewer, were refused.
func (c *Client) Dial(ctx context.Context, address string) (*Conn, error) {
	carriers := order(c.carriers(), c.opts.DataCentre)
	if len(carriers) == 0 {
		return nil, ErrNoCarrier
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan opened, len(carriers))
	asked, pending := 0, 0
	ask := func() {
		vm := carriers[asked]
		asked, pending = asked+1, pending+1
		go func() {
			conn, err := c.open(ctx, vm, address)
			results <- opened{conn, err}
		}()
	}
	ask()
	errs := []error{ErrNoCarrier}
	refusals := 0
	for pending > 0 {
		var hedge <-chan time.Time
		if asked < len(carriers) {
			hedge = time.After(hedgeDelay)
		}
		select {
		case <-hedge:
			ask()
			continue
		case r := <-results:
			pending--
			if errors.Is(r.err, ErrRefused) {
				refusals++
			}
			if r.err == nil || refusals >= refusalQuorum {
				go closeRest(results, pending)
				return r.conn, r.err
			}
			errs = append(errs, r.err)
		}
		if asked < len(carriers) && ctx.Err() == nil {
			ask()
		}
	}
	return nil, errors.Join(errs...)
}

// closeRest closes the connections of the daemons that answer too late.
func closeRest(results <-chan opened, pending int) {
	for range pending {
		if r := <-results; r.conn != nil {
			_ = r.conn.Close()
		}
	}
}

// carriers returns the other daemons that may reach upstreams.
func (c *Client) carriers() []fleet.VM {
	return slices.DeleteFunc(c.opts.View().Live(), func(vm fleet.VM) bool {
		return vm.Name == c.opts.Self || vm.State != fleet.Alive || c.opts.CutOff(vm.Name)
	})
}

// order returns up to maxAsked daemons in random order: one of this data centre first,
// whose way is shorter, then others, which a partition of the data centre spares.
func order(vms []fleet.VM, dataCentre string) []fleet.VM {
	rand.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
	near := slices.IndexFunc(vms, func(vm fleet.VM) bool { return vm.DataCentre == dataCentre })
	if near < 0 {
		return vms[:min(maxAsked, len(vms))]
	}
	first := vms[near]
	rest := slices.Delete(vms, near, near+1)
	slices.SortStableFunc(rest, func(a, b fleet.VM) int { return nearness(a, dataCentre) - nearness(b, dataCentre) })
	return append([]fleet.VM{first}, rest[:min(maxAsked-1, len(rest))]...)
}

// nearness returns 1 for a VM of the data centre, 0 for others.
func nearness(vm fleet.VM, dataCentre string) int {
	if vm.DataCentre == dataCentre {
		return 1
	}
	return 0
}

// open opens a connection through one daemon.
func (c *Client) open(ctx context.Context, vm fleet.VM, address string) (*Conn, error) {
	cc, err := c.opts.Pool.Conn(vm.PeerAddress)
	if err != nil {
		return nil, err
	}
	streamCtx, cancel := context.WithCancel(context.Background())
	stop := context.AfterFunc(ctx, cancel)
	stream, err := tunnelpb.NewTunnelClient(cc).Open(streamCtx)
	var first *tunnelpb.FromUpstream
	if err == nil {
		err = stream.Send(&tunnelpb.ToUpstream{Address: address})
	}
	if err == nil || stream != nil {
		first, err = stream.Recv()
	}
	switch {
	case err != nil:
	case first.GetRefused():
		err = ErrRefused
	case !stop():
		err = ctx.Err()
	}
	if err != nil {
		cancel()
		return nil, failure.At("open a tunnel", vm.Name, fmt.Errorf("to %s: %w", address, err))
	}
	conn := &Conn{stream: stream, cancel: cancel, vm: vm.Name, peer: vm.PeerAddress, address: address, client: c}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns[conn] = true
	return conn, nil
}

// Open returns the number of open connections.
func (c *Client) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}

// CloseGone closes the connections through daemons that no longer serve. It reports
// whether others go through daemons that are leaving and should not be used again.
func (c *Client) CloseGone() (leaving bool) {
	view := c.opts.View()
	c.mu.Lock()
	conns := slices.Collect(maps.Keys(c.conns))
	c.mu.Unlock()
	for _, conn := range conns {
		vm, known := view.Find(conn.vm)
		if !known || vm.State == fleet.Dead {
			_ = conn.Close()
		}
		leaving = leaving || vm.State == fleet.Leaving || c.opts.CutOff(conn.vm)
	}
	return leaving
}

// forget removes a connection that was closed.
func (c *Client) forget(conn *Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, conn)
}
