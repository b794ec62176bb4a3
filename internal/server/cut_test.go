package server_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"currantpulley/internal/refusal"
	"currantpulley/internal/server"
)

// startCounting starts a server that counts the requests refused before their handler.
func startCounting(t *testing.T) (address string, refused *atomic.Int64) {
	t.Helper()
	refused = new(atomic.Int64)
	s := startWith(t, server.Options{
		Limits:  slowLimits,
		Handler: http.HandlerFunc(doNothing),
		Refused: func(string, *refusal.Error) { refused.Add(1) },
	})
	return s.Address(), refused
}

// Guards against a trailer line that doesn't fit the read buffer and is refused for
// another reason.
func TestLongTrailerIsNamed(t *testing.T) {
	address, _ := startCounting(t)
	c := dial(t, address)
	got := readAll(t, c, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX-Long: "+
		strings.Repeat("a", 4<<10)+"\r\n\r\n")
	if !strings.HasPrefix(got, "HTTP/1.1 400 ") || !strings.Contains(got, "its trailer") {
		t.Errorf("%q", got)
	}
}

// Guards against an answer to a caller that left within its body, and a refusal that is
// recorded for it.
func TestCallerThatLeavesWithinItsBodyGetsNoAnswer(t *testing.T) {
	address, refused := startCounting(t)
	for _, input := range []string{
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc",
	} {
		c := dial(t, address)
		if _, err := io.WriteString(c, input); err != nil {
			t.Fatal(err)
		}
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.CloseWrite()
		}
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		if got, err := io.ReadAll(c); err != nil || len(got) > 0 {
			t.Errorf("%q: answer %q, %v", input, got, err)
		}
	}
	if n := refused.Load(); n > 0 {
		t.Errorf("%d refusals are recorded", n)
	}
}
