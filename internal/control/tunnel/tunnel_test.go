package tunnel

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"currantpulley/internal/control/tunnel/tunnelpb"
	"currantpulley/internal/fleet"
	"currantpulley/internal/holdoff"
	"currantpulley/internal/peer"
	"currantpulley/internal/upstream"
)

const testTimeout = 2 * time.Second

// carrier is a daemon that carries connections.
type carrier struct {
	vm     fleet.VM
	server *Server
	cutOff bool
	dial   upstream.DialFunc

	declines atomic.Bool         // the upstreams want no requests of it
	notices  chan holdoff.Notice // that it was told
}

func (c *carrier) maySend(string) bool { return !c.declines.Load() }

func (c *carrier) told(n holdoff.Notice) { c.notices <- n }

func startCarrier(t *testing.T, name, dataCentre string, known func(string) bool) *carrier {
	t.Helper()
	return startCarrierOf(t, name, dataCentre, known, func(s *Server) tunnelpb.TunnelServer { return s })
}

// startCarrierOf is startCarrier with what build makes of its server.
func startCarrierOf(t *testing.T, name, dataCentre string, known func(string) bool, build func(*Server) tunnelpb.TunnelServer) *carrier {
	t.Helper()
	s, err := peer.Listen("127.0.0.1:0", nil)
	if err != nil {
		t.Fatal(err)
	}
	c := &carrier{vm: fleet.VM{Name: name, PeerAddress: s.Address(), DataCentre: dataCentre}, dial: upstream.NewDial(), notices: make(chan holdoff.Notice, 1)}
	c.server = NewServer(ServerOptions{
		Known: known, MaySend: c.maySend, OnHoldoff: c.told, CutOff: func() bool { return c.cutOff },
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			return c.dial(ctx, network, address)
		},
	})
	tunnelpb.RegisterTunnelServer(s.Server, build(c.server))
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go func() { _ = s.Run(ctx) }()
	return c
}

func newTestClient(t *testing.T, carriers ...*carrier) (*Client, *fleet.View) {
	t.Helper()
	pool := peer.NewPool(nil)
	t.Cleanup(pool.Close)
	view := &fleet.View{Self: "self"}
	for _, c := range carriers {
		view.VMs = append(view.VMs, c.vm)
	}
	view.VMs = append(view.VMs, fleet.VM{Name: "self", DataCentre: "a"}) // sorted by name
	return NewClient(ClientOptions{
		Pool: pool, Self: "self", DataCentre: "a", View: func() fleet.View { return *view }, CutOff: func(string) bool { return false },
	}), view
}

// listenFor starts an upstream that calls serve for each connection.
func listenFor(t *testing.T, serve func(c *net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c.(*net.TCPConn))
		}
	}()
	return l.Addr().String()
}

func anyAddress(string) bool { return true }

func dial(t *testing.T, c *Client, address string) (*Conn, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	return c.Dial(ctx, address)
}

// Whatever happens to the connection at one end must be seen at the other: bytes, an
// orderly end, a reset.
func TestConnectionIsCarriedAsItIs(t *testing.T) {
	c, _ := newTestClient(t, startCarrier(t, "b1", "b", anyAddress))
	large := bytes.Repeat([]byte("x"), 3<<20)
	echo := listenFor(t, func(c *net.TCPConn) { _, _ = io.Copy(c, c) })
	conn, err := dial(t, c, echo)
	if err != nil {
		t.Fatal(err)
	}
	go func() { _, _ = conn.Write(large) }()
	got := make([]byte, len(large))
	if _, err := io.ReadFull(conn, got); err != nil || !bytes.Equal(got, large) {
		t.Errorf("echo: %v", err)
	}
	_ = conn.Close()

	ending := listenFor(t, func(c *net.TCPConn) {
		_, _ = c.Write([]byte("whole"))
		_ = c.Close()
	})
	if conn, err = dial(t, c, ending); err != nil {
		t.Fatal(err)
	}
	if got, err := io.ReadAll(conn); err != nil || string(got) != "whole" {
		t.Errorf("orderly end: %q, %v", got, err)
	}

	resetting := listenFor(t, func(c *net.TCPConn) {
		_, _ = c.Write([]byte("half"))
		time.Sleep(50 * time.Millisecond) // so that the bytes are read before the reset
		_ = c.SetLinger(0)
		_ = c.Close()
	})
	if conn, err = dial(t, c, resetting); err != nil {
		t.Fatal(err)
	}
	if got, err := io.ReadAll(conn); !errors.Is(err, syscall.ECONNRESET) || string(got) != "half" {
		t.Errorf("reset: %q, %v", got, err)
	}
}

// An upstream that works on for a caller that has left costs its slot, so the end of
// the tunnel must reach it at once.
func TestCloseReachesTheUpstream(t *testing.T) {
	closed := make(chan error, 1)
	address := listenFor(t, func(c *net.TCPConn) {
		_, err := io.ReadAll(c)
		closed <- err
	})
	carrying := startCarrier(t, "b1", "b", anyAddress)
	c, _ := newTestClient(t, carrying)
	conn, err := dial(t, c, address)
	if err != nil {
		t.Fatal(err)
	}
	if n := c.Open(); n != 1 {
		t.Errorf("%d connections are open, want 1", n)
	}
	_ = conn.Close()
	select {
	case <-closed:
	case <-time.After(testTimeout):
		t.Error("the upstream's connection is still open")
	}
	for range 100 {
		if carrying.server.Carried() == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("%d connections are carried", carrying.server.Carried())
}

// What a port that refuses and a daemon that can't help say must not be mixed up: the
// first shows that the upstream has ended.
func TestRefusals(t *testing.T) {
	const nobody = "127.0.0.1:1"
	open := listenFor(t, func(*net.TCPConn) {})
	for name, tc := range map[string]struct {
		address string
		known   bool
		cutOff  bool
		want    error // nil: an error other than ErrRefused
	}{
		"the port refuses":       {nobody, true, false, ErrRefused},
		"no upstream's address":  {open, false, false, nil},
		"the carrier is cut off": {open, true, true, nil},
	} {
		t.Run(name, func(t *testing.T) {
			carrying := startCarrier(t, "b1", "b", func(string) bool { return tc.known })
			carrying.cutOff = tc.cutOff
			c, _ := newTestClient(t, carrying)
			_, err := dial(t, c, tc.address)
			if err == nil || errors.Is(err, ErrRefused) != (tc.want != nil) {
				t.Errorf("error %v, want %v", err, tc.want)
			}
		})
	}
	c, _ := newTestClient(t)
	if _, err := dial(t, c, open); !errors.Is(err, ErrNoCarrier) || c.HasCarriers() {
		t.Errorf("without other daemons: %v", err)
	}
}

// A carrier that is partitioned, too, must not hold up the connection: daemons of
// another data centre are asked beside it.
func TestNextDaemonIsAskedWhenTheFirstHangs(t *testing.T) {
	hangs := func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	near, far := startCarrier(t, "a1", "a", anyAddress), startCarrier(t, "b1", "b", anyAddress)
	near.dial = hangs
	c, _ := newTestClient(t, near, far)
	began := time.Now()
	conn, err := dial(t, c, listenFor(t, func(*net.TCPConn) {}))
	if err != nil || conn.vm != "b1" {
		t.Fatalf("%v, %v", conn, err)
	}
	if took := time.Since(began); took >= dialTimeout {
		t.Errorf("took %v", took)
	}
}

// Connections through a daemon that is gone must fail instead of hanging, and those
// through one that leaves must not be used for further requests.
func TestConnectionsThroughGoneDaemonsAreClosed(t *testing.T) {
	c, view := newTestClient(t, startCarrier(t, "b1", "b", anyAddress))
	conn, err := dial(t, c, listenFor(t, func(*net.TCPConn) {}))
	if err != nil {
		t.Fatal(err)
	}
	if c.CloseGone() || c.Open() != 1 {
		t.Error("closed although its daemon serves")
	}
	view.VMs[0].State = fleet.Leaving
	if !c.CloseGone() || c.Open() != 1 {
		t.Error("a connection through a leaving daemon must stay open and not be used again")
	}
	view.VMs[0].State = fleet.Dead
	c.CloseGone()
	if _, err := conn.Read(make([]byte, 1)); err == nil || c.Open() != 0 {
		t.Error("a connection through a dead daemon is open")
	}
}

// Guards against one daemon of the own data centre that carries everything, and
// against asking only daemons that a partition of the data centre hits, too.
func TestOrder(t *testing.T) {
	firsts := make(map[string]int)
	for range 300 {
		got := order([]fleet.VM{{Name: "a1", DataCentre: "a"}, {Name: "a2", DataCentre: "a"}, {Name: "b1", DataCentre: "b"}, {Name: "c1", DataCentre: "c"}}, "a")
		if len(got) != maxAsked || got[1].DataCentre == "a" || got[2].DataCentre == "a" {
			t.Fatalf("order %v", got)
		}
		firsts[got[0].Name]++
	}
	if firsts["a1"] < 100 || firsts["a2"] < 100 {
		t.Errorf("first asked: %v", firsts)
	}
}

// To an upstream, requests come from the daemon that carries them. That one must learn
// that the upstream wants none, and decline connections to it; another one may carry.
func TestCarrierDeclinesWhatItWasAskedNotToSend(t *testing.T) {
	asked, other := startCarrier(t, "b1", "a", anyAddress), startCarrier(t, "c1", "b", anyAddress)
	c, view := newTestClient(t, asked)
	echo := listenFor(t, func(c *net.TCPConn) { _, _ = io.Copy(c, c) })
	conn, err := dial(t, c, echo)
	if err != nil {
		t.Fatal(err)
	}
	want := holdoff.Notice{Upstream: 7, Leaving: true, Pause: 1500 * time.Millisecond}
	if err := conn.Tell(t.Context(), want); err != nil {
		t.Fatal(err)
	}
	if got := <-asked.notices; got != want {
		t.Errorf("the carrier was told %+v, want %+v", got, want)
	}
	asked.declines.Store(true)
	if _, err := dial(t, c, echo); err == nil {
		t.Error("the daemon that was told opened a connection")
	}
	view.VMs = append(view.VMs, other.vm)
	if conn, err = dial(t, c, echo); err != nil || conn.vm != "c1" {
		t.Errorf("not carried by the other daemon: %v", err)
	}
}

// A daemon that is partitioned from an upstream may have its connections refused like
// those to a port without a listener. One that reaches the upstream must be asked, too.
func TestRefusalOfOneCarrierIsNotTheEnd(t *testing.T) {
	near, far := startCarrier(t, "b1", "a", anyAddress), startCarrier(t, "c1", "b", anyAddress)
	near.dial = func(context.Context, string, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
	c, _ := newTestClient(t, near, far)
	echo := listenFor(t, func(c *net.TCPConn) { _, _ = io.Copy(c, c) })
	if conn, err := dial(t, c, echo); err != nil || conn.vm != "c1" {
		t.Errorf("not carried by the other daemon: %v", err)
	}
	far.dial = near.dial
	if _, err := dial(t, c, echo); !errors.Is(err, ErrRefused) {
		t.Errorf("refused at both: %v", err)
	}
}

// oldCarrier is a daemon of a build that has no Tell.
type oldCarrier struct {
	tunnelpb.UnimplementedTunnelServer
	*Server
}

// Open implements the gRPC service.
func (o oldCarrier) Open(stream tunnelpb.Tunnel_OpenServer) error { return o.Server.Open(stream) }

// Tell implements the gRPC service.
func (o oldCarrier) Tell(ctx context.Context, h *tunnelpb.Holdoff) (*tunnelpb.TellReply, error) {
	return o.UnimplementedTunnelServer.Tell(ctx, h)
}

// During an upgrade the carrier may not know how to be told. The connection must go on.
func TestCarrierOfAnOlderBuild(t *testing.T) {
	c := startCarrierOf(t, "b1", "a", anyAddress, func(s *Server) tunnelpb.TunnelServer { return oldCarrier{Server: s} })
	client, _ := newTestClient(t, c)
	conn, err := dial(t, client, listenFor(t, func(c *net.TCPConn) { _, _ = io.Copy(c, c) }))
	if err != nil {
		t.Fatal(err)
	}
	if err := conn.Tell(t.Context(), holdoff.Notice{Upstream: 7, Leaving: true}); status.Code(errors.Unwrap(err)) != codes.Unimplemented {
		t.Errorf("telling an older build: %v", err)
	}
	echo := make([]byte, 4)
	if _, err := conn.Write([]byte("ping")); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(conn, echo); err != nil || string(echo) != "ping" {
		t.Errorf("%q, %v", echo, err)
	}
}

// Guards against large bodies of which both daemons hold copies while the upstream doesn't
// read: at both ends together, each connection holds no more than the window of a stream.
func TestConnectionsHoldAWindowEach(t *testing.T) {
	const (
		conns  = 20
		body   = 8 << 20
		window = 1 << 20 // bytes on the way that the upstream hasn't read
		rest   = 1 << 18 // bytes of other buffers
	)
	c, _ := newTestClient(t, startCarrier(t, "b1", "b", anyAddress))
	deaf := listenFor(t, func(c *net.TCPConn) { t.Cleanup(func() { _ = c.Close() }) })
	large := bytes.Repeat([]byte("x"), body)
	before := liveHeap()
	for range conns {
		conn, err := dial(t, c, deaf)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		go func() { _, _ = conn.Write(large) }()
	}
	peak := before
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		peak = max(peak, liveHeap())
	}
	if held := peak - before; held > conns*(window+rest) {
		t.Errorf("%d connections hold %d bytes", conns, held)
	}
}

// liveHeap returns the size of what the process uses of its heap.
func liveHeap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
