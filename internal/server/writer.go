package server

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"golang.org/x/net/http/httpguts"

	"currantpulley/internal/freshness"
	"currantpulley/internal/memory"
)

// maxChunk is the maximum number of bytes written at once. The write timeout
// applies to each of them.
const maxChunk = 16 << 10

// unknownLength is the length of a body that isn't known in advance.
const unknownLength = -1

// Writer is the http.ResponseWriter passed to handlers. Write returns once the
// kernel has accepted the data, so a slow caller delays only its own response.
//
// It encodes the response itself. nbhttp's Response replaces statuses that are not
// registered by 200, writes bodies after HEAD and statuses without a body, and cuts
// streams to HTTP/1.0 callers.
type Writer struct {
	conn     *conn
	timeout  time.Duration
	isHead   bool // the method is HEAD
	isHTTP11 bool // the request is HTTP/1.1, not 1.0

	header     http.Header
	status     int
	begun      bool // the head was encoded
	hasBody    bool
	chunked    bool
	left       int64  // bytes of the body that are due, or unknownLength
	lastWanted bool   // the response should be the last of its connection
	closing    bool   // the connection is closed after the response
	out        []byte // encoded, not yet sent
	err        error  // of the first failed write
}

// newWriter returns the writer of the response to r.
func newWriter(c *conn, r *http.Request, timeout time.Duration) *Writer {
	isHTTP11 := r.ProtoAtLeast(1, 1)
	return &Writer{
		conn: c, timeout: timeout, header: make(http.Header),
		isHead:   r.Method == http.MethodHead,
		isHTTP11: isHTTP11,
		closing:  !isHTTP11 || httpguts.HeaderValuesContainsToken(r.Header["Connection"], "close"),
	}
}

// Header implements http.ResponseWriter.
func (w *Writer) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter. Informational statuses can't be sent;
// 502 replaces them.
func (w *Writer) WriteHeader(status int) {
	if w.status != 0 {
		return
	}
	if status < http.StatusOK || status > 999 {
		status = http.StatusBadGateway
	}
	w.status = status
}

// begin encodes the head. size is the length of the body if the header has none.
func (w *Writer) begin(size int64) {
	if w.begun {
		return
	}
	w.begun = true
	w.decideClosing()
	w.WriteHeader(http.StatusOK)
	w.left = size
	if n, err := strconv.ParseInt(w.header.Get("Content-Length"), 10, 64); err == nil && n >= 0 {
		w.left = n
	}
	w.hasBody = !w.isHead && w.status != http.StatusNoContent && w.status != http.StatusNotModified
	w.setFraming()
	minor := 0
	if w.isHTTP11 {
		minor = 1
	}
	w.out = fmt.Appendf(w.out, "HTTP/1.%d %03d %s\r\n", minor, w.status, http.StatusText(w.status))
	_ = w.header.Write((*appender)(&w.out))
	w.out = append(w.out, "\r\n"...)
}

// decideClosing decides whether the response is the last of its connection. Requests
// that have come already are answered first, unless the caller wants none of that.
func (w *Writer) decideClosing() {
	if w.lastWanted || w.conn.server.draining.Load() {
		w.closing = w.closing || !w.conn.early.Load()
	}
}

// setFraming sets the header fields that concern the connection.
func (w *Writer) setFraming() {
	h := w.header
	h.Del("Transfer-Encoding")
	h.Del("Trailer")
	switch {
	case w.status == http.StatusNoContent:
		h.Del("Content-Length")
	case !w.hasBody: // a length is that of the body that isn't sent
	case w.left >= 0:
		h.Set("Content-Length", strconv.FormatInt(w.left, 10))
	case w.isHTTP11:
		w.chunked = true
		h.Set("Transfer-Encoding", "chunked")
	default:
		w.closing = true
		w.conn.unframed.Store(true)
	}
	h.Del("Connection")
	if w.closing {
		h.Set("Connection", "close")
	}
	if h.Get("Date") == "" {
		h.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	}
}

// appender is an io.Writer that appends to a slice.
type appender []byte

// Write implements io.Writer.
func (a *appender) Write(p []byte) (int, error) {
	*a = append(*a, p...)
	return len(p), nil
}

// Write sends data to the caller. It fails when the caller disconnected or read
// nothing for the write timeout.
func (w *Writer) Write(data []byte) (int, error) {
	w.begin(unknownLength)
	if !w.hasBody {
		return len(data), nil
	}
	if w.left != unknownLength {
		if int64(len(data)) > w.left {
			w.Abort()
			return 0, http.ErrContentLength
		}
		w.left -= int64(len(data))
	}
	written := 0
	for len(data) > 0 {
		n := min(len(data), maxChunk)
		w.appendPart(data[:n])
		if err := w.send(); err != nil {
			return written, err
		}
		written += n
		data = data[n:]
	}
	return written, nil
}

// appendPart encodes a part of the body.
func (w *Writer) appendPart(part []byte) {
	if !w.chunked {
		w.out = append(w.out, part...)
		return
	}
	w.out = fmt.Appendf(w.out, "%x\r\n", len(part))
	w.out = append(w.out, part...)
	w.out = append(w.out, "\r\n"...)
}

// send writes what is encoded to the connection.
func (w *Writer) send() error {
	if w.err != nil {
		return w.err
	}
	w.conn.extendWriteDeadline(w.timeout)
	w.conn.held.Enter(memory.Reading, freshness.Time())
	if _, err := w.conn.Write(w.out); err != nil {
		w.err = fmt.Errorf("write to caller: %w", err)
	}
	w.conn.held.Enter(memory.Running, freshness.Time())
	w.out = w.out[:0]
	return w.err
}

// finish ends the response after the handler, and the connection where it can't
// serve another request.
func (w *Writer) finish() {
	w.begin(0)
	if w.chunked {
		w.out = append(w.out, "0\r\n\r\n"...)
	}
	if len(w.out) > 0 {
		_ = w.send()
	}
	switch {
	case w.err != nil, w.hasBody && w.left > 0:
		w.Abort()
	case w.closing:
		w.conn.end()
	default:
		_ = w.conn.SetReadDeadline(time.Now().Add(idleTimeout))
	}
}

// Room reports whether n more bytes of the answer may be held before they are written.
func (w *Writer) Room(n int64) bool { return w.conn.held.Grow(n, freshness.Time()) }

// Abort closes the connection. A caller that has received part of a response sees
// that it is incomplete.
func (w *Writer) Abort() {
	if w.err == nil {
		w.err = errAborted
	}
	w.conn.abort()
}

// abortOnPanic is deferred around the handler. A response that was begun can't be
// completed after a panic.
func (w *Writer) abortOnPanic() {
	if v := recover(); v != nil {
		w.Abort()
		panic(v)
	}
}

// CloseAfter closes the connection after this response and announces that to the
// caller, unless the next request has come already. It must be called before Write.
func (w *Writer) CloseAfter() { w.lastWanted = true }
