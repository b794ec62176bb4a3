// Package proxy forwards connections on loopback and injects faults of a network.
package proxy

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"currantpulley/bench/soak/plan"
)

// Run serves all proxies of a plan until ctx ends.
func Run(ctx context.Context, p *plan.Plan, log zerolog.Logger) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, one := range p.Proxies {
		g := &gate{proxy: one}
		if err := g.open(); err != nil {
			return err
		}
		context.AfterFunc(ctx, g.close)
		group.Go(func() error { return serve(ctx, p, g) })
	}
	log.Info().Int("addresses", len(p.Proxies)).Msg("started")
	return group.Wait()
}

func serve(ctx context.Context, p *plan.Plan, g *gate) error {
	for ctx.Err() == nil {
		c, err := g.accept()
		switch {
		case err == nil:
			go forward(p, g, c)
		case ctx.Err() != nil:
		case errors.Is(err, net.ErrClosed):
			if err := g.reopen(ctx); err != nil {
				return err
			}
		default:
			return err
		}
	}
	return nil
}

const dialTimeout = time.Second

// link is a forwarded connection.
type link struct {
	plan  *plan.Plan
	gate  *gate
	proxy plan.Proxy
	luck  float64     // the link is affected by faults with a larger share
	muted atomic.Bool // bytes to the daemon are lost for good
}

// forward copies the bytes of a connection both ways until one side ends.
func forward(p *plan.Plan, g *gate, in net.Conn) {
	out, err := net.DialTimeout("tcp", g.proxy.To, dialTimeout)
	if err != nil {
		g.check()
		reset(in)
		return
	}
	l := &link{plan: p, gate: g, proxy: g.proxy, luck: rand.Float64()} //nolint:gosec // random faults need no secure source
	var both sync.WaitGroup
	both.Go(func() { l.copy(out, in, false) })
	both.Go(func() { l.copy(in, out, true) })
	both.Wait()
	_ = in.Close()
	_ = out.Close()
}

// Sizes and times of the proxy.
const (
	bufferBytes = 32 << 10
	pollPause   = 20 * time.Millisecond
	maxDelay    = 150 * time.Millisecond
	resetShare  = 0.1 // of the pieces that are read while a fault resets connections
)

// copy copies bytes from one side to the other. A side's end is passed on as it came:
// a close as a close, a reset as a reset.
func (l *link) copy(to, from net.Conn, toDaemon bool) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !l.pass(to, buffer[:n], toDaemon) {
			reset(to)
			reset(from)
			return
		}
		if err != nil && toDaemon {
			l.gate.check()
		}
		if errors.Is(err, io.EOF) && !l.muted.Load() {
			closeWrite(to)
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}

// pass forwards one piece with the faults in force. It returns false if the
// connection is to be reset.
func (l *link) pass(to net.Conn, piece []byte, toDaemon bool) bool {
	for {
		kinds := l.kinds()
		switch {
		case l.muted.Load() && toDaemon:
			return true
		case kinds[plan.NetReset] && rand.Float64() < resetShare: //nolint:gosec // random faults need no secure source
			return false
		case kinds[plan.NetOneWay] && toDaemon:
			l.muted.Store(true)
			return true
		case kinds[plan.NetSilent]:
			time.Sleep(pollPause)
			continue
		case kinds[plan.NetDelay] || l.proxy.Store && kinds[plan.StoreSlow]:
			time.Sleep(time.Duration(rand.Int64N(int64(maxDelay)))) //nolint:gosec // random faults need no secure source
		}
		_, err := to.Write(piece)
		return err == nil
	}
}

// kinds returns the kinds of faults that affect the link now.
func (l *link) kinds() map[string]bool {
	match := func(kind string) bool { return plan.IsNetwork(kind) || kind == plan.StoreSlow }
	out := make(map[string]bool)
	for _, f := range l.plan.Active(time.Now(), l.proxy.Upstream, match) {
		if l.luck < f.Share*2 {
			out[f.Kind] = true
		}
	}
	return out
}

func closeWrite(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}

// reset closes a connection so that the peer gets a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
