package upstream

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Guards against connections that the kernel gives up while a sound upstream is silent
// for a second or so, and against ones that outlast the patience of callers.
func TestShortSilenceEndsNoConnection(t *testing.T) {
	const (
		soundSilence = 1500 * time.Millisecond
		patience     = 2400 * time.Millisecond // of callers of a stream
	)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	c, err := NewDial()(t.Context(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	option := func(name int, unit time.Duration) time.Duration {
		var value int
		if err := raw.Control(func(fd uintptr) { value, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name) }); err != nil {
			t.Fatal(err)
		}
		if err != nil {
			t.Skipf("socket option %d can't be read here: %v", name, err)
		}
		return time.Duration(value) * unit
	}
	unacked := option(unix.TCP_USER_TIMEOUT, time.Millisecond)
	if unacked < soundSilence || unacked > patience {
		t.Errorf("sent bytes may stay without acknowledgement for %v, want %v to %v", unacked, soundSilence, patience)
	}
	// Probes begin after the idle time; one that is due after the user timeout ends it.
	ended := option(unix.TCP_KEEPIDLE, time.Second)
	for ended < unacked {
		ended += option(unix.TCP_KEEPINTVL, time.Second)
	}
	if ended > patience {
		t.Errorf("a silent connection without bytes under way ends after %v, want %v at most", ended, patience)
	}
}
