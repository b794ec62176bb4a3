package partition

import (
	"errors"
	"net"
	"syscall"
	"testing"
)

// The network must fail as a partition does.
func TestPartitionFails(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	for mode, want := range map[Mode]error{Hangs: syscall.ETIMEDOUT, Resets: net.ErrClosed} {
		n := New()
		c, err := n.Dial(t.Context(), "tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		n.Set(mode)
		_, _ = c.Write([]byte("x")) // may fail
		if _, err := c.Read(make([]byte, 1)); !errors.Is(err, want) {
			t.Errorf("%s: read: %v, want %v", mode, err, want)
		}
		if _, err := n.Dial(t.Context(), "tcp", l.Addr().String()); err == nil {
			t.Errorf("%s: a connection was opened", mode)
		}
		n.Set(None)
		if _, err := n.Dial(t.Context(), "tcp", l.Addr().String()); err != nil {
			t.Errorf("after %s: %v", mode, err)
		}
	}
}
