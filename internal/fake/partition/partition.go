// Package partition opens connections as a network does that may be partitioned, for
// tests and the soak.
package partition

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"currantpulley/internal/upstream"
)

// Mode is how a partition shows.
type Mode string

// Modes.
const (
	None   Mode = "none"
	Hangs  Mode = "connections hang"
	Resets Mode = "connections are reset"
	Keeps  Mode = "new connections are refused" // open ones live on for keepsFor
)

const (
	dialTimeout    = 500 * time.Millisecond
	unackedTimeout = time.Second // after which a write across the partition fails its connection
	keepsFor       = time.Second
)

// Network is a network that can be partitioned. It is safe for concurrent use.
type Network struct {
	open upstream.DialFunc

	mu    sync.Mutex
	mode  Mode
	conns map[*conn]bool
}

// New returns a Network without a partition.
func New() *Network {
	return &Network{open: upstream.NewDial(), mode: None, conns: make(map[*conn]bool)}
}

// Set sets how the network is partitioned.
func (n *Network) Set(mode Mode) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.mode == mode {
		return
	}
	n.mode = mode
	for c := range n.conns {
		switch mode {
		case None:
		case Hangs:
			c.silence.Do(func() { close(c.silent) })
		case Resets:
			_ = c.Conn.Close()
		case Keeps:
			time.AfterFunc(keepsFor, func() { _ = c.Conn.Close() })
		}
	}
}

// Dial is an upstream.DialFunc.
func (n *Network) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	n.mu.Lock()
	mode := n.mode
	n.mu.Unlock()
	switch mode {
	case None:
	case Keeps:
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	case Hangs, Resets:
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(dialTimeout):
			return nil, &net.OpError{Op: "dial", Net: network, Err: os.ErrDeadlineExceeded}
		}
	}
	opened, err := n.open(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: opened, network: n, silent: make(chan struct{}), failed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[c] = true
	return c, nil
}

// conn is a connection whose bytes are lost once it is silent. As with a user timeout,
// a write that is not acknowledged then fails the connection.
type conn struct {
	net.Conn
	network *Network
	silence sync.Once
	silent  chan struct{}
	fail    sync.Once
	failed  chan struct{}
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	select {
	case <-c.silent:
		time.AfterFunc(unackedTimeout, func() { c.fail.Do(func() { close(c.failed) }) })
		return len(p), nil
	default:
		return c.Conn.Write(p)
	}
}

// read is the result of a read.
type read struct {
	n   int
	err error
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	got := make(chan read, 1)
	buffer := make([]byte, len(p))
	go func() {
		n, err := c.Conn.Read(buffer)
		got <- read{n, err}
	}()
	select {
	case r := <-got:
		copy(p, buffer[:r.n])
		return r.n, r.err
	case <-c.silent:
		<-c.failed
		return 0, &net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ETIMEDOUT)}
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.fail.Do(func() { close(c.failed) })
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}
