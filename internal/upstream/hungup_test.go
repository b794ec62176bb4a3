package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"currantpulley/internal/fake/spoiled"
)

// Guards against requests that are sent on a kept connection which the upstream has
// closed, and so may have run for all that is known, because the goroutine that reads
// has not run yet.
func TestRequestIsNotSentOnAConnectionThatTheUpstreamClosed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	upstreams := make(chan net.Conn, 1)
	accept := func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
			spoiled.Write(c, http.StatusOK, "ok")
		}
		upstreams <- c
	}
	transport := NewTransport()
	send := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		reply, err := RoundTrip(transport, newRequest(ctx, t, http.MethodPost, l.Addr().String(), strings.NewReader("body")))
		if err != nil {
			return err
		}
		_, _ = io.Copy(io.Discard, reply.Body)
		return reply.Body.Close()
	}
	for range 20 {
		go accept()
		if err := send(); err != nil {
			t.Fatalf("sent %t: %v", Sent(err), err)
		}
		used := <-upstreams
		time.Sleep(5 * time.Millisecond) // the connection is idle
		go accept()
		processors := runtime.GOMAXPROCS(1)
		_ = used.Close()
		err := send()
		runtime.GOMAXPROCS(processors)
		if err != nil {
			t.Errorf("sent %t: %v", Sent(err), err)
			continue
		}
		_ = (<-upstreams).Close()
		transport.CloseIdleConnections()
	}
}
