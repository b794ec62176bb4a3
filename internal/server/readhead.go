package server

import (
	"bufio"
	"bytes"
	"errors"
	"net"
	"net/http/httputil"
	"os"
	"time"

	"currantpulley/internal/freshness"
	"currantpulley/internal/refusal"
)

// endOfHead ends the head of an HTTP/1 request.
var endOfHead = []byte("\r\n\r\n")

// continueResponse tells a caller that waits for it to send the body.
var continueResponse = []byte("HTTP/1.1 100 Continue\r\n\r\n")

const (
	maxFields  = 16 << 10 // of a head
	otherLines = 2        // of a head: the first and the last one
)

// finalReadWait is the time for a read of what the kernel has already got.
const finalReadWait = 5 * time.Millisecond

// nextHead reads the next head into out.
func (c *conn) nextHead() error {
	if c.started {
		// nbhttp's parser has the whole head and did not call the handler.
		return c.reject(malformed("its syntax"))
	}
	return c.readHead()
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
