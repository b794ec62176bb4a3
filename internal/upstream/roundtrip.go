package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"syscall"

	"currantpulley/internal/hangup"
	"currantpulley/internal/memory"
	"currantpulley/internal/presence"
)

// ErrClosedAfterSend is the error of a request whose reused connection broke after a
// byte of it was written. net/http would send some of them again: GET, HEAD, OPTIONS,
// TRACE and those with an idempotency key.
var ErrClosedAfterSend = errors.New("the connection closed after the request was sent on it")

// errCallerLeft is the error of a request that was not sent because its caller had left.
var errCallerLeft = errors.New("the caller has left")

// errHungUp is the error of a write to a kept connection that the upstream has closed.
var errHungUp = errors.New("the upstream has closed the connection")

// Reply is the response to one request, whose body is not read yet, and how it was
// got.
type Reply struct {
	*http.Response
	Reused bool // the connection had served another request before
	conn   net.Conn
	id     string // of the request; empty: not given
}

// Discard closes the response and its connection. It must be called instead of
// closing the body if the response is not that of the request: what follows on the
// connection would be taken for the response of the next request.
func (r *Reply) Discard() {
	if r.conn != nil {
		_ = r.conn.Close()
	}
	_ = r.Body.Close()
}

// Conn returns the connection on which the response came, as it was opened; nil: it is
// not known.
func (r *Reply) Conn() net.Conn {
	if tracked, ok := r.conn.(*trackedConn); ok {
		return tracked.Conn
	}
	return r.conn
}

// RoundTrip sends req over t at most once, and not if its caller has left: the transport
// may try another connection only as long as no byte of the request was written. Its
// error is a *SendError, which tells whether a byte may have been sent. t must be a transport of NewTransport or
// NewOnceTransport; with others, a request counts as sent once it has a connection.
func RoundTrip(t http.RoundTripper, req *http.Request) (*Reply, error) {
	return RoundTripAs(t, req, "")
}

// RoundTripAs is RoundTrip of the request called id, which may be sent again. No connection
// carries it on which it was refused before; see Reply.NoteRefused. A body of req must have
// a GetBody.
func RoundTripAs(t http.RoundTripper, req *http.Request, id string) (*Reply, error) {
	if presence.HasLeft(req.Context()) {
		return nil, &SendError{Err: errCallerLeft}
	}
	ctx, cancel := context.WithCancelCause(req.Context())
	s := &singleSend{cancel: cancel, id: id, room: roomOf(ctx), hasLeft: func() bool { return presence.HasLeft(ctx) }}
	stop := presence.OnLeave(ctx, s.close)
	trace := &httptrace.ClientTrace{GetConn: s.getConn, GotConn: s.gotConn, WroteRequest: s.wroteRequest}
	req = req.WithContext(httptrace.WithClientTrace(ctx, trace))
	res, err := t.RoundTrip(req) //nolint:bodyclose // closed by the caller
	for err != nil && ctx.Err() == nil && s.passedOver() && rewind(req) {
		res, err = t.RoundTrip(req) //nolint:bodyclose // closed by the caller
	}
	if err != nil {
		stop()
		cancel(err)
		return nil, s.failed(err)
	}
	if endsWithConnection(res) {
		res.Body = &unframedBody{ReadCloser: res.Body, written: func() error { return s.written(ctx) }}
	}
	res.Body = &cancellingBody{ReadCloser: res.Body, cancel: cancel, stop: stop}
	reply := &Reply{Response: res, Reused: s.reused, conn: s.conn, id: id}
	if err := checkStatus(res.StatusCode); err != nil {
		reply.Discard()
		return nil, &SendError{Sent: true, Reused: s.reused, Err: err}
	}
	return reply, nil
}

// checkStatus returns an error for a status that no final response has. A response with
// another status than HTTP defines comes from an upstream in trouble.
func checkStatus(status int) error {
	switch {
	case status == http.StatusSwitchingProtocols:
		return errSwitched
	case status < http.StatusOK || status > maxStatus:
		return fmt.Errorf("%w: status %03d", ErrMalformed, status)
	}
	return nil
}

// maxStatus is the greatest status that HTTP defines a class for.
const maxStatus = 599

// rewind gives req, which was not sent, its whole body again. It reports false if it can't.
func rewind(req *http.Request) bool {
	if req.Body == nil || req.Body == http.NoBody {
		return true
	}
	if req.GetBody == nil {
		return false
	}
	body, err := req.GetBody()
	req.Body = body
	return err == nil
}

// errSwitched is the error of a response after which the connection speaks another
// protocol. net/http hands out the connection as its body, which no deadline ends.
var errSwitched = fmt.Errorf("%w: it switches to another protocol", ErrMalformed)

// cancellingBody releases the context of a request, and stops waiting for its caller to
// leave, when its response is closed.
type cancellingBody struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
	stop   func()
}

// Close implements io.Closer.
func (b *cancellingBody) Close() error {
	err := b.ReadCloser.Close()
	b.stop()
	b.cancel(context.Canceled)
	return err
}

// endsWithConnection reports whether only the end of the connection marks that of res.
func endsWithConnection(res *http.Response) bool {
	return res.ContentLength < 0 && len(res.TransferEncoding) == 0 && res.Body != http.NoBody
}

// unframedBody is a body that ends with its connection. If the connection broke while the
// request was still being written, its end says nothing: the kernel told the writer of
// the reset, and the reader finds an ordinary end.
type unframedBody struct {
	io.ReadCloser
	written func() error
}

// Read implements io.Reader.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && b.written() != nil {
		return n, fmt.Errorf("%w: the connection ended before the request was written", io.ErrUnexpectedEOF)
	}
	return n, err
}

// singleSend lets a transport send one request on one connection only. Transports
// call gotConn once for each connection, one call after the other.
type singleSend struct {
	cancel  context.CancelCauseFunc // of the request
	id      string                  // of the request; empty: not given
	room    memory.Room             // for the head of its response
	hasLeft func() bool             // reports whether its caller has left

	mu     sync.Mutex
	conn   net.Conn   // the latest; nil: none yet
	wrote  chan error // gets the outcome of writing the request to conn
	before int64      // bytes that were written to conn before the request
	reused bool       // conn had served another request before
	broken bool       // the transport looked for another connection after a byte was written
	passed bool       // the request must not be sent on conn, by mayCarry
}

// getConn makes the transport give up when it looks for another connection after a
// byte of the request was written.
func (s *singleSend) getConn(string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.passed = false
	if !s.sent() {
		return
	}
	s.broken = true
	s.cancel(ErrClosedAfterSend)
}

// gotConn notes the connection on which the request is about to be sent. If a byte
// was written to an earlier one, it makes the transport give up instead.
func (s *singleSend) gotConn(info httptrace.GotConnInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	tracked, ok := info.Conn.(*trackedConn)
	if s.sent() {
		if ok {
			tracked.seal()
		}
		s.cancel(ErrClosedAfterSend)
		return
	}
	s.conn, s.reused, s.wrote = info.Conn, info.Reused, make(chan error, 1)
	s.passed = ok && !tracked.mayCarry(s.id)
	if s.passed {
		tracked.seal() // the write fails, after which the transport closes the connection
	}
	if ok {
		s.before = tracked.begin(s)
	}
}

// wroteRequest notes whether the whole request was written.
func (s *singleSend) wroteRequest(info httptrace.WroteRequestInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.wrote == nil {
		return
	}
	select {
	case s.wrote <- info.Err:
	default:
	}
}

// written waits until the transport has ended to write the request, which it does at the
// end of the response at the latest, and returns the error of that.
func (s *singleSend) written(ctx context.Context) error {
	s.mu.Lock()
	wrote := s.wrote
	s.mu.Unlock()
	if wrote == nil {
		return nil
	}
	select {
	case err := <-wrote:
		wrote <- err
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// mayBegin returns an error if no byte of the request should be written to conn: its
// caller has left, or the upstream has closed the connection since its last response.
func (s *singleSend) mayBegin(conn net.Conn) error {
	if s.hasLeft() {
		return errCallerLeft
	}
	s.mu.Lock()
	reused := s.reused
	s.mu.Unlock()
	if c, ok := conn.(syscall.Conn); ok && reused && hangup.HasCome(c) {
		return errHungUp
	}
	return nil
}

// close closes the connection on which the request was sent, unless another request
// has it by now.
func (s *singleSend) close() {
	s.mu.Lock()
	conn := s.conn
	s.mu.Unlock()
	if tracked, ok := conn.(*trackedConn); ok {
		tracked.closeFor(s)
	}
}

// passedOver reports whether the request was not sent because its latest connection may
// not carry it. That connection is not used again.
func (s *singleSend) passedOver() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.passed && !s.broken && !s.sent()
}

// failed forbids further writes of the request and returns the error of a request that
// failed with err. What happened after its connection broke is not the cause.
func (s *singleSend) failed(err error) *SendError {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.broken {
		err = ErrClosedAfterSend
	}
	if tracked, ok := s.conn.(*trackedConn); ok && tracked.failure() != nil {
		err = tracked.failure()
	}
	return &SendError{Sent: s.sent(), Reused: s.reused, Err: err}
}

// sent forbids further writes to the connection and reports whether a byte of the
// request may have been written to it. s.mu is held.
func (s *singleSend) sent() bool {
	if s.conn == nil {
		return false
	}
	tracked, ok := s.conn.(*trackedConn)
	return !ok || tracked.seal() > s.before
}
