package tunnel

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"syscall"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"currantpulley/internal/control/tunnel/tunnelpb"
	"currantpulley/internal/failure"
	"currantpulley/internal/holdoff"
)

// Conn is a connection to an upstream through another daemon. It implements net.Conn
// without deadlines. One goroutine may read and another one write.
type Conn struct {
	stream  tunnelpb.Tunnel_OpenClient
	cancel  context.CancelFunc
	client  *Client
	vm      string // the daemon that carries it
	peer    string // address of that daemon
	address string // of the upstream
	unread  []byte // received and not read yet
}

// Read implements io.Reader. Its error is io.EOF when the upstream closed in an orderly
// way, and wraps ECONNRESET when the upstream's connection broke.
func (c *Conn) Read(p []byte) (int, error) {
	for len(c.unread) == 0 {
		m, err := c.stream.Recv()
		if err != nil {
			return 0, c.readError(err)
		}
		c.unread = m.GetData()
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

// readError returns the error of a read that failed with err.
func (c *Conn) readError(err error) error {
	if errors.Is(err, io.EOF) {
		return io.EOF
	}
	if status.Code(err) == codes.Aborted {
		err = fmt.Errorf("%w: %w", syscall.ECONNRESET, err)
	}
	return fmt.Errorf("tunnel through %s: %w", c.vm, err)
}

// Write implements io.Writer. It sends p in parts, as both ends hold copies of a message
// until it is passed on.
func (c *Conn) Write(p []byte) (written int, err error) {
	for part := range slices.Chunk(p, bufferBytes) {
		if err := c.stream.Send(&tunnelpb.ToUpstream{Data: part}); err != nil {
			return written, fmt.Errorf("tunnel through %s: %w", c.vm, net.ErrClosed) // the read has the cause
		}
		written += len(part)
	}
	return written, nil
}

// Close implements io.Closer.
func (c *Conn) Close() error {
	c.cancel()
	c.client.forget(c)
	return nil
}

// Tell passes on to the daemon that carries the connection what the upstream asked for
// in a response: to the upstream, the request came from that daemon.
func (c *Conn) Tell(ctx context.Context, n holdoff.Notice) error {
	cc, err := c.client.opts.Pool.Conn(c.peer)
	if err == nil {
		_, err = tunnelpb.NewTunnelClient(cc).Tell(ctx, &tunnelpb.Holdoff{
			Upstream: n.Upstream, Leaving: n.Leaving, PauseMs: uint32(min(n.Pause, holdoff.MaxPause).Milliseconds()),
		})
	}
	if err != nil {
		return failure.At("tell the carrier", c.vm, err)
	}
	return nil
}

// peerAddr is the address of an end of a tunnel.
type peerAddr string

// Network implements net.Addr.
func (peerAddr) Network() string { return "tunnel" }

// String implements net.Addr.
func (a peerAddr) String() string { return string(a) }

// LocalAddr implements net.Conn.
func (c *Conn) LocalAddr() net.Addr { return peerAddr(c.vm) }

// RemoteAddr implements net.Conn.
func (c *Conn) RemoteAddr() net.Addr { return peerAddr(c.address) }

// SetDeadline implements net.Conn.
func (*Conn) SetDeadline(time.Time) error { return os.ErrNoDeadline }

// SetReadDeadline implements net.Conn.
func (*Conn) SetReadDeadline(time.Time) error { return os.ErrNoDeadline }

// SetWriteDeadline implements net.Conn.
func (*Conn) SetWriteDeadline(time.Time) error { return os.ErrNoDeadline }
