package server

import (
	"crypto/tls"
	"errors"
	"net"
	"time"
)

const (
	// handshakeBytes is what a TLS handshake takes: what a caller sent of a message, and the
	// copies that decoding it makes.
	handshakeBytes = 48 << 10
	// maxHandshake is the number of bytes that a caller may send in a handshake. It is far
	// over what clients without a certificate need, and under the 64 KB of crypto/tls.
	maxHandshake = 16 << 10
)

// errLongHandshake is the error of a handshake of more than maxHandshake bytes.
var errLongHandshake = errors.New("the handshake is too long")

// handshakeReader is a connection from which a limited number of bytes can be read until
// its handshake is complete.
type handshakeReader struct {
	net.Conn
	left     int64
	complete bool
}

// Read implements net.Conn.
func (r *handshakeReader) Read(p []byte) (int, error) {
	if r.complete {
		return r.Conn.Read(p)
	}
	if r.left == 0 {
		return 0, errLongHandshake
	}
	n, err := r.Conn.Read(p[:min(int64(len(p)), r.left)])
	r.left -= int64(n)
	return n, err
}

// secure prepares the connection for TLS with the given configuration.
func (c *conn) secure(config *tls.Config) {
	c.handshake = &handshakeReader{Conn: c.tcp, left: maxHandshake}
	c.Conn = tls.Server(c.handshake, config)
}

// open prepares the connection for its first request, once: it holds what the connection
// takes, for which it waits, and completes the handshake. A caller that gets no memory for
// a handshake can't be told why it is refused.
func (c *conn) open() error {
	if c.opened {
		return nil
	}
	c.opened = true
	if t, ok := c.Conn.(*tls.Conn); ok {
		return c.shakeHands(t)
	}
	if c.refused != nil {
		return nil
	}
	if err := c.hold(connectionBytes); err != nil {
		return c.refuse(err)
	}
	return nil
}

// shakeHands completes a TLS handshake within the time for a request.
func (c *conn) shakeHands(t *tls.Conn) error {
	defer c.recordExhausted()
	if err := c.hold(connectionBytes + handshakeBytes); err != nil {
		return net.ErrClosed
	}
	if timeout := c.server.opts.Limits().ReadTimeout; timeout > 0 {
		_ = c.tcp.SetDeadline(time.Now().Add(timeout))
	}
	if c.exhausted.Load() != nil { // the deadline that ends the read may be lost
		return net.ErrClosed
	}
	c.setIdle(true)
	err := t.Handshake()
	c.setIdle(false)
	if err != nil {
		return err
	}
	c.handshake.complete = true
	c.held.Shrink(connectionBytes)
	_ = c.tcp.SetWriteDeadline(time.Time{})
	_ = c.tcp.SetReadDeadline(time.Now().Add(idleTimeout))
	return nil
}
