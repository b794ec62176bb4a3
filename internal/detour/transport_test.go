package detour

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"currantpulley/internal/control/tunnel"
	"currantpulley/internal/event"
	"currantpulley/internal/fleet"
	"currantpulley/internal/holdoff"
	"currantpulley/internal/peer"
	"currantpulley/internal/upstream"
)

// events counts the recorded events by id.
type events map[event.ID]int

// Record implements event.Recorder.
func (e events) Record(ev event.Event) { e[ev.ID]++ }

// fixture is a Transport whose own way can be cut, with one other daemon.
type fixture struct {
	*Transport
	events  events
	cut     atomic.Bool
	hangs   atomic.Bool  // how a cut shows: new connections hang, else they are refused
	owns    atomic.Int64 // own connections
	carries atomic.Int64 // connections of the other daemon
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{events: make(events)}
	s, err := peer.Listen("127.0.0.1:0", nil)
	if err != nil {
		t.Fatal(err)
	}
	count := func(n *atomic.Int64) upstream.DialFunc {
		dial := upstream.NewDial()
		return func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			if err == nil {
				n.Add(1)
			}
			return conn, err
		}
	}
	tunnel.NewServer(tunnel.ServerOptions{
		Dial: count(&f.carries), Known: func(string) bool { return true }, MaySend: func(string) bool { return true }, OnHoldoff: func(holdoff.Notice) {}, CutOff: func() bool { return false },
	}).Register(s.Server)
	go func() { _ = s.Run(t.Context()) }()
	pool := peer.NewPool(nil)
	t.Cleanup(pool.Close)
	client := tunnel.NewClient(tunnel.ClientOptions{
		Pool: pool, Self: "a", DataCentre: "a", CutOff: func(string) bool { return false },
		View: func() fleet.View {
			return fleet.View{Self: "a", VMs: []fleet.VM{{Name: "b", PeerAddress: s.Address()}}}
		},
	})
	own := count(&f.owns)
	f.Transport = New(Options{Carriers: client, Recorder: f.events, Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		if f.cut.Load() && f.hangs.Load() {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		if f.cut.Load() {
			return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
		}
		return own(ctx, network, address)
	}})
	return f
}

// call sends a request with a body and returns the response's body.
func (f *fixture) call(t *testing.T, server *httptest.Server, body string) (string, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Body, req.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
	res, err := upstream.RoundTrip(f, req)
	if err != nil {
		return "", err
	}
	defer func() { _ = res.Body.Close() }()
	got, err := io.ReadAll(res.Body)
	return string(got), err
}

func newEcho(t *testing.T, arrivals *atomic.Int64) *httptest.Server {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrivals.Add(1)
		_, _ = io.Copy(w, r.Body)
	}))
	t.Cleanup(s.Close)
	return s
}

// Requests must go the daemon's own way as long as it works, through another daemon
// while it doesn't, and the own way again soon after, each once and whole.
func TestRequestsGoTheWayThatWorks(t *testing.T) {
	f := newFixture(t)
	var arrivals atomic.Int64
	servers := []*httptest.Server{newEcho(t, &arrivals), newEcho(t, &arrivals), newEcho(t, &arrivals)}
	sent := int64(0)
	callAll := func() {
		for _, s := range servers {
			sent++
			if got, err := f.call(t, s, "body"); err != nil || got != "body" {
				t.Errorf("%q, %v", got, err)
			}
		}
	}
	callAll()
	if f.carries.Load() != 0 {
		t.Error("another daemon carried a connection although the own way works")
	}
	f.cut.Store(true)
	f.own.CloseIdleConnections()
	callAll()
	if f.carries.Load() != 3 || !f.CutOff() || f.events[event.UpstreamsUnreachable] != 1 {
		t.Errorf("%d carried, cut off %t, events %v", f.carries.Load(), f.CutOff(), f.events)
	}
	f.cut.Store(false)
	f.probeOwn(t.Context())
	owns := f.owns.Load()
	callAll()
	if f.carries.Load() != 3 || f.owns.Load() != owns+3 || f.CutOff() || f.events[event.UpstreamsRegained] != 1 {
		t.Errorf("%d carried, %d own connections, cut off %t, events %v", f.carries.Load(), f.owns.Load()-owns, f.CutOff(), f.events)
	}
	if arrivals.Load() != sent {
		t.Errorf("%d requests arrived, %d were sent", arrivals.Load(), sent)
	}
}

// An upstream that nobody reaches must fail at once and count as not sent, and its
// process as ended; one that only this daemon doesn't reach must not.
func TestEndedUpstreamIsToldFromAnUnreachableOne(t *testing.T) {
	f := newFixture(t)
	var arrivals atomic.Int64
	s := newEcho(t, &arrivals)
	address := strings.TrimPrefix(s.URL, "http://")
	f.cut.Store(true)
	if f.HasEnded(t.Context(), address) {
		t.Error("an upstream that another daemon reaches counts as ended")
	}
	f.cut.Store(false)
	s.Close()
	began := time.Now()
	if _, err := f.call(t, s, "body"); err == nil || upstream.Sent(err) {
		t.Errorf("error %v, sent %t", err, upstream.Sent(err))
	}
	if took := time.Since(began); took > ownPatience {
		t.Errorf("took %v", took)
	}
	if !f.HasEnded(t.Context(), address) {
		t.Error("an upstream that nobody reaches does not count as ended")
	}
}

// Guards against an upstream that has ended and counts as running because the own way
// to it hangs, while the daemon doesn't know yet that it is cut off.
func TestEndedUpstreamIsFoundOutThroughOthers(t *testing.T) {
	f := newFixture(t)
	var arrivals atomic.Int64
	s := newEcho(t, &arrivals)
	address := strings.TrimPrefix(s.URL, "http://")
	f.cut.Store(true)
	f.hangs.Store(true)
	if f.HasEnded(t.Context(), address) {
		t.Error("an upstream that another daemon reaches counts as ended")
	}
	s.Close()
	if !f.HasEnded(t.Context(), address) {
		t.Error("an upstream whose port refuses another daemon does not count as ended")
	}
}

// A request whose first byte went out must not be sent another way, whatever becomes
// of its connection.
func TestSentRequestIsNotSentAnotherWay(t *testing.T) {
	f := newFixture(t)
	var arrivals atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		arrivals.Add(1)
		f.cut.Store(true)
		panic(http.ErrAbortHandler)
	}))
	defer s.Close()
	for range 3 {
		f.cut.Store(false)
		if _, err := f.call(t, s, "body"); err == nil || !upstream.Sent(err) {
			t.Errorf("error %v, sent %t", err, upstream.Sent(err))
		}
	}
	if arrivals.Load() != 3 || f.carries.Load() > 1 { // one to check the way
		t.Errorf("%d requests arrived, %d connections carried", arrivals.Load(), f.carries.Load())
	}
}

// Guards against as many checks of an upstream as connections to it broke at once.
func TestBrokenConnectionsShareOneCheck(t *testing.T) {
	f := newFixture(t)
	var arrivals atomic.Int64
	s := newEcho(t, &arrivals)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, s.URL, nil)
	if err != nil {
		t.Fatal(err)
	}
	const broken = 50
	for range broken {
		f.suspect(req, syscall.ECONNRESET)
	}
	time.Sleep(ownPatience)
	if n := f.owns.Load(); n == 0 || n > broken/5 {
		t.Errorf("%d connections to check one upstream", n)
	}
}

// The silence of all own connections must be found out before they time out.
func TestSilentConnectionsAreChecked(t *testing.T) {
	f := newFixture(t)
	hang := make(chan struct{})
	defer close(hang)
	var servers []*httptest.Server
	for range 3 {
		s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-hang }))
		t.Cleanup(s.Close)
		servers = append(servers, s)
	}
	t.Cleanup(func() { f.own.CloseIdleConnections() })
	var calls sync.WaitGroup
	defer calls.Wait() // before the servers answer
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for _, s := range servers {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.URL, nil)
		if err != nil {
			t.Fatal(err)
		}
		calls.Go(func() {
			_, err := f.RoundTrip(req) //nolint:bodyclose // there is none
			if !errors.Is(err, context.Canceled) {
				t.Errorf("error %v", err)
			}
		})
	}
	time.Sleep(50 * time.Millisecond) // for the requests to be sent
	f.cut.Store(true)
	for range 100 {
		f.checkSilence(ctx)
		if f.CutOff() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("the cut was not found out within a second")
}
