package server_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"currantpulley/internal/memory"
	"currantpulley/internal/server"
)

// dial connects to the server at address.
func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// startLimited starts a server with a limit of connections. A nil handler answers with an
// empty response.
func startLimited(t *testing.T, connections int, a *memory.Account, handler http.HandlerFunc) *server.Server {
	t.Helper()
	if handler == nil {
		handler = func(http.ResponseWriter, *http.Request) {}
	}
	limits := func() server.Limits {
		l := testLimits()
		l.MaxConnections = connections
		return l
	}
	s := startWith(t, server.Options{Memory: a, Handler: handler, Limits: limits})
	return s
}

// Guards against a request that runs although its connection was refused, with a
// status that says that it didn't run.
func TestRefusedConnectionRunsNothing(t *testing.T) {
	var runs atomic.Int64
	s := startLimited(t, 1, nil, func(http.ResponseWriter, *http.Request) { runs.Add(1) })
	dial(t, s.Address())
	time.Sleep(20 * time.Millisecond)
	for range 50 {
		c := dial(t, s.Address())
		_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx")
		_ = c.SetReadDeadline(time.Now().Add(time.Second))
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || res.StatusCode != http.StatusServiceUnavailable || !res.Close {
			t.Fatalf("%v %v", res, err)
		}
		_ = res.Body.Close()
		_ = c.Close()
	}
	if runs.Load() > 0 {
		t.Errorf("%d of 50 refused requests ran", runs.Load())
	}
}

// Guards against a flood of connections whose refusals take all descriptors: of those above
// the limit only some wait for their refusal.
func TestFloodOfConnectionsIsClosed(t *testing.T) {
	const limit, flood, most = 10, 200, 40 // connections
	s := startLimited(t, limit, nil, nil)
	var open int64
	for range flood {
		dial(t, s.Address())
		open = max(open, s.Open())
	}
	if open > most {
		t.Errorf("%d connections were open, the limit is %d", open, limit)
	}
	time.Sleep(time.Second) // longer than a refused connection stays open, or a caller may be silent
	eventually(t, "served", func() bool {
		c := dial(t, s.Address())
		post(c, 1, 1)
		got, _ := statusOf(c)
		return got == http.StatusOK
	})
}

// Guards against many connections at one server of a process that close those of another.
func TestServersMakeRoomAmongTheirOwn(t *testing.T) {
	const limit = 10
	a := memory.New(0)
	calm, crowded := startLimited(t, limit, a, nil), startLimited(t, limit, a, nil)
	kept := dial(t, calm.Address())
	_ = get(t, kept, "/")
	for range limit {
		dial(t, crowded.Address())
	}
	time.Sleep(time.Second) // longer than a caller may be silent when connections are short
	if got := get(t, dial(t, crowded.Address()), "/"); got.StatusCode != http.StatusOK {
		t.Errorf("status %d at the crowded one", got.StatusCode)
	}
	if got := get(t, kept, "/"); got.StatusCode != http.StatusOK {
		t.Errorf("status %d on a kept connection of the other", got.StatusCode)
	}
}

// Guards against a caller that waits for permission to send its body until it gives
// up.
func TestExpectContinue(t *testing.T) {
	for _, tc := range []struct {
		name, head, first string
	}{
		{"body", "Content-Length: 4\r\nExpect: 100-continue\r\n", "HTTP/1.1 100 Continue\r\n"},
		{"chunks", "Transfer-Encoding: chunked\r\nExpect: 100-Continue\r\n", "HTTP/1.1 100 Continue\r\n"},
		{"too large", "Content-Length: 99999999\r\nExpect: 100-continue\r\n", "HTTP/1.1 413 Request Entity Too Large\r\n"},
		{"no body", "Expect: 100-continue\r\n", "HTTP/1.1 200 OK\r\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := startServer(t, func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) })
			_ = get(t, c, "/")
			time.Sleep(2 * testWriteTimeout) // the deadline of the first response must not apply
			_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\n"+tc.head+"\r\n")
			in := bufio.NewReader(c)
			_ = c.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
			line, err := in.ReadString('\n')
			if line != tc.first {
				t.Fatalf("%q %v", line, err)
			}
			if !strings.Contains(line, "100") {
				return
			}
			_, _ = in.ReadString('\n')
			if strings.Contains(tc.head, "chunked") {
				_, _ = io.WriteString(c, "4\r\nbody\r\n0\r\n\r\n")
			} else {
				_, _ = io.WriteString(c, "body")
			}
			res, err := http.ReadResponse(in, nil)
			if err != nil || res.StatusCode != http.StatusOK {
				t.Fatalf("%v %v", res, err)
			}
			if body, _ := io.ReadAll(res.Body); string(body) != "body" {
				t.Errorf("%q", body)
			}
		})
	}
}

// Guards against a permission that comes though the body does too, and shifts the
// responses of the connection.
func TestNoContinueForABodyThatIsThere(t *testing.T) {
	c := startServer(t, func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) })
	got := readAll(t, c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\nbody")
	if !strings.HasPrefix(got, "HTTP/1.1 200 OK\r\n") {
		t.Errorf("%q", got)
	}
}

// Guards against callers without an answer, or with a promise that isn't true, when
// they are slow or send too much.
func TestSlowAndLargeRequests(t *testing.T) {
	large := strings.Repeat("x", 2<<20)
	for _, tc := range []struct {
		name, input string
		want        int
	}{
		{"slow head", "POST / HT", http.StatusRequestTimeout},
		{"slow field", "POST / HTTP/1.1\r\nHost", http.StatusRequestTimeout},
		{"slow body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabc", http.StatusRequestTimeout},
		{"slow chunk", chunked + "\r\n9\r\nabc", http.StatusRequestTimeout},
		{"slow end of chunks", chunked + "\r\n3\r\nabc\r\n0\r\n", http.StatusRequestTimeout},
		{"large head", "GET / HTTP/1.1\r\nHost: h\r\nX: " + large, http.StatusRequestHeaderFieldsTooLarge},
		{"large request line", "GET /" + large, http.StatusRequestHeaderFieldsTooLarge},
		{"large body", head + "Content-Length: 2097152\r\n\r\n" + large, http.StatusRequestEntityTooLarge},
		{"large trailer", chunked + "\r\n0\r\nX: " + large, http.StatusBadRequest},
		{"long chunk line", chunked + "\r\n1;" + large, http.StatusBadRequest},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			address, s := startRecording(t, testLimits)
			statuses, closed := exchange(t, address, []string{tc.input}, http.MethodPost, time.Second)
			if len(statuses) != 1 || statuses[0] != tc.want || !closed || len(s.list()) != 0 {
				t.Errorf("statuses %v, closed %t, requests %d; want %d", statuses, closed, len(s.list()), tc.want)
			}
		})
	}
}
