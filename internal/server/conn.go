package server

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio/nbhttp"

	"currantpulley/internal/refusal"
)

// endOfHeader ends the header of an HTTP/1 request.
var endOfHeader = []byte("\r\n\r\n")

// errRejected stops reading from a connection whose request was refused.
var errRejected = errors.New("request refused")

// lingerTimeout is how long a refused caller may keep sending before its
// connection is closed. Closing at once would reset the connection before the
// caller has read the response.
const lingerTimeout = 500 * time.Millisecond

// conn wraps a caller's connection for nbhttp. nbhttp reads from it in the
// goroutine that also runs the handler.
type conn struct {
	net.Conn // tcp, or the TLS connection over it
	server   *Server
	nbConn   *nbhttp.Conn
	tcp      net.Conn

	header    []byte // of the request being read, until the header is complete
	inBody    bool
	remaining int64 // bytes of the body still to be read; -1: chunked
	received  int64 // bytes of a chunked body
	started   bool  // part of a request was read and its handler was not called yet

	writeErr atomic.Pointer[error] // first write error
	handling atomic.Bool           // a handler runs

	pending       []byte        // read ahead, not yet returned to nbhttp
	readErr       error         // of the read ahead
	readAheadDone chan struct{} // closed when the read ahead ends; nil: none was started
}

// newConn wraps the connection of outer, with TLS if the server uses it.
func newConn(s *Server, outer *nbhttp.Conn) *conn {
	c := &conn{server: s, nbConn: outer, tcp: outer.Conn, Conn: outer.Conn}
	if s.opts.TLS != nil {
		c.Conn = tls.Server(outer.Conn, s.opts.TLS)
	}
	return c
}

// Read implements net.Conn. It checks the limits before nbhttp sees the data.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.read(p)
	if err == nil {
		err = c.inspect(p[:n])
	}
	if err != nil {
		c.onReadError(err)
		return 0, err
	}
	return n, nil
}

// read returns data that was read ahead first.
func (c *conn) read(p []byte) (int, error) {
	if len(c.pending) > 0 {
		n := copy(p, c.pending)
		c.pending = c.pending[n:]
		return n, nil
	}
	if c.readErr != nil {
		return 0, c.readErr
	}
	return c.Conn.Read(p)
}

// onReadError restores the original connection in nbhttp's entry, because nbhttp
// finds the entry to delete by the type of its connection. A request that was
// not sent in time is refused first.
func (c *conn) onReadError(err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) && c.started {
		_ = c.reject(refusal.New(refusal.RequestTimeout, "the request was not sent in time"))
	}
	if c.Conn != c.tcp {
		_ = c.Conn.Close()
	}
	c.nbConn.Conn = c.tcp
}

// Write implements net.Conn. It records the first error, as nbhttp's Flush
// discards errors.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.writeErr.CompareAndSwap(nil, &err)
	}
	return n, err
}

// writeError returns the first error of Write.
func (c *conn) writeError() error {
	if p := c.writeErr.Load(); p != nil {
		return *p
	}
	return nil
}

// inspect checks the limits for the next bytes read from the connection.
func (c *conn) inspect(data []byte) error {
	for len(data) > 0 {
		if c.inBody {
			n, err := c.inspectBody(data)
			if err != nil {
				return err
			}
			data = data[n:]
			continue
		}
		rest, err := c.inspectHeader(data)
		if err != nil {
			return err
		}
		data = rest
	}
	return nil
}

// inspectHeader collects the header of a request and returns the data after it.
func (c *conn) inspectHeader(data []byte) ([]byte, error) {
	limits := c.server.opts.Limits()
	if !c.started {
		c.started = true
		if limits.ReadTimeout > 0 {
			_ = c.tcp.SetReadDeadline(time.Now().Add(limits.ReadTimeout))
		}
	}
	from := max(0, len(c.header)-len(endOfHeader)+1)
	c.header = append(c.header, data...)
	end := bytes.Index(c.header[from:], endOfHeader)
	if end < 0 {
		if int64(len(c.header)) > limits.MaxHeader {
			return nil, c.reject(refusal.New(refusal.HeaderTooLarge, "the header is larger than %d bytes", limits.MaxHeader))
		}
		return nil, nil
	}
	end += from + len(endOfHeader)
	if int64(end) > limits.MaxHeader {
		return nil, c.reject(refusal.New(refusal.HeaderTooLarge, "the header is larger than %d bytes", limits.MaxHeader))
	}
	rest := data[len(data)-(len(c.header)-end):]
	return rest, c.startBody(c.header[:end], limits)
}

// startBody parses a complete header and prepares for the body.
func (c *conn) startBody(header []byte, limits Limits) error {
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(header)))
	if err != nil {
		return c.reject(refusal.New(refusal.BadRequest, "the request line or a header field is malformed"))
	}
	if r.ContentLength > limits.MaxBody {
		return c.reject(refusal.New(refusal.TooLarge, "the body is larger than %d bytes", limits.MaxBody))
	}
	c.header = nil
	c.received = 0
	c.remaining = r.ContentLength
	c.inBody = r.ContentLength != 0
	return nil
}

// inspectBody returns how many bytes of data belong to the body. Only nbhttp's
// parser finds the end of a chunked body, so all bytes before the handler is
// called count as its body.
func (c *conn) inspectBody(data []byte) (int, error) {
	limits := c.server.opts.Limits()
	if c.remaining >= 0 {
		n := min(int64(len(data)), c.remaining)
		c.remaining -= n
		c.inBody = c.remaining > 0
		return int(n), nil
	}
	c.received += int64(len(data))
	if c.received > limits.MaxBody {
		return 0, c.reject(refusal.New(refusal.TooLarge, "the body is larger than %d bytes", limits.MaxBody))
	}
	return len(data), nil
}

// startReadAhead reads from the connection while a handler runs, as net/http
// does, and calls cancel when the caller disconnects.
func (c *conn) startReadAhead(cancel context.CancelFunc) {
	if c.remaining < 0 {
		c.inBody = false
	}
	c.started = c.inBody || len(c.header) > 0 // part of a pipelined request was read
	_ = c.tcp.SetReadDeadline(time.Time{})
	if len(c.pending) > 0 || c.readErr != nil {
		c.readAheadDone = nil
		return
	}
	c.readAheadDone = make(chan struct{})
	go c.readOneByte(cancel, c.readAheadDone)
}

// readOneByte reads one byte, which fails when the caller disconnects or when
// stopReadAhead sets a deadline in the past.
func (c *conn) readOneByte(cancel context.CancelFunc, done chan struct{}) {
	defer close(done)
	var one [1]byte
	n, err := c.Conn.Read(one[:])
	c.pending = append(c.pending, one[:n]...)
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	c.readErr = err
	cancel()
}

// stopReadAhead interrupts the read ahead and waits until it has ended.
func (c *conn) stopReadAhead() {
	if c.readAheadDone == nil {
		return
	}
	_ = c.tcp.SetReadDeadline(time.Unix(1, 0))
	<-c.readAheadDone
	_ = c.tcp.SetReadDeadline(time.Time{})
}

// reject refuses a request that did not reach the handler and closes the
// connection. Its error is errRejected once the refusal was written.
func (c *conn) reject(r *refusal.Error) error {
	body, err := json.Marshal(r.Body())
	if err != nil {
		return err
	}
	res := http.Response{
		StatusCode: r.Status(), ProtoMajor: 1, ProtoMinor: 1, Close: true,
		Header:        http.Header{"Content-Type": {"application/json"}, "X-Effect": {string(r.Effect)}},
		ContentLength: int64(len(body)),
		Body:          bodyReader(body),
	}
	_ = c.tcp.SetDeadline(time.Now().Add(lingerTimeout))
	_ = res.Write(c.Conn)
	c.linger()
	if c.server.opts.Refused != nil {
		c.server.opts.Refused(c.tcp.RemoteAddr().String(), r)
	}
	return errRejected
}
