package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// serveRaw starts a server that reads each request of a connection and answers it
// with answer; it closes the connection when answer returns false.
func serveRaw(t *testing.T, answer func(c net.Conn, number int) bool) string {
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
			go func() {
				defer func() { _ = c.Close() }()
				in := bufio.NewReader(c)
				for number := 1; ; number++ {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					if !answer(c, number) {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

func newRequest(ctx context.Context, t *testing.T, method, address string, body io.Reader) *http.Request {
	t.Helper()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/", body)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Guards against a request that counts as not sent, and is sent to another upstream,
// although a byte of it went out.
func TestSentTellsWhetherAByteWentOut(t *testing.T) {
	silent := serveRaw(t, func(net.Conn, int) bool { time.Sleep(time.Second); return false })
	closing := serveRaw(t, func(net.Conn, int) bool { return false })
	for _, tc := range []struct {
		name, address string
		want          bool
	}{
		{"no listener", "127.0.0.1:1", false},
		{"no answer", silent, true},
		{"closed after the request", closing, true},
	} {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		_, err := RoundTrip(NewTransport(), newRequest(ctx, t, http.MethodPost, tc.address, strings.NewReader("body"))) //nolint:bodyclose // there is none
		cancel()
		if err == nil || Sent(err) != tc.want {
			t.Errorf("%s: sent %t, want %t (%v)", tc.name, Sent(err), tc.want, err)
		}
	}
}

// Guards against a write that goes out after its request was reported as not sent.
func TestSealedConnectionWritesNothing(t *testing.T) {
	a, b := net.Pipe()
	defer func() { _ = b.Close() }()
	c := &trackedConn{Conn: a}
	if n := c.seal(); n != 0 {
		t.Errorf("%d bytes were written before the first write", n)
	}
	if n, err := c.Write([]byte("x")); n != 0 || !errors.Is(err, errSealed) {
		t.Errorf("wrote %d bytes, error %v", n, err)
	}
}

// A write in progress counts as written, since its bytes may arrive.
func TestWriteInProgressCountsAsWritten(t *testing.T) {
	a, b := net.Pipe()
	c := &trackedConn{Conn: a}
	done := make(chan struct{})
	go func() { defer close(done); _, _ = c.Write([]byte("xy")) }()
	one := make([]byte, 1)
	if _, err := io.ReadFull(b, one); err != nil {
		t.Fatal(err)
	}
	if n := c.seal(); n != 2 {
		t.Errorf("%d bytes of a write in progress count as written, want 2", n)
	}
	_ = b.Close()
	<-done
	if n := c.bytesWritten(); n != 1 {
		t.Errorf("%d bytes count as written after a write of one, want 1", n)
	}
}

// Guards against contexts that stay registered with a long-lived parent after the
// response was closed, and against connections that are not used again.
func TestClosedResponseKeepsItsConnection(t *testing.T) {
	address := serveRaw(t, func(c net.Conn, _ int) bool {
		_, err := fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		return err == nil
	})
	transport := NewTransport()
	for number := range 3 {
		reply, err := RoundTrip(transport, newRequest(t.Context(), t, http.MethodGet, address, http.NoBody))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadAll(reply.Body); err != nil {
			t.Fatal(err)
		}
		_ = reply.Body.Close()
		if reply.Request.Context().Err() == nil || reply.Reused != (number > 0) {
			t.Errorf("request %d: context error %v, connection reused %t", number, reply.Request.Context().Err(), reply.Reused)
		}
	}
}
