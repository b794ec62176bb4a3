package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"

	"currantpulley/internal/memory"
)

// errSealed is the error of a write to a sealed connection.
var errSealed = errors.New("the connection accepts no further request")

// trackedConn is a connection that tells whether bytes were written to it and which
// requests were refused on it, that bounds the heads of responses, and that
// can be closed for writes. It is safe for concurrent use.
type trackedConn struct {
	net.Conn

	mu      sync.Mutex
	written int64 // bytes that were handed to the kernel, or may be by a write in progress
	sealed  bool
	unnamed bool // a response on it named no request
	refused refusals
	send    *singleSend // latest request that got the connection
	begun   bool        // a byte of that request was handed to the kernel
	head    headCounter // of the response to that request
	headErr error       // why the head is not read further
}

// dialTracked returns a dial function whose connections are trackedConns.
func dialTracked(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &trackedConn{Conn: c}, nil
	}
}

// begin gives the connection to the request s and returns the number of bytes that were
// written before.
func (c *trackedConn) begin(s *singleSend) (written int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.send, c.begun, c.head = s, false, headCounter{}
	return c.written
}

// closeFor closes the connection if s is the latest request that got it.
func (c *trackedConn) closeFor(s *singleSend) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.send == s {
		_ = c.Close()
	}
}

// beginning returns the request of which no byte was written yet; nil: one was.
func (c *trackedConn) beginning() *singleSend {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.begun {
		return nil
	}
	c.begun = true
	return c.send
}

// Write implements net.Conn. It writes nothing to a sealed connection, and nothing of a
// request that may not begin.
func (c *trackedConn) Write(p []byte) (int, error) {
	if s := c.beginning(); s != nil {
		if err := s.mayBegin(c.Conn); err != nil {
			return 0, err
		}
	}
	if err := c.reserve(len(p)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.release(len(p) - n)
	return n, err
}

// Read implements net.Conn. It fails within a head of too many lines, or for which there is
// no memory.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if headErr := c.readHead(p[:n]); headErr != nil {
		return 0, headErr
	}
	return n, err
}

// readHead takes what was read. It asks for memory without the lock, as others may be ended
// for it.
func (c *trackedConn) readHead(p []byte) error {
	more, room, err := c.countHead(p)
	if err == nil && more > 0 && !room(more) {
		err = errNoRoomForHead
	}
	if err != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.headErr = err
	}
	return err
}

// countHead returns the memory that the head takes beyond what it took before p was read,
// and whom to ask for it.
func (c *trackedConn) countHead(p []byte) (more int64, room memory.Room, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.headErr != nil || c.send == nil {
		return 0, nil, c.headErr
	}
	more, err = c.head.read(p)
	return more, c.send.room, err
}

// errNoRoomForHead is the error of a response for whose head there is no memory.
var errNoRoomForHead = fmt.Errorf("head of the response: %w", memory.ErrNoRoom)

// failure returns why the connection is not read further; nil: it may be.
func (c *trackedConn) failure() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.headErr
}

// reserve counts n bytes as written before they are.
func (c *trackedConn) reserve(n int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return errSealed
	}
	c.written += int64(n)
	return nil
}

// release takes back n bytes that were not written.
func (c *trackedConn) release(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written -= int64(n)
}

// noteRefused records that request id was refused on the connection.
func (c *trackedConn) noteRefused(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused.add(id)
}

// noteUnnamed records that a response on the connection named no request.
func (c *trackedConn) noteUnnamed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unnamed = true
}

// mayCarry reports whether request id may be sent on the connection. It may not if it was
// refused there, or if a response there named no request: a second copy of that one would
// be taken for the response to the next request.
func (c *trackedConn) mayCarry(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.unnamed && (id == "" || !c.refused.contain(id))
}

// seal forbids all further writes and returns the number of bytes that were written, or
// may be by a write in progress.
func (c *trackedConn) seal() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written
}
