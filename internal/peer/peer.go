// Package peer is the gRPC transport between daemons: one server and a pool of
// client connections, opened on demand. Each control package registers its own
// service on the server.
package peer

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"currantpulley/internal/failure"
)

const (
	maxMessageBytes = 16 << 20
	// maxHeaderBytes bounds the headers of a call or of its reply. gRPC's default is 16
	// MB for replies.
	maxHeaderBytes = 64 << 10
	idleTimeout    = 2 * time.Minute
	keepaliveTime  = 30 * time.Second
	// Short delays between connection attempts, so that a healed partition or a
	// VM that is back is noticed within seconds.
	connectDelayMin = 100 * time.Millisecond
	connectDelayMax = 3 * time.Second
	connectTimeout  = time.Second
	// A fixed window disables gRPC's bandwidth estimation, which costs two pings
	// per call.
	windowBytes = 1 << 20
)

var connectParams = grpc.ConnectParams{
	Backoff: backoff.Config{
		BaseDelay:  connectDelayMin,
		Multiplier: backoff.DefaultConfig.Multiplier,
		Jitter:     backoff.DefaultConfig.Jitter,
		MaxDelay:   connectDelayMax,
	},
	MinConnectTimeout: connectTimeout,
}

// Pool holds one connection per peer address.
type Pool struct {
	creds   credentials.TransportCredentials
	opts    []grpc.DialOption
	traffic Traffic

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// NewPool returns an empty Pool. A nil config means no TLS. The options, such
// as interceptors, apply to every connection.
func NewPool(config *tls.Config, opts ...grpc.DialOption) *Pool {
	creds := insecure.NewCredentials()
	if config != nil {
		creds = credentials.NewTLS(config)
	}
	return &Pool{creds: creds, opts: opts, conns: make(map[string]*grpc.ClientConn)}
}

// Traffic returns the byte counters of all connections of the pool.
func (p *Pool) Traffic() *Traffic { return &p.traffic }

// Conn returns the connection to address (host:port). It does not wait until the
// connection is established; calls on it fail if the peer is unreachable.
func (p *Pool) Conn(address string) (grpc.ClientConnInterface, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.conns[address]; ok {
		return c, nil
	}
	opts := append([]grpc.DialOption{
		grpc.WithTransportCredentials(p.creds),
		grpc.WithContextDialer(p.traffic.dialTCP),
		grpc.WithInitialWindowSize(windowBytes),
		grpc.WithInitialConnWindowSize(windowBytes),
		grpc.WithConnectParams(connectParams),
		grpc.WithIdleTimeout(idleTimeout),
		grpc.WithDisableServiceConfig(),
		grpc.WithNoProxy(),
		grpc.WithMaxHeaderListSize(maxHeaderBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
	}, p.opts...)
	c, err := grpc.NewClient("passthrough:///"+address, opts...)
	if err != nil {
		return nil, failure.At("connect to peer", address, err)
	}
	p.conns[address] = c
	return c, nil
}

// Forget closes the connection to address, if any.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	c, ok := p.conns[address]
	delete(p.conns, address)
	p.mu.Unlock()
	if ok {
		_ = c.Close()
	}
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, c := range p.conns {
		_ = c.Close()
		delete(p.conns, address)
	}
}

// Server serves the calls of other daemons.
type Server struct {
	*grpc.Server
	listener net.Listener
	traffic  *Traffic
}

// Listen listens on address (host:port). Register the services on the result,
// then call Run. A nil config means no TLS; extra adds options, such as
// interceptors.
func Listen(address string, config *tls.Config, extra ...grpc.ServerOption) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	opts := []grpc.ServerOption{
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxHeaderListSize(maxHeaderBytes),
		grpc.InitialWindowSize(windowBytes),
		grpc.InitialConnWindowSize(windowBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime, MaxConnectionIdle: 2 * idleTimeout}),
	}
	if config != nil {
		opts = append(opts, grpc.Creds(credentials.NewTLS(config)))
	}
	traffic := &Traffic{}
	return &Server{
		Server:   grpc.NewServer(append(opts, extra...)...),
		listener: &countingListener{Listener: l, traffic: traffic},
		traffic:  traffic,
	}, nil
}

// Traffic returns the byte counters of all connections to the server.
func (s *Server) Traffic() *Traffic { return s.traffic }

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Run serves until ctx is done.
func (s *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, s.Stop)
	defer stop()
	return s.Serve(s.listener)
}
