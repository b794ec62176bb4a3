package server_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"currantpulley/internal/server"
)

const testWriteTimeout = 50 * time.Millisecond

func startServer(t *testing.T, h http.HandlerFunc) net.Conn {
	t.Helper()
	s := startWith(t, server.Options{
		Limits: func() server.Limits {
			return server.Limits{MaxBody: 1 << 20, MaxHeader: 1 << 14, MaxConnections: 10,
				ReadTimeout: time.Second, WriteTimeout: testWriteTimeout}
		},
		Handler: h,
	})
	c, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// get sends a request over c and returns the response, whose body it closes.
func get(t *testing.T, c net.Conn, path string) *http.Response {
	t.Helper()
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path); err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("GET %s: %v", path, err)
	}
	_ = res.Body.Close()
	return res
}

// A response without a body is written after its handler returned. The write
// deadline of an earlier response on the same connection must not apply to it.
func TestEmptyResponseOnReusedConnection(t *testing.T) {
	c := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/body" {
			_, _ = w.Write([]byte("x"))
			return
		}
		w.WriteHeader(http.StatusInternalServerError)
	})
	if res := get(t, c, "/body"); res.StatusCode != http.StatusOK {
		t.Fatalf("status %d", res.StatusCode)
	}
	time.Sleep(3 * testWriteTimeout)
	if res := get(t, c, "/empty"); res.StatusCode != http.StatusInternalServerError {
		t.Fatalf("status %d", res.StatusCode)
	}
}

// Guards against connections that stay open in the server, uncounted, until the
// garbage collector finds them, after their callers closed them.
func TestConnectionOfCallerThatClosedIsClosed(t *testing.T) {
	c := startServer(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("x")) })
	get(t, c, "/")
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		t.Fatal("not a TCP connection")
	}
	_ = tcp.CloseWrite()
	if _, err := io.ReadAll(c); err != nil {
		t.Error(err)
	}
}
