package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"currantpulley/internal/fake/spoiled"
	"currantpulley/internal/presence"
)

// respond answers each request at once.
func respond(w io.Writer, _ *http.Request, _ int) bool {
	spoiled.Write(w, http.StatusOK, "ok")
	return true
}

// Guards against a request that is sent although its caller left while it waited: for a
// connection, and for the goroutine that writes.
func TestRequestIsNotSentOnceItsCallerHasLeft(t *testing.T) {
	for name, kept := range map[string]bool{"dialled": false, "kept": true} {
		for checks := range 2 { // that find the caller present
			peer := spoiled.NewPeer(t, respond)
			transport := NewTransport()
			if kept {
				reply, err := RoundTrip(transport, newRequest(t.Context(), t, http.MethodPost, peer.Address, strings.NewReader("body")))
				if err != nil {
					t.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, reply.Body)
				_ = reply.Body.Close()
			}
			before := peer.Calls.Load()
			var asked atomic.Int64
			_, ctx, cancel := presence.New(t.Context(), func() bool { return asked.Add(1) > int64(checks) })
			defer cancel()
			_, err := RoundTrip(transport, newRequest(ctx, t, http.MethodPost, peer.Address, strings.NewReader("body"))) //nolint:bodyclose // there is none
			if err == nil || Sent(err) || ctx.Err() == nil {
				t.Errorf("%s, %d checks: error %v, sent %t", name, checks, err, Sent(err))
			}
			time.Sleep(20 * time.Millisecond)
			if n := peer.Calls.Load() - before; n != 0 {
				t.Errorf("%s, %d checks: %d requests arrived", name, checks, n)
			}
		}
	}
}

// Guards against an upstream that is told late that a caller has left, because
// goroutines of the transport have to run for it.
func TestConnectionIsClosedWhenItsCallerLeaves(t *testing.T) {
	began, ended := make(chan struct{}), make(chan struct{})
	peer := spoiled.NewPeer(t, func(w io.Writer, _ *http.Request, _ int) bool {
		close(began)
		<-ended
		return false
	})
	defer close(ended)
	var conn net.Conn
	transport := NewTransportOver(func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := NewDial()(ctx, network, address)
		conn = c
		return c, err
	})
	caller, ctx, cancel := presence.New(t.Context(), func() bool { return false })
	defer cancel()
	failed := make(chan error, 1)
	go func() {
		_, err := RoundTrip(transport, newRequest(ctx, t, http.MethodPost, peer.Address, strings.NewReader("body"))) //nolint:bodyclose // there is none
		failed <- err
	}()
	<-began
	caller.Leave()
	if _, err := conn.Write([]byte("x")); !errors.Is(err, net.ErrClosed) {
		t.Errorf("the connection is open after the caller left: %v", err)
	}
	if err := <-failed; !Sent(err) {
		t.Errorf("%v counts as not sent", err)
	}
}

// Guards against the connection of one request that is closed because the caller of
// another one, which used it before, has left.
func TestLeavingDoesNotCloseTheConnectionOfTheNextRequest(t *testing.T) {
	peer := spoiled.NewPeer(t, func(w io.Writer, _ *http.Request, number int) bool {
		time.Sleep(time.Duration(number-1) * 20 * time.Millisecond)
		return respond(w, nil, number)
	})
	transport := NewTransport()
	caller, ctx, cancel := presence.New(t.Context(), func() bool { return false })
	defer cancel()
	first, err := RoundTrip(transport, newRequest(ctx, t, http.MethodPost, peer.Address, strings.NewReader("body")))
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, first.Body) // its connection may serve others from now on
	time.AfterFunc(10*time.Millisecond, caller.Leave)
	second, err := RoundTrip(transport, newRequest(t.Context(), t, http.MethodPost, peer.Address, strings.NewReader("body")))
	if err != nil {
		t.Fatal(err)
	}
	_, err = io.Copy(io.Discard, second.Body)
	if err != nil || !second.Reused {
		t.Errorf("reused %t, %v", second.Reused, err)
	}
	_, _ = first.Body.Close(), second.Body.Close()
}
