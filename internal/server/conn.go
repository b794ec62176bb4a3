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

// errRefused ends the reading of a connection whose request was refused.
var errRefused = errors.New("request refused")

// lingerTimeout is how long a refused caller may go on sending before its
// connection is closed: closing at once would reset it before it reads why.
const lingerTimeout = 500 * time.Millisecond

// conn stands between nbhttp and a caller's connection. nbhttp reads from one
// goroutine, the one that also runs the handler.
type conn struct {
	net.Conn // tcp, or TLS over it
	server   *Server
	outer    *nbhttp.Conn
	tcp      net.Conn

	header    []byte // of the request being read, until it is complete
	inBody    bool
	remaining int64 // bytes of the body still to come; -1: chunked
	received  int64 // bytes of a chunked body
	began     bool  // a request has begun and its handler was not called yet

	failed atomic.Pointer[error] // first write error
	busy   atomic.Bool           // a handler runs

	pending []byte // read by the watcher, not yet by nbhttp
	readErr error
	done    chan struct{}
}

func newConn(s *Server, outer *nbhttp.Conn) *conn {
	c := &conn{server: s, outer: outer, tcp: outer.Conn, Conn: outer.Conn}
	if s.opts.TLS != nil {
		c.Conn = tls.Server(outer.Conn, s.opts.TLS)
	}
	return c
}

// Read implements net.Conn for nbhttp's reading goroutine.
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

// onReadError gives nbhttp its own connection back, by whose type it finds
// its entry to delete.
func (c *conn) onReadError(err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) && c.began {
		_ = c.refuse(refusal.New(refusal.TooSlow, "the request was not sent in time"))
	}
	if c.Conn != c.tcp {
		_ = c.Conn.Close()
	}
	c.outer.Conn = c.tcp
}

// Write implements net.Conn and keeps the first error, which nbhttp's Flush drops.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.failed.CompareAndSwap(nil, &err)
	}
	return n, err
}

func (c *conn) writeError() error {
	if p := c.failed.Load(); p != nil {
		return *p
	}
	return nil
}

// inspect applies the limits to the next bytes of the connection.
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

func (c *conn) inspectHeader(data []byte) ([]byte, error) {
	limits := c.server.opts.Limits()
	if !c.began {
		c.began = true
		if limits.ReadTimeout > 0 {
			_ = c.tcp.SetReadDeadline(time.Now().Add(limits.ReadTimeout))
		}
	}
	from := max(0, len(c.header)-len(endOfHeader)+1)
	c.header = append(c.header, data...)
	end := bytes.Index(c.header[from:], endOfHeader)
	if end < 0 {
		if int64(len(c.header)) > limits.MaxHeader {
			return nil, c.refuse(refusal.New(refusal.HeaderTooLarge, "the header is larger than %d bytes", limits.MaxHeader))
		}
		return nil, nil
	}
	end += from + len(endOfHeader)
	if int64(end) > limits.MaxHeader {
		return nil, c.refuse(refusal.New(refusal.HeaderTooLarge, "the header is larger than %d bytes", limits.MaxHeader))
	}
	rest := data[len(data)-(len(c.header)-end):]
	return rest, c.startBody(c.header[:end], limits)
}

func (c *conn) startBody(header []byte, limits Limits) error {
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(header)))
	if err != nil {
		return c.refuse(refusal.New(refusal.BadRequest, "the request line or a header field is malformed"))
	}
	if r.ContentLength > limits.MaxBody {
		return c.refuse(refusal.New(refusal.TooLarge, "the body is larger than %d bytes", limits.MaxBody))
	}
	c.header = nil
	c.received = 0
	c.remaining = r.ContentLength
	c.inBody = r.ContentLength != 0
	return nil
}

// inspectBody returns how many bytes of data belong to the body. The end of a
// chunked body is found by nbhttp's parser; until the handler has run, all
// bytes count for it.
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
		return 0, c.refuse(refusal.New(refusal.TooLarge, "the body is larger than %d bytes", limits.MaxBody))
	}
	return len(data), nil
}

// startWatch reads ahead while a handler runs, as net/http does, so that
// cancel is called when the caller goes away.
func (c *conn) startWatch(cancel context.CancelFunc) {
	if c.remaining < 0 {
		c.inBody = false
	}
	c.began = c.inBody || len(c.header) > 0 // of a pipelined request
	_ = c.tcp.SetReadDeadline(time.Time{})
	if len(c.pending) > 0 || c.readErr != nil {
		c.done = nil
		return
	}
	c.done = make(chan struct{})
	go c.readAhead(cancel, c.done)
}

func (c *conn) readAhead(cancel context.CancelFunc, done chan struct{}) {
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

func (c *conn) stopWatch() {
	if c.done == nil {
		return
	}
	_ = c.tcp.SetReadDeadline(time.Unix(1, 0))
	<-c.done
	_ = c.tcp.SetReadDeadline(time.Time{})
}

// refuse answers a request that never reached the handler and ends the
// connection.
func (c *conn) refuse(r *refusal.Error) error {
	body, err := json.Marshal(r.Body())
	if err != nil {
		return err
	}
	res := http.Response{
		StatusCode: r.Status(), ProtoMajor: 1, ProtoMinor: 1, Close: true,
		Header:        http.Header{"Content-Type": {"application/json"}, "X-Effect": {string(r.Effect)}},
		ContentLength: int64(len(body)),
		Body:          newBody(body),
	}
	_ = c.tcp.SetDeadline(time.Now().Add(lingerTimeout))
	_ = res.Write(c.Conn)
	c.linger()
	if c.server.opts.Refused != nil {
		c.server.opts.Refused(c.tcp.RemoteAddr().String(), r)
	}
	return errRefused
}
