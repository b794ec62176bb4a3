package upstream

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"currantpulley/internal/snapshot"
)

const (
	dialTimeout = 500 * time.Millisecond
	// unackedTimeout closes a connection whose peer acknowledges no data, for
	// example after a power loss. Without it the kernel retransmits for about 15
	// minutes.
	unackedTimeout    = time.Second
	keepAliveIdle     = time.Second // idle time before the first keep-alive probe
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 2
	idlePerUpstream   = 64
	idleConnTimeout   = 30 * time.Second
	maxHeaderBytes    = 64 << 10
)

// NewTransport returns a transport for RoundTrip. It reuses connections and closes
// them after idleConnTimeout. It is that of net/http, because nbhttp's client returns
// a response only when it is complete and so can't relay streams.
func NewTransport() *http.Transport {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		Control: setUnackedTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
	}
	return &http.Transport{
		DialContext:            dialTracked(dialer.DialContext),
		MaxIdleConnsPerHost:    idlePerUpstream,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	}
}

// setUnackedTimeout sets TCP_USER_TIMEOUT on a new socket.
func setUnackedTimeout(_, _ string, c syscall.RawConn) error {
	var sockErr error
	err := c.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	return errors.Join(err, sockErr)
}

// NewOnceTransport returns the transport for requests that run at most once.
// net/http resends a request with an Idempotency-Key header when a reused
// connection breaks, so this transport does not reuse connections.
func NewOnceTransport() *http.Transport {
	t := NewTransport()
	t.DisableKeepAlives = true
	return t
}

// newClient returns a client that does not follow redirects.
func newClient(t http.RoundTripper) *http.Client {
	return &http.Client{
		Transport:     t,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// send sends req and returns the response, whose body is not read yet.
func send(c *http.Client, req *http.Request) (*Response, error) {
	res, err := RoundTrip(roundTripper(c.Do), req) //nolint:bodyclose // closed by Response.Close
	if err != nil {
		return nil, err
	}
	return &Response{
		Status:      res.StatusCode,
		Header:      res.Header,
		Incarnation: res.Header.Get(HeaderIncarnation),
		Weights:     res.Header.Get(HeaderWeights),
		Load:        parseLoad(res.Header.Get(HeaderLoad)),
		NotRun:      res.Header.Get(HeaderEffect) == effectNotRun,
		Body:        res.Body,
	}, nil
}

// parseLoad parses "running=N queued=N queued_tokens=N". It returns nil when s is
// malformed.
func parseLoad(s string) *snapshot.Load {
	l := snapshot.Load{At: time.Now()}
	n, err := fmt.Sscanf(s, "running=%d queued=%d queued_tokens=%d", &l.Running, &l.Queued, &l.QueuedTokens)
	if err != nil || n != 3 {
		return nil
	}
	return &l
}

// roundTripper adapts http.Client.Do to http.RoundTripper.
type roundTripper func(*http.Request) (*http.Response, error)

// RoundTrip implements http.RoundTripper.
func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }
