// Package server is the HTTP server for callers. It runs nbhttp in its blocking
// mode and adds limits on requests, back-pressure from slow callers and
// cancellation when a caller disconnects.
//
// In the blocking mode a write waits until the caller reads; the non-blocking
// mode closes the connection of a caller that reads slowly. Each connection's
// net.Conn is replaced by a conn of this package, which checks syntax and limits of
// each request before nbhttp's parser sees it. TLS is that of crypto/tls, below
// nbhttp.
package server

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/textproto"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"

	"currantpulley/internal/event"
	"currantpulley/internal/freshness"
	"currantpulley/internal/hangup"
	"currantpulley/internal/memory"
	"currantpulley/internal/presence"
	"currantpulley/internal/refusal"
)

// Limits bounds the size and duration of requests and the number of connections.
// The server reads them anew for every request.
type Limits struct {
	MaxBody        int64 // bytes
	MaxHeader      int64 // bytes
	MaxConnections int
	ReadTimeout    time.Duration // to send a complete request
	WriteTimeout   time.Duration // for the caller to read one chunk of the response
}

// acceptRetryDelay is the delay after a failed accept, for example when there are
// no free file descriptors.
const acceptRetryDelay = 50 * time.Millisecond

// idleTimeout closes a connection on which no request arrives.
const idleTimeout = 2 * time.Minute

// overflowShare is the share of the limit of connections by which it may be exceeded while
// others are being ended, and again by those that are refused.
const overflowShare = 0.05

// leastRefusing is the least number of connections that may wait for their refusal.
const leastRefusing = 16

// lastRequestWait is how long CloseIdle waits for requests that are on their way.
const lastRequestWait = 250 * time.Millisecond

// Options configure a Server.
type Options struct {
	Address string
	TLS     *tls.Config // nil: no TLS
	Limits  func() Limits
	Handler http.Handler                          // gets a *Writer as ResponseWriter
	Refused func(remote string, r *refusal.Error) // called for each request refused before the handler; may be nil
	Memory  *memory.Account                       // of what callers hold; nil: unlimited
	Record  func(event.Event)                     // of callers that were ended for memory; may be nil
}

// Server accepts and serves callers' connections.
type Server struct {
	opts           Options
	engine         *nbhttp.Engine
	descriptors    int // most connections, by the process's limit of descriptors
	listener       net.Listener
	openConns      atomic.Int64
	activeRequests atomic.Int64
	draining       atomic.Bool
	closingIdle    atomic.Bool
	sweeper        sweeper

	mu     sync.Mutex
	conns  map[*nbhttp.Conn]*conn
	closed bool
}

func init() { logging.SetLevel(logging.LevelNone) }

// Start returns a server that listens on opts.Address and serves until Close.
//
// nbhttp's engine is never started: its blocking mode does not use the pollers,
// and its Stop blocks for ever when called before a poller has run. Accepted
// connections are handed to the engine one by one instead.
func Start(opts Options) (*Server, error) {
	if opts.Memory == nil {
		opts.Memory = memory.New(0)
	}
	s := &Server{opts: opts, descriptors: connectionsByDescriptors(), conns: make(map[*nbhttp.Conn]*conn)}
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
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.engine.AddConnNonTLSBlocking(&nbhttp.Conn{Conn: c}, nil, func() {})
	}
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Active returns the number of requests in progress.
func (s *Server) Active() int64 { return s.activeRequests.Load() }

// Open returns the number of open connections.
func (s *Server) Open() int64 { return s.openConns.Load() }

// Drain makes each response the last of its connection, unless the caller has sent
// its next request early.
func (s *Server) Drain() { s.draining.Store(true) }

// StopAccepting closes the listener. Open connections are still served.
func (s *Server) StopAccepting() { _ = s.listener.Close() }

// CloseIdle drains the server and closes the connections on which no request begins
// within lastRequestWait. It returns at once; Open tells when all are closed.
func (s *Server) CloseIdle() {
	s.Drain()
	s.closingIdle.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		c.closeIfIdle()
	}
}

// Close closes the listener and all connections, including those with requests
// in progress.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, c := range s.conns {
		c.abort()
	}
}

// onOpen wraps a new connection in a conn, and refuses or closes it when too many are open.
func (s *Server) onOpen(nc net.Conn) {
	outer, ok := nc.(*nbhttp.Conn)
	if !ok {
		return
	}
	tcp, ok := outer.Conn.(*net.TCPConn)
	if !ok {
		return
	}
	c := newConn(s, outer, tcp)
	outer.Conn = c
	s.mu.Lock()
	s.conns[outer] = c
	if s.closed {
		_ = c.tcp.Close()
	}
	s.mu.Unlock()
	limit := min(s.opts.Limits().MaxConnections, s.descriptors)
	excess := int(s.openConns.Add(1)) - limit
	switch {
	case excess <= 0:
	case excess <= ending(limit) && s.opts.Memory.EndStopped(s, freshness.Time()): // it takes the place of that one
	case excess <= ending(limit)+refusing(limit):
		c.refused = refusal.New(refusal.TooManyConnections, "too many connections are open")
	default:
		c.uncounted = true
		s.openConns.Add(-1)
		c.abort()
	}
}

// ending returns how many connections above the limit are served while others, on which
// nothing is sent, are being ended for them.
func ending(limit int) int { return max(1, int(overflowShare*float64(limit))) }

// refusing returns how many connections above these may wait for their refusal. More are
// closed at once: descriptors for upstreams must be left.
func refusing(limit int) int { return max(leastRefusing, int(overflowShare*float64(limit))) }

// onClose removes a connection from the server and closes it. In the blocking mode
// nbhttp leaves the connection open after its last read.
func (s *Server) onClose(nc net.Conn, _ error) {
	outer, ok := nc.(*nbhttp.Conn)
	if !ok {
		return
	}
	_ = outer.Conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.conns[outer]
	if c == nil {
		return
	}
	if !c.uncounted {
		s.openConns.Add(-1)
	}
	c.held.Close()
	delete(s.conns, outer)
}

// serve calls the handler for one request. The request's context ends when the caller
// disconnects.
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
	if len(c.out) > 0 {
		c.abort() // nbhttp's parser ended the head before conn did
		return
	}
	trimValues(r)
	_, _, _ = res.Hijack() // Writer writes the response
	body, err := c.readBody()
	if err != nil {
		c.started, c.readError = false, err // refused, or there is nobody to answer
		return
	}
	s.activeRequests.Add(1)
	defer s.activeRequests.Add(-1)
	caller, ctx, cancel := presence.New(context.Background(), func() bool { return hangup.HasCome(c.tcp) })
	defer cancel()
	caller.Check()
	s.sweeper.add(caller)
	defer s.sweeper.remove(caller)
	out := newWriter(c, r, s.opts.Limits().WriteTimeout)
	c.startReadAhead(caller.Leave)
	defer func() {
		c.stopReadAhead()
		out.finish()
		c.held.Shrink(connectionBytes)
		c.held.Enter(memory.Sending, freshness.Time())
	}()
	defer out.abortOnPanic()
	r = r.WithContext(ctx)
	r.Body, r.ContentLength = newBody(body), int64(len(body))
	s.opts.Handler.ServeHTTP(out, r)
}

// trimValues removes the optional white space around header values, of which nbhttp
// removes only leading spaces.
func trimValues(r *http.Request) {
	for _, values := range r.Header {
		for i, v := range values {
			values[i] = textproto.TrimString(v)
		}
	}
	r.Host = textproto.TrimString(r.Host)
}
