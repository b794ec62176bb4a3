package upstream

import (
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
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
