package idempotency

import (
	"net/http"

	"currantpulley/internal/control/calls"
	"currantpulley/internal/control/calls/callspb"
)

// bodyMax is the largest answer body that is recorded, in bytes.
const bodyMax = 4 << 10

// capture is an http.ResponseWriter that records the answer it passes on, up to
// bodyMax bytes of body. When the caller disconnects, the rest of the answer is
// still recorded.
type capture struct {
	http.ResponseWriter
	status     int
	headers    []*callspb.Header
	body       []byte
	tooLarge   bool // the body exceeds bodyMax and is not recorded
	callerGone bool // a write to the caller failed
}

// WriteHeader implements http.ResponseWriter.
func (c *capture) WriteHeader(status int) {
	if c.status == 0 && status >= http.StatusOK {
		c.status = status
		c.headers = recordedHeaders(c.Header())
	}
	c.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (c *capture) Write(p []byte) (int, error) {
	if c.status == 0 {
		c.WriteHeader(http.StatusOK)
	}
	c.record(p)
	if !c.callerGone {
		_, err := c.ResponseWriter.Write(p)
		c.callerGone = err != nil
	}
	return len(p), nil
}

func (c *capture) record(p []byte) {
	if c.tooLarge || len(c.body)+len(p) > bodyMax {
		c.tooLarge, c.body = true, nil
		return
	}
	c.body = append(c.body, p...)
}

// Flush implements http.Flusher.
func (c *capture) Flush() {
	if f, ok := c.ResponseWriter.(http.Flusher); ok && !c.callerGone {
		f.Flush()
	}
}

// Unwrap lets http.ResponseController reach the wrapped writer.
func (c *capture) Unwrap() http.ResponseWriter { return c.ResponseWriter }

func (c *capture) outcome() *calls.Outcome {
	switch {
	case c.status == 0:
		return &calls.Outcome{Result: callspb.Result_RESULT_UNKNOWN}
	case c.tooLarge:
		return &calls.Outcome{Result: callspb.Result_RESULT_TOO_LARGE, Status: uint32(c.status)}
	}
	return &calls.Outcome{Result: callspb.Result_RESULT_ANSWERED, Status: uint32(c.status), Headers: c.headers, Body: c.body}
}
