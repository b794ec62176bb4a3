package server

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"

	"currantpulley/internal/refusal"
)

// firstBuffer is the number of bytes of a body that are read into its first buffer. Larger
// ones follow as bytes arrive: an announced length alone takes no memory.
const firstBuffer = 16 << 10

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
// was refused or its caller has left.
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
		return nil, c.refuseLate(err)
	}
	return body, nil
}

// readLength reads a body of n bytes.
func (c *conn) readLength(n int64) ([]byte, error) {
	var body []byte
	for int64(len(body)) < n {
		var err error
		if body, err = c.roomFor(body, n); err != nil {
			return nil, err
		}
		if body, err = c.readMore(c.in, body); err != nil {
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
		if body, err = c.roomFor(body, limit+1); err != nil {
			return nil, err
		}
		body, err = c.readMore(c.chunks, body)
		if int64(len(body)) > limit {
			return nil, c.reject(refusal.New(refusal.TooLarge, "the body is larger than %d bytes", limit))
		}
		if errors.Is(err, io.EOF) {
			return body, c.endChunks()
		}
		var failed net.Error
		if err != nil && !errors.As(err, &failed) && !errors.Is(err, io.ErrUnexpectedEOF) {
			err = c.reject(malformed("a chunk of its body"))
		}
		if err != nil {
			return nil, err
		}
	}
}

// readMore reads what comes next from r into the room after body.
func (c *conn) readMore(r io.Reader, body []byte) ([]byte, error) {
	n, err := r.Read(body[len(body):cap(body)])
	body = body[:len(body)+n]
	c.progress()
	return body, err
}

// roomFor returns body with room for more, in a buffer of at most limit bytes.
func (c *conn) roomFor(body []byte, limit int64) ([]byte, error) {
	if len(body) < cap(body) {
		return body, nil
	}
	size := min(max(firstBuffer, 2*int64(cap(body))), limit)
	if err := c.hold(size - int64(cap(body))); err != nil {
		return nil, err
	}
	larger := make([]byte, len(body), size)
	copy(larger, body)
	return larger, nil
}

// endChunks reads the trailer of a chunked body and drops it.
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
			return nil
		}
		if !bytes.Contains(field, []byte(":")) {
			return c.reject(malformed("its trailer"))
		}
	}
}
