// Package server is the callers' listener: nbhttp in its blocking mode, with
// limits on what a caller may send, back-pressure from slow callers and
// notice of callers that go away.
//
// The blocking mode is used because a write then waits for the caller; the
// non-blocking one closes a connection whose caller reads slowly. Each
// connection's net.Conn is replaced by one of this package (see conn), which
// checks the limits before nbhttp's parser sees the bytes. TLS is that of the
// standard library, below nbhttp.
package server

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"

	"currantpulley/internal/refusal"
)

// Limits bounds what callers may send. They are read for every request.
type Limits struct {
	MaxBody        int64 // bytes
	MaxHeader      int64 // bytes
	MaxConnections int
	ReadTimeout    time.Duration // to send a whole request
	WriteTimeout   time.Duration // for the caller to take one slice of the answer
}

// acceptPause follows a failed accept, such as one for want of file descriptors.
const acceptPause = 50 * time.Millisecond

// idleTimeout ends a connection that sends no request.
const idleTimeout = 2 * time.Minute

// Options of a Server.
type Options struct {
	Address string
	TLS     *tls.Config // nil: plain
	Limits  func() Limits
	Handler http.Handler                          // gets a *Writer as ResponseWriter
	Refused func(remote string, r *refusal.Error) // told of each; may be nil
}

// Server is the callers' listener.
type Server struct {
	opts     Options
	engine   *nbhttp.Engine
	listener net.Listener
	open     atomic.Int64
	active   atomic.Int64

	mu     sync.Mutex
	conns  map[*nbhttp.Conn]*conn
	closed bool
}

func init() { logging.SetLevel(logging.LevelNone) }

// Start listens and serves. The server runs until Close.
//
// nbhttp's engine is never started: in its blocking mode it has no use for
// its pollers, and its Stop waits for ever when it comes before a poller ran.
// Accepted connections are handed to it one by one instead.
func Start(opts Options) (*Server, error) {
	s := &Server{opts: opts, conns: make(map[*nbhttp.Conn]*conn)}
	s.engine = nbhttp.NewEngine(nbhttp.Config{
		IOMod:             nbhttp.IOModBlocking,
		KeepaliveTime:     idleTimeout,
		Handler:           http.HandlerFunc(s.serve),
		SupportServerOnly: true,
		ServerExecutor:    func(f func()) { f() },
	})
	s.engine.OnOpen(s.onOpen)
	s.engine.OnClose(s.onClose)
	l, err := net.Listen("tcp", opts.Address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", opts.Address, err)
	}
	s.listener = l
	go s.accept()
	return s, nil
}

// accept hands connections to nbhttp until the listener is closed.
func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptPause)
			continue
		}
		s.engine.AddConnNonTLSBlocking(&nbhttp.Conn{Conn: c}, nil, func() {})
	}
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Active returns the number of requests in progress.
func (s *Server) Active() int64 { return s.active.Load() }

// StopAccepting closes the listener. Open connections go on.
func (s *Server) StopAccepting() { _ = s.listener.Close() }

// CloseIdle closes the connections on which no request is in progress.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		if !c.busy.Load() {
			_ = c.tcp.Close()
		}
	}
}

// Close stops the listener and closes every connection, also those with
// requests in progress.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, c := range s.conns {
		_ = c.tcp.Close()
	}
}

func (s *Server) onOpen(nc net.Conn) {
	outer, ok := nc.(*nbhttp.Conn)
	if !ok {
		return
	}
	c := newConn(s, outer)
	outer.Conn = c
	s.mu.Lock()
	s.conns[outer] = c
	if s.closed {
		_ = c.tcp.Close()
	}
	s.mu.Unlock()
	if s.open.Add(1) > int64(s.opts.Limits().MaxConnections) {
		go func() { _ = c.refuse(refusal.New(refusal.TooManyConnections, "too many connections are open")) }()
	}
}

func (s *Server) onClose(nc net.Conn, _ error) {
	s.open.Add(-1)
	outer, ok := nc.(*nbhttp.Conn)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, outer)
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	res, ok := w.(*nbhttp.Response)
	if !ok {
		return
	}
	outer, ok := res.Parser.Conn.(*nbhttp.Conn)
	if !ok {
		return
	}
	c, ok := outer.Conn.(*conn)
	if !ok {
		return
	}
	s.active.Add(1)
	defer s.active.Add(-1)
	c.busy.Store(true)
	defer c.busy.Store(false)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c.startWatch(cancel)
	defer c.stopWatch()
	out := &Writer{res: res, request: r, conn: c, timeout: s.opts.Limits().WriteTimeout}
	s.opts.Handler.ServeHTTP(out, r.WithContext(ctx))
	out.extend() // for what nbhttp writes after the handler
}
