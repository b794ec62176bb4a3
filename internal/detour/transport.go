package detour

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sync/singleflight"

	"currantpulley/internal/control/tunnel"
	"currantpulley/internal/event"
	"currantpulley/internal/freshness"
	"currantpulley/internal/holdoff"
	"currantpulley/internal/upstream"
)

const (
	// ownPatience is the time for an own connection while other daemons can be asked.
	// It is well above the time that a connection takes between data centres.
	ownPatience = 150 * time.Millisecond
	// peersPatience is the time for a connection through another daemon.
	peersPatience = 400 * time.Millisecond
	// probePeriod is the time between two tries of the own way while an upstream is
	// reached through others.
	probePeriod = 250 * time.Millisecond
)

// Carriers are the other daemons that open connections to upstreams for this one.
type Carriers interface {
	// HasCarriers reports whether there is one to ask.
	HasCarriers() bool
	// Dial opens a connection. Its error wraps tunnel.ErrRefused if the upstream's port
	// refuses connections.
	Dial(ctx context.Context, address string) (*tunnel.Conn, error)
	// CloseGone closes the connections through daemons that no longer serve, and
	// reports whether others should not be used again.
	CloseGone() bool
}

// Options configures a Transport. All fields are required.
type Options struct {
	Dial     upstream.DialFunc // opens own connections
	Carriers Carriers
	Recorder event.Recorder
}

// Transport is an http.RoundTripper that reaches upstreams directly or, where that
// fails and another daemon succeeds, through that one. Each way has connections of its
// own. A request whose first byte was sent one way is never sent another way. Each
// request through another daemon has a new connection, so that the other one can
// decline it if the upstream wants no requests from there.
type Transport struct {
	opts    Options
	table   *Table
	own     *http.Transport
	peers   *http.Transport
	silence silence            // of own connections
	checks  singleflight.Group // of upstreams, by address
}

// New returns a Transport. Run must be called, too.
func New(o Options) *Transport {
	t := &Transport{opts: o, table: NewTable()}
	t.own = upstream.NewTransportOver(t.dialOwn)
	t.peers = upstream.NewOnceTransportOver(t.dialPeers)
	return t
}

// CutOff reports whether this daemon reaches no upstreams itself and others do.
func (t *Transport) CutOff() bool { return t.table.CutOff(freshness.Time()) }

// connectError is the error of a connection that was not established.
type connectError struct{ err error }

// Error implements error.
func (e *connectError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *connectError) Unwrap() error { return e.err }

// notConnected reports whether a request that failed with err had no connection.
func notConnected(req *http.Request, err error) bool {
	var e *connectError
	return errors.As(err, &e) && req.Context().Err() == nil
}

// RoundTrip implements http.RoundTripper. The body of req must be readable again after
// it was closed unread.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	first, second := http.RoundTripper(t.own), http.RoundTripper(t.peers)
	if t.table.Way(req.URL.Host, freshness.Time()) == Peers {
		first, second = second, first
	}
	res, err := first.RoundTrip(req)
	if err == nil || !notConnected(req, err) {
		t.suspect(req, err)
		return res, err
	}
	res, otherErr := second.RoundTrip(req)
	if otherErr != nil && notConnected(req, otherErr) {
		return nil, fmt.Errorf("%w; %w", err, otherErr)
	}
	return res, otherErr
}

// suspect checks the own way to an upstream after an established connection broke or
// timed out.
func (t *Transport) suspect(req *http.Request, err error) {
	broken := errors.Is(err, syscall.ETIMEDOUT) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, upstream.ErrClosedAfterSend)
	if err == nil || !broken || !t.opts.Carriers.HasCarriers() {
		return
	}
	go t.compare(context.Background(), req.URL.Host)
}

// compare tries the own way to an upstream and, if that fails, that through others. The
// table has the results. Calls for one upstream at the same time share one check.
func (t *Transport) compare(ctx context.Context, address string) {
	_, _, _ = t.checks.Do(address, func() (any, error) {
		ctx, cancel := context.WithTimeout(ctx, ownPatience+peersPatience)
		defer cancel()
		for _, dial := range []upstream.DialFunc{t.dialOwn, t.dialPeers} {
			if conn, err := dial(ctx, "tcp", address); err == nil {
				return nil, conn.Close()
			}
		}
		return nil, nil
	})
}

// dialOwn opens an own connection.
func (t *Transport) dialOwn(ctx context.Context, network, address string) (net.Conn, error) {
	if t.opts.Carriers.HasCarriers() {
		bounded, cancel := context.WithTimeout(ctx, ownPatience)
		defer cancel()
		ctx = bounded
	}
	conn, err := t.opts.Dial(ctx, network, address)
	if err != nil {
		t.table.OwnFailed(address, freshness.Time())
		return nil, &connectError{err}
	}
	conn = &watchedConn{Conn: conn, address: address, silence: &t.silence}
	if t.table.OwnWorked(address, freshness.Time()) {
		t.peers.CloseIdleConnections()
		t.opts.Recorder.Record(event.Event{ID: event.UpstreamsRegained, Step: "connect", Peer: address})
	}
	return conn, nil
}

// errNotAsked is the error when other daemons found the upstream to have ended a
// moment ago.
var errNotAsked = fmt.Errorf("other daemons were not asked again: %w", tunnel.ErrRefused)

// dialPeers opens a connection through another daemon.
func (t *Transport) dialPeers(ctx context.Context, _, address string) (net.Conn, error) {
	if !t.table.MayAsk(address, freshness.Time()) {
		return nil, &connectError{errNotAsked}
	}
	ctx, cancel := context.WithTimeout(ctx, peersPatience)
	defer cancel()
	conn, err := t.opts.Carriers.Dial(ctx, address)
	if errors.Is(err, tunnel.ErrRefused) {
		t.table.PeersRefused(address, freshness.Time())
	}
	if err != nil {
		return nil, &connectError{err}
	}
	if t.table.PeersWorked(address, freshness.Time()) {
		t.own.CloseIdleConnections() // they may hang
		t.opts.Recorder.Record(event.Event{ID: event.UpstreamsUnreachable, Step: "connect", Peer: address})
	}
	return conn, nil
}

// tellTimeout bounds the call that tells a daemon what an upstream asked for.
const tellTimeout = 500 * time.Millisecond

// TellCarrier tells the daemon that carries conn, if one does, what the upstream asked
// for in a response. It does not wait.
func (t *Transport) TellCarrier(conn net.Conn, n holdoff.Notice) {
	carried, ok := conn.(*tunnel.Conn)
	if !ok {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
		defer cancel()
		if err := carried.Tell(ctx, n); err != nil {
			t.opts.Recorder.Record(event.Event{ID: event.CarrierNotTold, Step: "tell the carrier", Err: err})
		}
	}()
}

// HasEnded reports whether the process of the upstream at address has ended: its port
// refuses the connections of another daemon or, if none can be asked, this one's.
func (t *Transport) HasEnded(ctx context.Context, address string) bool {
	own := upstream.PortSilent
	if !t.CutOff() {
		own = upstream.CheckPort(ctx, t.dialOwn, address)
	}
	if own == upstream.PortAccepts {
		return false
	}
	conn, err := t.dialPeers(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close()
		return false
	}
	return errors.Is(err, tunnel.ErrRefused) || own == upstream.PortRefuses
}

// Run tries the own way again while upstreams are reached through others, until ctx
// ends.
func (t *Transport) Run(ctx context.Context) {
	ticker := time.NewTicker(probePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if t.opts.Carriers.CloseGone() {
			t.peers.CloseIdleConnections()
		}
		t.probeOwn(ctx)
		t.checkSilence(ctx)
	}
}

// probeOwn tries the own way to one of the upstreams that are reached through others.
func (t *Transport) probeOwn(ctx context.Context) {
	marked := t.table.Marked(freshness.Time())
	if len(marked) == 0 {
		return
	}
	conn, err := t.dialOwn(ctx, "tcp", marked[rand.IntN(len(marked))])
	if err == nil {
		_ = conn.Close()
	} // else the table has it
}

// checkSilence checks the own way to upstreams while all own connections are silent
// after requests were sent on them.
func (t *Transport) checkSilence(ctx context.Context) {
	if !t.opts.Carriers.HasCarriers() {
		return
	}
	for _, address := range t.silence.suspects(freshness.Time()) {
		go t.compare(ctx, address)
	}
}
