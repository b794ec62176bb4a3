package upstream

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
)

// newEndingServer returns a server that answers its first request on each connection
// and ends at the second one: it closes its listener, if it shall, and its connections.
func newEndingServer(t *testing.T, closesListener bool) *httptest.Server {
	t.Helper()
	var mu sync.Mutex
	requests := make(map[net.Conn]int)
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	s.Config.ConnState = func(c net.Conn, state http.ConnState) {
		if state != http.StateActive {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		requests[c]++
		if requests[c] < 2 {
			return
		}
		if closesListener {
			_ = s.Listener.Close()
		}
		_ = c.Close()
	}
	s.Start()
	t.Cleanup(s.Close)
	return s
}

// Guards against a process that ends under an idempotent request on a reused
// connection and is taken for one that refused the connection: net/http tries again.
func TestConnectionThatBreaksUnderARequestIsSeen(t *testing.T) {
	for _, closesListener := range []bool{true, false} {
		for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodOptions} {
			s := newEndingServer(t, closesListener)
			transport := NewTransport()
			address := strings.TrimPrefix(s.URL, "http://")
			first, err := RoundTrip(transport, newRequest(t.Context(), t, method, address, nil))
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, first.Body)
			_ = first.Body.Close()
			_, err = RoundTrip(transport, newRequest(t.Context(), t, method, address, nil)) //nolint:bodyclose // there is none
			if !errors.Is(err, ErrClosedAfterSend) || errors.Is(err, syscall.ECONNREFUSED) || !Sent(err) || !Reused(err) {
				t.Errorf("%s, listener closed %t: sent %t, reused %t, error %v", method, closesListener, Sent(err), Reused(err), err)
			}
		}
	}
}
