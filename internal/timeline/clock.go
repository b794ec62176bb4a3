package timeline

import (
	"context"
	"encoding/binary"
	"path"
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"
)

const (
	counterBits = 16
	counterMask = 1<<counterBits - 1
	// maxAhead is how far a peer's timestamp may be ahead of the physical clock.
	// A timestamp further ahead is ignored, so that a peer with a wrong clock
	// does not move this one.
	maxAhead = time.Minute
	// clockKey is the gRPC metadata key of a timestamp in binary form.
	clockKey = "hlc-bin"
)

// Timestamp is a hybrid logical time: Unix milliseconds in the upper 48 bits
// and a counter in the lower 16.
type Timestamp uint64

// Time returns the physical part of the timestamp.
func (t Timestamp) Time() time.Time { return time.UnixMilli(int64(t >> counterBits)) }

// Clock is a hybrid logical clock (Kulkarni et al., "Logical Physical Clocks",
// 2014). Its timestamps increase with each event and each received message, and
// stay close to the physical clock. It is safe for concurrent use.
type Clock struct {
	now  func() time.Time
	mu   sync.Mutex
	last Timestamp
}

// NewClock returns a Clock with now as its physical clock; nil means time.Now.
func NewClock(now func() time.Time) *Clock {
	if now == nil {
		now = time.Now
	}
	return &Clock{now: now}
}

// Now advances the clock and returns the timestamp of a local event or of a sent
// message.
func (c *Clock) Now() Timestamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.advance(0)
}

// Observe advances the clock past the timestamp of a received message and returns
// the new time.
func (c *Clock) Observe(remote Timestamp) Timestamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	if remote.Time().Sub(c.now()) > maxAhead {
		remote = 0
	}
	return c.advance(remote)
}

// advance moves the clock past its last time and remote. When the counter
// overflows, it carries into the milliseconds. The caller holds c.mu.
func (c *Clock) advance(remote Timestamp) Timestamp {
	physical := Timestamp(c.now().UnixMilli()) << counterBits
	c.last = max(physical, c.last+1, remote+1)
	return c.last
}

// encodeTimestamp returns t in the binary form of clockKey.
func encodeTimestamp(t Timestamp) string {
	return string(binary.BigEndian.AppendUint64(nil, uint64(t)))
}

// observeMetadata observes the timestamp in md and reports whether there is one.
func (c *Clock) observeMetadata(md metadata.MD) bool {
	values := md.Get(clockKey)
	if len(values) == 0 || len(values[0]) != 8 {
		return false
	}
	c.Observe(Timestamp(binary.BigEndian.Uint64([]byte(values[0]))))
	return true
}

// ClientOption returns an option that makes unary calls to peers carry the
// clock's time and observe the time in their replies. The excluded services, given
// by their full names, carry no time; it is meant for services with many small
// calls that cause no events at the peer.
func (c *Clock) ClientOption(excluded ...string) grpc.DialOption {
	return grpc.WithChainUnaryInterceptor(func(ctx context.Context, method string, req, reply any,
		conn *grpc.ClientConn, invoke grpc.UnaryInvoker, opts ...grpc.CallOption) error {
		if slices.Contains(excluded, path.Dir(strings.TrimPrefix(method, "/"))) {
			return invoke(ctx, method, req, reply, conn, opts...)
		}
		var header metadata.MD
		ctx = metadata.AppendToOutgoingContext(ctx, clockKey, encodeTimestamp(c.Now()))
		err := invoke(ctx, method, req, reply, conn, append(opts, grpc.Header(&header))...)
		c.observeMetadata(header)
		return err
	})
}

// ServerOption returns an option that makes a server observe the time of unary
// calls that carry one, and send this clock's time with the reply.
func (c *Clock) ServerOption() grpc.ServerOption {
	return grpc.ChainUnaryInterceptor(func(ctx context.Context, req any, _ *grpc.UnaryServerInfo,
		handle grpc.UnaryHandler) (any, error) {
		md, _ := metadata.FromIncomingContext(ctx)
		if !c.observeMetadata(md) {
			return handle(ctx, req)
		}
		reply, err := handle(ctx, req)
		_ = grpc.SetHeader(ctx, metadata.Pairs(clockKey, encodeTimestamp(c.Now()))) // fails only outside a call
		return reply, err
	})
}
