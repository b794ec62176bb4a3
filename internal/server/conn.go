package server

import (
	"bufio"
	"bytes"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio/nbhttp"

	"currantpulley/internal/hangup"
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
	readBuffer  = 2 << 10  // bytes read ahead of each connection
	chunkBuffer = 4 << 10  // bytes of a chunked body passed to nbhttp at once
	maxTrailer  = 16 << 10 // bytes of the trailer of a chunked body
)

// finalReadWait is the time for a read of what the kernel has already got.
const finalReadWait = 5 * time.Millisecond

// conn wraps a caller's connection for nbhttp. nbhttp reads from it in the
// goroutine that also runs the handler.
//
// conn decides where each request ends and passes nbhttp one request at a time, of
// which it has checked each byte. Chunked bodies are passed on in chunks of its own,
// without extensions and trailers.
type conn struct {
	net.Conn // tcp, or the TLS connection over it
	server   *Server
	nbConn   *nbhttp.Conn
	tcp      *net.TCPConn

	in        *bufio.Reader  // of Conn
	out       []byte         // checked, not yet returned to nbhttp
	length    int64          // bytes of the body still to be returned; -1: it is chunked
	chunks    io.Reader      // decodes a chunked body; nil: there is none
	decoded   int64          // bytes of a chunked body
	chunk     []byte         // buffer for chunks
	started   bool           // part of a request was read and its handler was not called yet
	readError error          // of the read ahead
	refused   *refusal.Error // with which all requests are refused; nil: they are served

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
		c.Conn = tls.Server(tcp, s.opts.TLS)
	}
	c.in = bufio.NewReaderSize(c.Conn, readBuffer)
	return c
}

// Read implements net.Conn. It returns bytes of one request only, until its handler
// was called.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.read(p)
	if err != nil {
		c.onReadError(err)
		return 0, err
	}
	return n, nil
}

func (c *conn) read(p []byte) (int, error) {
	if len(c.out) == 0 {
		if n, err := c.fill(p); n > 0 || err != nil {
			return n, err
		}
	}
	n := copy(p, c.out)
	c.out = c.out[n:]
	return n, nil
}

// fill reads the next part of a request into p, or into out and returns 0.
func (c *conn) fill(p []byte) (int, error) {
	switch {
	case c.length > 0:
		n, err := c.in.Read(p[:min(int64(len(p)), c.length)])
		c.length -= int64(n)
		return n, err
	case c.chunks != nil:
		return 0, c.readChunk()
	case c.started:
		// nbhttp's parser has the whole request and did not call the handler.
		return 0, c.reject(malformed("its syntax"))
	}
	return 0, c.readHead()
}

// whole reports whether nbhttp has got all bytes of the request.
func (c *conn) whole() bool { return len(c.out) == 0 && c.length <= 0 && c.chunks == nil }

// onReadError restores the original connection in nbhttp's entry, because nbhttp
// finds the entry to delete by the type of its connection. A request that was
// not sent in time is refused first.
func (c *conn) onReadError(err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) && c.started {
		_ = c.reject(refusal.New(refusal.RequestTimeout, "the request was not sent in time"))
	}
	_ = c.Conn.Close() // nbhttp doesn't
	c.nbConn.Conn = c.tcp
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
	c.out, c.length = h.bytes, h.length
	if h.length < 0 {
		c.chunks, c.decoded = httputil.NewChunkedReader(c.in), 0
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

// collectHead reads a head of at most limit bytes, line by line.
func (c *conn) collectHead(limit int64) ([]byte, error) {
	var raw []byte
	for !bytes.HasSuffix(raw, endOfHead) {
		part, err := c.in.ReadSlice('\n')
		raw = append(raw, part...)
		if int64(len(raw)) > limit {
			return nil, c.reject(refusal.New(refusal.HeaderTooLarge, "the header is larger than %d bytes", limit))
		}
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
		if bytes.HasSuffix(raw, []byte("\n\n")) {
			return nil, c.reject(malformed("a line without a carriage return"))
		}
	}
	return raw, nil
}

// readChunk reads a part of a chunked body into out, as a chunk for nbhttp.
func (c *conn) readChunk() error {
	if c.chunk == nil {
		c.chunk = make([]byte, chunkBuffer)
	}
	n, err := c.chunks.Read(c.chunk)
	c.decoded += int64(n)
	if limit := c.server.opts.Limits().MaxBody; c.decoded > limit {
		return c.reject(refusal.New(refusal.TooLarge, "the body is larger than %d bytes", limit))
	}
	c.out = c.out[:0:0]
	if n > 0 {
		c.out = fmt.Appendf(nil, "%x\r\n%s\r\n", n, c.chunk[:n])
	}
	if errors.Is(err, io.EOF) {
		err = c.endChunks()
	}
	var failed net.Error
	if err != nil && !errors.As(err, &failed) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, errRejected) {
		err = c.reject(malformed("a chunk of its body"))
	}
	return err
}

// endChunks reads the trailer of a chunked body, drops it and ends the body.
func (c *conn) endChunks() error {
	for size := 0; ; {
		line, err := c.in.ReadSlice('\n')
		if err != nil {
			return err
		}
		size += len(line)
		field, ok := bytes.CutSuffix(line, lineEnd)
		if !ok || size > maxTrailer {
			return c.reject(malformed("its trailer"))
		}
		if len(field) == 0 {
			break
		}
		if !bytes.Contains(field, []byte(":")) {
			return c.reject(malformed("its trailer"))
		}
	}
	c.chunks = nil
	c.out = append(c.out, "0\r\n\r\n"...)
	return nil
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
	c.extendWriteDeadline(lingerTimeout)
	_ = res.Write(c.Conn)
	c.closeWrite()
	c.linger()
	if c.server.opts.Refused != nil {
		c.server.opts.Refused(c.tcp.RemoteAddr().String(), r)
	}
	return errRejected
}
