package upstream

import (
	"context"
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
	// minutes. It is longer than sound upstreams fall silent, and ends with the silence of
	// one that is gone before callers give up a stream. With it, the kernel ignores
	// the number of keep-alive probes.
	unackedTimeout    = 1600 * time.Millisecond
	keepAliveIdle     = time.Second // idle time before the first keep-alive probe
	keepAliveInterval = time.Second // the kernel counts seconds
	keepAliveCount    = 2
	idlePerUpstream   = 64
	idleConnTimeout   = 30 * time.Second
	maxHeaderBytes    = 64 << 10
)

// DialFunc opens a connection to an upstream at address, host:port.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewDial returns the DialFunc that connects over the network.
func NewDial() DialFunc {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		Control: setUnackedTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
	}
	return dialer.DialContext
}

// NewTransport returns a transport for RoundTrip over the network; see
// NewTransportOver.
func NewTransport() *http.Transport { return NewTransportOver(NewDial()) }

// NewTransportOver returns a transport for RoundTrip whose connections dial opens. It
// reuses connections and closes them after idleConnTimeout. It is that of net/http,
// because nbhttp's client returns a response only when it is complete and so can't
// relay streams.
func NewTransportOver(dial DialFunc) *http.Transport {
	return &http.Transport{
		DialContext:            dialTracked(dial),
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
func NewOnceTransport() *http.Transport { return NewOnceTransportOver(NewDial()) }

// NewOnceTransportOver is NewOnceTransport with connections that dial opens.
func NewOnceTransportOver(dial DialFunc) *http.Transport {
	t := NewTransportOver(dial)
	t.DisableKeepAlives = true
	return t
}
