package upstream

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"currantpulley/internal/snapshot"
)

const (
	dialTimeout = 500 * time.Millisecond
	// unackedTimeout ends a connection whose peer acknowledges nothing, as
	// when it lost power; without it the kernel tries for a quarter of an hour.
	unackedTimeout  = time.Second
	probeIdle       = time.Second // without traffic, before the kernel asks whether the peer is there
	probeInterval   = 500 * time.Millisecond
	probeCount      = 2
	idlePerUpstream = 64
	idleConnTimeout = 30 * time.Second
	maxHeaderBytes  = 64 << 10
)

// NewTransport returns the transport for repeatable requests. Connections are
// opened on demand and closed when idle. nbhttp's client hands over an answer
// only when it is whole and so can't relay streams; the standard library's can.
func NewTransport() *http.Transport {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		Control: setUnackedTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
		},
	}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		MaxIdleConnsPerHost:    idlePerUpstream,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	}
}

func setUnackedTimeout(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	return errors.Join(err, failed)
}

// NewOnceTransport returns the transport for calls that run at most once. The
// standard library sends a request with an Idempotency-Key again when a
// reused connection breaks; without reuse it never does.
func NewOnceTransport() *http.Transport {
	t := NewTransport()
	t.DisableKeepAlives = true
	return t
}

func newClient(t http.RoundTripper) *http.Client {
	return &http.Client{
		Transport:     t,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// RoundTrip sends req over t. Its error is a *SendError, which tells whether a
// byte of the request may have left.
func RoundTrip(t http.RoundTripper, req *http.Request) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	res, err := t.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, &SendError{Sent: connected.Load(), Err: err}
	}
	return res, nil
}

// send sends req and returns the head of its answer.
func send(c *http.Client, req *http.Request) (*Answer, error) {
	res, err := RoundTrip(roundTripper(c.Do), req) //nolint:bodyclose // closed by Answer.Close
	if err != nil {
		return nil, err
	}
	return &Answer{
		Status:      res.StatusCode,
		Header:      res.Header,
		Incarnation: res.Header.Get(HeaderIncarnation),
		Weights:     res.Header.Get(HeaderWeights),
		Load:        parseLoad(res.Header.Get(HeaderLoad)),
		NotRun:      res.Header.Get(HeaderEffect) == effectNotRun,
		Body:        res.Body,
	}, nil
}

// parseLoad reads "running=N queued=N queued_tokens=N"; nil when malformed.
func parseLoad(s string) *snapshot.Load {
	l := snapshot.Load{At: time.Now()}
	n, err := fmt.Sscanf(s, "running=%d queued=%d queued_tokens=%d", &l.Running, &l.Queued, &l.QueuedTokens)
	if err != nil || n != 3 {
		return nil
	}
	return &l
}

// roundTripper turns a client's Do into an http.RoundTripper.
type roundTripper func(*http.Request) (*http.Response, error)

// RoundTrip implements http.RoundTripper.
func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }
