// Package tunnel carries connections to upstreams through other daemons, for a daemon
// that is partitioned from the upstreams. The called daemon passes on bytes and
// connects only to upstreams that it knows, directly: a connection never goes through
// two tunnels. What a request means is left to the calling daemon, which tells the called
// one what the upstream asked for in its response.
package tunnel

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"currantpulley/internal/control/tunnel/tunnelpb"
	"currantpulley/internal/holdoff"
	"currantpulley/internal/upstream"
)

const (
	// dialTimeout bounds the connection to an upstream for another daemon.
	dialTimeout = 150 * time.Millisecond
	// maxTunnels bounds the connections that a daemon carries for others at a time,
	// and with them buffers and descriptors.
	maxTunnels  = 500
	bufferBytes = 16 << 10
)

// ServerOptions configures a Server. All fields are required.
type ServerOptions struct {
	Dial      upstream.DialFunc
	Known     func(address string) bool // reports whether an upstream has the address
	MaySend   func(address string) bool // reports whether the upstream takes requests of this daemon
	OnHoldoff func(holdoff.Notice)      // called with what an upstream asked for in a response that this daemon carried
	CutOff    func() bool               // reports whether this daemon reaches no upstreams itself
}

// Server carries connections for other daemons.
type Server struct {
	tunnelpb.UnimplementedTunnelServer
	opts ServerOptions
	open atomic.Int64
}

// NewServer returns a Server.
func NewServer(o ServerOptions) *Server { return &Server{opts: o} }

// Register registers the gRPC service with server.
func (s *Server) Register(server *grpc.Server) { tunnelpb.RegisterTunnelServer(server, s) }

// Carried returns the number of connections that are open for other daemons.
func (s *Server) Carried() int { return int(s.open.Load()) }

// Open implements the gRPC service.
func (s *Server) Open(stream tunnelpb.Tunnel_OpenServer) error {
	defer s.open.Add(-1)
	if s.open.Add(1) > maxTunnels {
		return status.Error(codes.ResourceExhausted, "too many connections are open for other daemons")
	}
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if !s.opts.Known(first.GetAddress()) {
		return status.Error(codes.NotFound, "no upstream has the address")
	}
	if !s.opts.MaySend(first.GetAddress()) {
		return status.Error(codes.FailedPrecondition, "the upstream wants no requests of this daemon")
	}
	if s.opts.CutOff() {
		return status.Error(codes.Unavailable, "this daemon reaches no upstreams")
	}
	ctx, cancel := context.WithTimeout(stream.Context(), dialTimeout)
	defer cancel()
	conn, err := s.opts.Dial(ctx, "tcp", first.GetAddress())
	if errors.Is(err, syscall.ECONNREFUSED) {
		return stream.Send(&tunnelpb.FromUpstream{Refused: true})
	}
	if err != nil {
		return status.Error(codes.Unavailable, err.Error())
	}
	defer func() { _ = conn.Close() }()
	if err := stream.Send(&tunnelpb.FromUpstream{}); err != nil {
		return err
	}
	return carry(stream, conn)
}

// Tell implements the gRPC service.
func (s *Server) Tell(_ context.Context, h *tunnelpb.Holdoff) (*tunnelpb.TellReply, error) {
	s.opts.OnHoldoff(holdoff.Notice{
		Upstream: h.GetUpstream(), Leaving: h.GetLeaving(), Pause: time.Duration(h.GetPauseMs()) * time.Millisecond,
	})
	return &tunnelpb.TellReply{}, nil
}

// carry passes on bytes both ways until a side closes or its connection breaks. It
// returns nil if the upstream closed in an orderly way.
func carry(stream tunnelpb.Tunnel_OpenServer, conn net.Conn) error {
	go func() {
		for {
			m, err := stream.Recv()
			if err == nil {
				_, err = conn.Write(m.GetData())
			}
			if err != nil { // the caller has closed, or the read below fails too
				_ = conn.Close()
				return
			}
		}
	}()
	buffer := make([]byte, bufferBytes)
	for {
		n, err := conn.Read(buffer)
		if n > 0 {
			if err := stream.Send(&tunnelpb.FromUpstream{Data: buffer[:n]}); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return status.Error(codes.Aborted, err.Error())
		}
	}
}
