package server

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio/nbhttp"

	"currantpulley/internal/freshness"
	"currantpulley/internal/memory"
	"currantpulley/internal/refusal"
)

var (
	// errRejected stops reading from a connection whose request was refused.
	errRejected = errors.New("request refused")
	// errAborted is the error of writes after Writer.Abort.
	errAborted = errors.New("the response was aborted")
)

// readBuffer is the number of bytes that are read ahead of each connection.
const readBuffer = 2 << 10

// conn wraps a caller's connection for nbhttp. nbhttp reads from it in the
// goroutine that also runs the handler.
//
// conn decides where each request ends and passes nbhttp one head at a time, of which
// it has checked each byte. It reads the body itself, which nbhttp would copy several
// times.
type conn struct {
	net.Conn // tcp, or the TLS connection over it
	server   *Server
	nbConn   *nbhttp.Conn
	tcp      *net.TCPConn

	in        *bufio.Reader  // of Conn
	out       []byte         // of a checked head, not yet returned to nbhttp
	length    int64          // of the body
	chunks    io.Reader      // decodes a chunked body; nil: there is none
	started   bool           // part of a request was read and its handler was not called yet
	readError error          // of the read ahead, or of a body
	refused   *refusal.Error // with which all requests are refused; nil: they are served

	uncounted bool             // it was closed at once, and is not among the open connections
	opened    bool             // open was called
	handshake *handshakeReader // nil: no TLS

	held      *memory.Holding
	headBytes int64                         // of held, for the head
	exhausted atomic.Pointer[memory.Reason] // why the caller is ended for its memory; nil: it isn't

	early    atomic.Bool // a byte of the next request has come while the handler runs
	ended    atomic.Bool // no further request is read
	unframed atomic.Bool // the response ends with the connection

	mu   sync.Mutex
	idle bool // no byte of the next request was read

	readAheadDone chan struct{} // closed when the read ahead ends
}

// newConn wraps tcp, the connection of outer, with TLS if the server uses it.
func newConn(s *Server, outer *nbhttp.Conn, tcp *net.TCPConn) *conn {
	c := &conn{server: s, nbConn: outer, tcp: tcp, Conn: tcp}
	if s.opts.TLS != nil {
		c.secure(s.opts.TLS)
	}
	c.in = bufio.NewReaderSize(c.Conn, readBuffer)
	c.held = s.opts.Memory.Open(s, freshness.Time(), c.exhaust)
	return c
}

// Read implements net.Conn. It returns bytes of one head only, until its handler was
// called.
func (c *conn) Read(p []byte) (int, error) {
	if len(c.out) == 0 {
		if err := c.nextHead(); err != nil {
			c.onReadError(err)
			return 0, err
		}
	}
	n := copy(p, c.out)
	c.out = c.out[n:]
	return n, nil
}

// onReadError restores the original connection in nbhttp's entry, because nbhttp
// finds the entry to delete by the type of its connection. A request that was
// not sent in time is refused first.
func (c *conn) onReadError(err error) {
	if c.started {
		_ = c.refuse(err)
	}
	_ = c.Conn.Close() // nbhttp doesn't
	c.nbConn.Conn = c.tcp
}

// setIdle sets idle. The read deadline of an idle connection is set under the same
// lock, so that a connection is closed as idle only if no request was read.
func (c *conn) setIdle(idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = idle
	if idle && c.server.closingIdle.Load() {
		_ = c.tcp.SetReadDeadline(time.Now().Add(lastRequestWait))
	}
	if !idle {
		_ = c.tcp.SetReadDeadline(time.Time{})
	}
}

// closeIfIdle closes the connection unless a request begins within lastRequestWait.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle {
		_ = c.tcp.SetReadDeadline(time.Now().Add(lastRequestWait))
	}
}

// extendWriteDeadline sets the write deadline to timeout from now, if it isn't 0.
func (c *conn) extendWriteDeadline(timeout time.Duration) {
	if timeout > 0 {
		_ = c.tcp.SetWriteDeadline(time.Now().Add(timeout))
	}
}

// end closes the sending side after a complete response. The connection is closed by
// the next Read.
func (c *conn) end() {
	c.ended.Store(true)
	c.closeWrite()
}

// abort closes the connection at once. Requests that were read ahead are dropped. A
// caller that takes the end of the connection for that of the response gets a reset.
func (c *conn) abort() {
	c.ended.Store(true)
	if c.unframed.Load() {
		_ = c.tcp.SetLinger(0)
	}
	_ = c.tcp.Close()
}
