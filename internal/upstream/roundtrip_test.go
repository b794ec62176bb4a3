package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"currantpulley/internal/fake/spoiled"
)

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
	silent := spoiled.NewPeer(t, func(io.Writer, *http.Request, int) bool { time.Sleep(time.Second); return false }).Address
	closing := spoiled.NewPeer(t, func(io.Writer, *http.Request, int) bool { return false }).Address
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
	if n := c.begin(nil); n != 1 {
		t.Errorf("%d bytes count as written after a write of one, want 1", n)
	}
}

// Guards against contexts that stay registered with a long-lived parent after the
// response was closed, and against connections that are not used again.
func TestClosedResponseKeepsItsConnection(t *testing.T) {
	peer := spoiled.NewPeer(t, func(c io.Writer, _ *http.Request, _ int) bool {
		_, err := fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		return err == nil
	})
	transport := NewTransport()
	for number := range 3 {
		reply, err := RoundTrip(transport, newRequest(t.Context(), t, http.MethodGet, peer.Address, http.NoBody))
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
