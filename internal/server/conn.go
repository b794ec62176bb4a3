package server

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httputil"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio/nbhttp"

	"currantpulley/internal/freshness"
	"currantpulley/internal/hangup"
	"currantpulley/internal/memory"
	"currantpulley/internal/refusal"
)

// endOfHead ends the head of an HTTP/1 request.
var endOfHead = []byte("\r\n\r\n")

// continueResponse tells a caller that waits for it to send the body.
var continueResponse = []byte("HTTP/1.1 100 Continue\r\n\r\n")

var (
	// errRejected stops reading from a connection whose request was refused.
	errRejected = errors.New("request refused")
	// errAborted is the error of writes after Writer.Abort.
	errAborted = errors.New("the response was aborted")
)

const (
	readBuffer = 2 << 10  // bytes read ahead of each connection
	maxTrailer = 16 << 10 // bytes of the trailer of a chunked body
	maxFields  = 16 << 10 // of a head
	otherLines = 2        // of a head: the first and the last one
)

// finalReadWait is the time for a read of what the kernel has already got.
const finalReadWait = 5 * time.Millisecond

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

	opened    bool             // see open
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
	c.held = s.opts.Memory.Open(freshness.Time(), c.exhaust)
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

// nextHead reads the next head into out.
func (c *conn) nextHead() error {
	if c.started {
		// nbhttp's parser has the whole head and did not call the handler.
		return c.reject(malformed("its syntax"))
	}
	return c.readHead()
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

// refuse refuses a request that can't be read: err is a refusal, or tells that it was not
// sent in time. It returns err, or that of the refusal.
func (c *conn) refuse(err error) error {
	var r *refusal.Error
	switch {
	case errors.As(err, &r):
		return c.reject(r)
	case !errors.Is(err, os.ErrDeadlineExceeded):
		return err
	case c.exhausted.Load() != nil:
		return c.reject(errNoMemory())
	}
	return c.reject(refusal.New(refusal.RequestTimeout, "the request was not sent in time"))
}

// readHead waits for a request, reads its head and prepares for its body.
func (c *conn) readHead() error {
	if c.ended.Load() {
		c.linger()
		return net.ErrClosed
	}
	if c.readError != nil {
		return c.readError
	}
	if err := c.open(); err != nil {
		return err
	}
	if c.refused != nil {
		return c.reject(c.refused)
	}
	if err := c.awaitRequest(); err != nil {
		return err
	}
	c.started = true
	limits := c.server.opts.Limits()
	if limits.ReadTimeout > 0 {
		_ = c.tcp.SetReadDeadline(time.Now().Add(limits.ReadTimeout))
	}
	c.held.Progress(freshness.Time())
	if c.exhausted.Load() != nil { // the deadline that ends the read may be lost
		return c.reject(errNoMemory())
	}
	raw, err := c.collectHead(limits.MaxHeader)
	if err != nil {
		return err
	}
	h, refused := parseHead(raw)
	if refused == nil && h.length > limits.MaxBody {
		refused = refusal.New(refusal.TooLarge, "the body is larger than %d bytes", limits.MaxBody)
	}
	if refused != nil {
		return c.reject(refused)
	}
	if h.continues && c.in.Buffered() == 0 {
		c.extendWriteDeadline(limits.WriteTimeout)
		_, _ = c.Conn.Write(continueResponse) // an error recurs when the body is read
	}
	c.out, c.length, c.chunks = h.bytes, h.length, nil
	if h.length < 0 {
		c.chunks = httputil.NewChunkedReader(c.in)
	}
	return nil
}

// awaitRequest waits for the first byte of a request. One that the kernel has when
// the deadline passes is still served: a full machine may run the timer first.
func (c *conn) awaitRequest() error {
	c.setIdle(true)
	_, err := c.in.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		_ = c.tcp.SetReadDeadline(time.Now().Add(finalReadWait))
		_, err = c.in.Peek(1)
	}
	c.setIdle(false)
	return err
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

// collectHead reads a head of at most limit bytes, line by line, and holds the memory that
// its fields will take.
func (c *conn) collectHead(limit int64) ([]byte, error) {
	var raw []byte
	lines := 0
	c.headBytes = 0
	for !bytes.HasSuffix(raw, endOfHead) {
		part, err := c.in.ReadSlice('\n')
		raw = append(raw, part...)
		if bad := c.holdHead(int64(cap(raw))); bad != nil {
			return nil, bad
		}
		if int64(len(raw)) > limit {
			return nil, c.reject(refusal.New(refusal.HeaderTooLarge, "the header is larger than %d bytes", limit))
		}
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
		if bytes.HasSuffix(raw, []byte("\n\n")) {
			return nil, c.reject(malformed("a line without a carriage return"))
		}
		if err == nil {
			lines++
		}
		if lines > maxFields+otherLines {
			return nil, c.reject(refusal.New(refusal.HeaderTooLarge, "the header has more than %d fields", maxFields))
		}
	}
	return raw, c.holdFields(lines - otherLines)
}

// extendWriteDeadline sets the write deadline to timeout from now, if it isn't 0.
func (c *conn) extendWriteDeadline(timeout time.Duration) {
	if timeout > 0 {
		_ = c.tcp.SetWriteDeadline(time.Now().Add(timeout))
	}
}

// startReadAhead reads from the connection while a handler runs, as net/http
// does, and calls leave when the caller disconnects.
func (c *conn) startReadAhead(leave func()) {
	c.started = false
	_ = c.tcp.SetReadDeadline(time.Time{})
	c.held.Enter(memory.Running, freshness.Time())
	c.early.Store(c.in.Buffered() > 0)
	c.readAheadDone = make(chan struct{})
	go c.readAhead(leave, c.readAheadDone)
}

// readAhead reads until the caller disconnects or stopReadAhead sets a deadline in the
// past. Once the buffer is full, it only waits for the end of the connection.
func (c *conn) readAhead(leave func(), done chan struct{}) {
	defer close(done)
	for {
		_, err := c.in.Peek(c.in.Buffered() + 1)
		if errors.Is(err, bufio.ErrBufferFull) {
			if err = hangup.Await(c.tcp); err == nil {
				err = io.EOF
			}
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		if err != nil {
			c.readError = err
			leave()
			return
		}
		c.early.Store(true)
	}
}

// stopReadAhead interrupts the read ahead and waits until it has ended.
func (c *conn) stopReadAhead() {
	_ = c.tcp.SetReadDeadline(time.Unix(1, 0))
	<-c.readAheadDone
	_ = c.tcp.SetReadDeadline(time.Time{})
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
	if r.RetryAfter > 0 {
		res.Header.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	c.started = false
	c.held.Shrink(connectionBytes)
	c.recordExhausted()
	c.extendWriteDeadline(lingerTimeout)
	_ = res.Write(c.Conn)
	c.closeWrite()
	c.linger()
	if c.server.opts.Refused != nil {
		c.server.opts.Refused(c.tcp.RemoteAddr().String(), r)
	}
	return errRejected
}
