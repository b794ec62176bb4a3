package server

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"

	"currantpulley/internal/memory"
	"currantpulley/internal/refusal"
)

// firstBuffer is the number of bytes of a body that are read into its first buffer. Larger
// ones follow as bytes arrive: an announced length alone takes no memory.
const firstBuffer = 16 << 10

// maxTrailer is the number of bytes that the trailer of a chunked body may have.
const maxTrailer = 16 << 10

// Body is the body of a request, which was read whole before its handler was called.
type Body struct {
	*bytes.Reader
	data []byte
}

func newBody(data []byte) *Body { return &Body{bytes.NewReader(data), data} }

// Close implements io.Closer.
func (*Body) Close() error { return nil }

// ReadBody returns the body of r, without a copy if r came through a Server.
func ReadBody(r *http.Request) ([]byte, error) {
	if b, ok := r.Body.(*Body); ok {
		return b.data, nil
	}
	return io.ReadAll(r.Body)
}

// readBody reads the body of the request whose head was read. If it fails, the request
// was refused, without its body in memory, or its caller has left.
func (c *conn) readBody() ([]byte, error) {
	var body []byte
	var err error
	switch {
	case c.chunks != nil:
		body, err = c.readChunks(c.server.opts.Limits().MaxBody)
	case c.length > 0:
		body, err = c.readLength(c.length)
	}
	if err == nil {
		err = c.hold(runningBytes)
	}
	if err != nil {
		memory.DropBuffer(body)
		return nil, c.refuse(err)
	}
	return body[:len(body):len(body)], nil // the rest may hold another caller's bytes
}

// readLength reads a body of n bytes.
func (c *conn) readLength(n int64) ([]byte, error) {
	var body []byte
	for int64(len(body)) < n {
		var err error
		if body, err = c.readMore(c.in, body, n); err != nil {
			memory.DropBuffer(body)
			return nil, err
		}
	}
	return body, nil
}

// readChunks reads a chunked body of at most limit bytes.
func (c *conn) readChunks(limit int64) ([]byte, error) {
	var body []byte
	for {
		var err error
		if int64(len(body)) < limit {
			body, err = c.readMore(c.chunks, body, limit)
		} else {
			err = c.readNoMore(limit)
		}
		if errors.Is(err, io.EOF) {
			return body, c.endChunks()
		}
		if err != nil {
			memory.DropBuffer(body)
			return nil, chunkError(err)
		}
	}
}

// readNoMore expects the end of a chunked body that has reached the limit.
func (c *conn) readNoMore(limit int64) error {
	var one [1]byte
	n, err := c.chunks.Read(one[:])
	if n > 0 {
		return refusal.New(refusal.TooLarge, "the body is larger than %d bytes", limit)
	}
	return err
}

// chunkError returns err, or a refusal if it is that of a malformed chunk.
func chunkError(err error) error {
	var failed net.Error
	var refused *refusal.Error
	if errors.As(err, &failed) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &refused) {
		return err
	}
	return malformed("a chunk of its body")
}

// readMore reads what comes next from r into the room after body, which is made larger if
// there is none, up to limit bytes.
func (c *conn) readMore(r io.Reader, body []byte, limit int64) ([]byte, error) {
	if len(body) == cap(body) {
		size := min(max(firstBuffer, 2*int64(cap(body))), limit)
		if err := c.hold(size - int64(cap(body))); err != nil {
			return body, err
		}
		larger := append(memory.NewBuffer(size), body...)
		memory.DropBuffer(body)
		body = larger
	}
	n, err := r.Read(body[len(body):cap(body)])
	c.progress()
	if len(body) > 0 {
		// Bytes that arrive faster than they are decoded never block the read. Without this,
		// each long body would use its whole time slice before a short one is read.
		runtime.Gosched()
	}
	return body[:len(body)+n], err
}

// endChunks reads the trailer of a chunked body and drops it.
func (c *conn) endChunks() error {
	for size := 0; ; {
		line, err := c.in.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			return malformed("its trailer")
		}
		if err != nil {
			return err
		}
		size += len(line)
		field, ok := bytes.CutSuffix(line, lineEnd)
		if !ok || size > maxTrailer {
			return malformed("its trailer")
		}
		if len(field) == 0 {
			return nil
		}
		if !bytes.Contains(field, []byte(":")) {
			return malformed("its trailer")
		}
	}
}
