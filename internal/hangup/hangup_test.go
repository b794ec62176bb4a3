package hangup_test

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"currantpulley/internal/hangup"
)

// pair returns both ends of a connection.
func pair(t *testing.T) (ours, peers *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	peer, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	own, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = own.Close(), peer.Close() })
	return own.(*net.TCPConn), peer.(*net.TCPConn)
}

// The end of a connection must be known however it came, and unread bytes must neither
// hide it nor count as one.
func TestEndsOfConnections(t *testing.T) {
	for name, end := range map[string]func(c *net.TCPConn){
		"close":      func(c *net.TCPConn) { _ = c.Close() },
		"half-close": func(c *net.TCPConn) { _ = c.CloseWrite() },
		"reset":      func(c *net.TCPConn) { _, _ = c.SetLinger(0), c.Close() },
	} {
		own, peer := pair(t)
		_, _ = peer.Write(make([]byte, 60_000))
		time.Sleep(5 * time.Millisecond)
		if hangup.HasCome(own) {
			t.Errorf("%s: an open connection counts as ended", name)
		}
		_ = own.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
		if err := hangup.Await(own); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%s: %v", name, err)
		}
		_ = own.SetReadDeadline(time.Now().Add(time.Second))
		time.AfterFunc(10*time.Millisecond, func() { end(peer) })
		if err := hangup.Await(own); err != nil || !hangup.HasCome(own) {
			t.Errorf("%s: %v, ended %t", name, err, hangup.HasCome(own))
		}
	}
}

// A connection that was closed here must count as ended.
func TestClosedConnection(t *testing.T) {
	own, _ := pair(t)
	_ = own.Close()
	if !hangup.HasCome(own) || !errors.Is(hangup.Await(own), net.ErrClosed) {
		t.Error("a closed connection counts as open")
	}
}
