package peer

import (
	"context"
	"net"
	"sync/atomic"
)

// Traffic counts the bytes exchanged between daemons as passed to and from TCP:
// with the framing of HTTP/2 and TLS, but without the headers of TCP and IP.
type Traffic struct {
	sent     atomic.Uint64
	received atomic.Uint64
}

// Sent returns the number of bytes sent.
func (t *Traffic) Sent() uint64 { return t.sent.Load() }

// Received returns the number of bytes received.
func (t *Traffic) Received() uint64 { return t.received.Load() }

// Dial opens a connection that counts its bytes in t.
func (t *Traffic) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, traffic: t}, nil
}

func (t *Traffic) dialTCP(ctx context.Context, address string) (net.Conn, error) {
	return t.Dial(ctx, "tcp", address)
}

// countingConn counts the bytes of a connection.
type countingConn struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.received.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.sent.Add(uint64(n))
	return n, err
}

// countingListener counts the bytes of all connections that it accepts.
type countingListener struct {
	net.Listener
	traffic *Traffic
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, traffic: l.traffic}, nil
}
