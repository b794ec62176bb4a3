package proxy

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"currantpulley/bench/soak/plan"
)

// gate is the listener of a proxy. It refuses connections while the process behind the
// proxy does not run, as that process's own port would.
type gate struct {
	proxy plan.Proxy

	mu       sync.Mutex
	listener net.Listener
}

// gatePoll is the time between two attempts to reach a process that did not run.
const gatePoll = 20 * time.Millisecond

// open begins to listen.
func (g *gate) open() error {
	l, err := net.Listen("tcp", g.proxy.Listen)
	if err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listener = l
	return nil
}

func (g *gate) current() net.Listener {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.listener
}

// accept waits for a connection. Its error is net.ErrClosed while the gate is closed.
func (g *gate) accept() (net.Conn, error) { return g.current().Accept() }

func (g *gate) close() { _ = g.current().Close() }

// check closes the gate if the process behind it does not run. The store's process
// always runs.
func (g *gate) check() {
	if g.proxy.Store {
		return
	}
	c, err := net.DialTimeout("tcp", g.proxy.To, dialTimeout)
	if errors.Is(err, syscall.ECONNREFUSED) {
		g.close()
	}
	if err == nil {
		_ = c.Close()
	}
}

// reopen opens the gate as soon as the process behind it runs again.
func (g *gate) reopen(ctx context.Context) error {
	for ctx.Err() == nil {
		c, err := net.DialTimeout("tcp", g.proxy.To, dialTimeout)
		if err == nil {
			_ = c.Close()
			return g.open()
		}
		time.Sleep(gatePoll)
	}
	return nil
}
