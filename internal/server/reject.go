package server

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"os"
	"strconv"

	"currantpulley/internal/refusal"
)

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
