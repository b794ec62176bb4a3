package upstream

import (
	"net"
	"testing"
	"time"
)

// Only a port without a listener shows that its process has ended.
func TestHasEnded(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}()
	if HasEnded(t.Context(), NewDial(), address) {
		t.Error("a process that resets connections counts as ended")
	}
	_ = l.Close()
	if !HasEnded(t.Context(), NewDial(), address) {
		t.Error("a port without a listener does not count as ended")
	}
}

// Guards against a process that is found to run because it has closed the connection
// of a request but not yet its port.
func TestHasEndedWhileThePortIsBeingClosed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	time.AfterFunc(endedPause/5, func() { _ = l.Close() })
	if !HasEnded(t.Context(), NewDial(), address) {
		t.Error("the process counts as running")
	}
}
