package server_test

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"currantpulley/internal/server"
)

// seen is what a server made of the bytes of one connection.
type seen struct {
	mu       sync.Mutex
	requests []string
}

func (s *seen) record(r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = append(s.requests, fmt.Sprintf("%s %s %q", r.Method, r.RequestURI, body))
}

func (s *seen) list() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.requests...)
}

// exchange writes input to a new connection of the server at address, in the given
// pieces, and returns the statuses of the responses and whether the server closed
// the connection within wait.
func exchange(t *testing.T, address string, pieces []string, method string, wait time.Duration) (statuses []int, closed bool) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	go func() {
		for i, p := range pieces {
			if i > 0 {
				time.Sleep(2 * time.Millisecond)
			}
			_, _ = io.WriteString(c, p)
		}
	}()
	in := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(wait))
		res, err := http.ReadResponse(in, &http.Request{Method: method})
		if err != nil {
			var timeout net.Error
			return statuses, !errors.As(err, &timeout) || !timeout.Timeout()
		}
		_, _ = io.Copy(io.Discard, res.Body)
		if res.StatusCode >= http.StatusOK {
			statuses = append(statuses, res.StatusCode)
		}
	}
}

const (
	head    = "POST /a HTTP/1.1\r\nHost: h\r\n"
	chunked = head + "Transfer-Encoding: chunked\r\n"
	second  = "GET /b HTTP/1.1\r\nHost: h\r\n\r\n"
)

// requestCases lists inputs on which parsers disagree, with the requests that a
// strict reader finds in them. All others are refused.
var requestCases = []struct {
	name, input string
	requests    []string
	statuses    []int
}{
	{"length", head + "Content-Length: 3\r\n\r\nabc" + second, []string{`POST /a "abc"`, `GET /b ""`}, []int{200, 200}},
	{"chunks", chunked + "\r\n3\r\nabc\r\n0\r\n\r\n" + second, []string{`POST /a "abc"`, `GET /b ""`}, []int{200, 200}},
	{"chunks after chunks", chunked + "\r\n0\r\n\r\n" + chunked + "\r\n2\r\nab\r\n0\r\n\r\n", []string{`POST /a ""`, `POST /a "ab"`}, []int{200, 200}},
	{"chunk extension", chunked + "\r\n3;x=y\r\nabc\r\n0;z\r\n\r\n" + second, []string{`POST /a "abc"`, `GET /b ""`}, []int{200, 200}},
	{"trailer not announced", chunked + "\r\n3\r\nabc\r\n0\r\nX-T: 1\r\n\r\n" + second, []string{`POST /a "abc"`, `GET /b ""`}, []int{200, 200}},
	{"trailer announced", chunked + "Trailer: X-T\r\n\r\n3\r\nabc\r\n0\r\nX-T: 1\r\n\r\n" + second, []string{`POST /a "abc"`, `GET /b ""`}, []int{200, 200}},
	{"announced trailer missing", chunked + "Trailer: X-T\r\n\r\n3\r\nabc\r\n0\r\n\r\n" + second, []string{`POST /a "abc"`, `GET /b ""`}, []int{200, 200}},
	{"trailer with a length", chunked + "\r\n0\r\nContent-Length: 30\r\n\r\n" + second, []string{`POST /a ""`, `GET /b ""`}, []int{200, 200}},
	{"body with a request", head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(second)) + second, []string{fmt.Sprintf("POST /a %q", second)}, []int{200}},
	{"GET with a body", "GET /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc" + second, []string{`GET /a "abc"`, `GET /b ""`}, []int{200, 200}},
	{"method after another", "DELETE /a HTTP/1.1\r\nHost: h\r\n\r\nOPTIONS /b HTTP/1.1\r\nHost: h\r\n\r\n", []string{`DELETE /a ""`, `OPTIONS /b ""`}, []int{200, 200}},
	{"white space around values", "POST /a HTTP/1.1\r\nHost:\th \t\r\nContent-Length: 3  \r\n\r\nabc", []string{`POST /a "abc"`}, []int{200}},
	{"second malformed", head + "\r\nGET /b\r\n\r\n", []string{`POST /a ""`}, []int{200, 400}},
	{"second too large", head + "\r\nPOST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 2000000\r\n\r\n", []string{`POST /a ""`}, []int{200, 413}},
	{"second head too large", chunked + "\r\n0\r\n\r\nGET /b HTTP/1.1\r\nX: " + strings.Repeat("x", 20000) + "\r\n\r\n", []string{`POST /a ""`}, []int{200, 431}},
	{"second without a space", chunked + "\r\n0\r\n\r\nGET /b HTTP/1.1\r\nHost : h\r\n\r\n", []string{`POST /a ""`}, []int{200, 400}},

	{"length and chunks", chunked + "Content-Length: 5\r\n\r\n0\r\n\r\n" + second, nil, []int{400}},
	{"two lengths", head + "Content-Length: 3\r\nContent-Length: 0\r\n\r\nabc" + second, nil, []int{400}},
	{"same length twice", head + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc" + second, nil, []int{400}},
	{"list of lengths", head + "Content-Length: 3, 3\r\n\r\nabc" + second, nil, []int{400}},
	{"empty length", head + "Content-Length: \r\n\r\n" + second, nil, []int{400}},
	{"signed length", head + "Content-Length: +3\r\n\r\nabc" + second, nil, []int{400}},
	{"negative length", head + "Content-Length: -3\r\n\r\n" + second, nil, []int{400}},
	{"length with a space in its name", head + fmt.Sprintf("Content-Length : %d\r\n\r\n", len(second)) + second, nil, []int{400}},
	{"chunks with a space in their name", head + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n" + second, nil, []int{400}},
	{"words after the name", head + "Transfer-Encoding x: chunked\r\n\r\n0\r\n\r\n" + second, nil, []int{400}},
	{"folded field", head + "X: y\r\n Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + second, nil, []int{400}},
	{"folded with a tab", head + "X: y\r\n\tz\r\n\r\n", nil, []int{400}},
	{"space before the first field", "POST /a HTTP/1.1\r\n Host: h\r\n\r\n", nil, []int{400}},
	{"chunks in HTTP/1.0", "POST /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\nConnection: keep-alive\r\n\r\n0\r\n\r\n" + second, nil, []int{400}},
	{"another coding", head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", nil, []int{400}},
	{"coding twice", chunked + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", nil, []int{400}},
	{"identity", head + "Transfer-Encoding: identity\r\nContent-Length: 3\r\n\r\nabc", nil, []int{400}},
	{"coding after a vertical tab", head + "Transfer-Encoding: \vchunked\r\n\r\n0\r\n\r\n", nil, []int{400}},
	{"bare LF after a field", "POST /a HTTP/1.1\r\nHost: h\nContent-Length: 3\r\n\r\nabc", nil, []int{400}},
	{"bare LF all over", "GET /a HTTP/1.1\nHost: h\n\n" + second, nil, []int{400}},
	{"bare CR", head + "X: a\rContent-Length: 3\r\n\r\nabc", nil, []int{400}},
	{"NUL in a value", head + "X: a\x00b\r\n\r\n", nil, []int{400}},
	{"odd name", head + "X(y): a\r\n\r\n", nil, []int{400}},
	{"no name", head + ": a\r\n\r\n", nil, []int{400}},
	{"no colon", head + "X\r\n\r\n", nil, []int{400}},
	{"two hosts", head + "Host: i\r\n\r\n", nil, []int{400}},
	{"odd host", "GET /a HTTP/1.1\r\nHost: h h\r\n\r\n", nil, []int{400}},
	{"absolute target", "GET http://h/a HTTP/1.1\r\nHost: h\r\n\r\n" + second, nil, []int{400}},
	{"authority target", "CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n" + second, nil, []int{400}},
	{"target that is written anew", "GET /a|b HTTP/1.1\r\nHost: h\r\n\r\n", nil, []int{400}},
	{"target with a fragment", "GET /a#b HTTP/1.1\r\nHost: h\r\n\r\n", nil, []int{400}},
	{"lower case method", "get /a HTTP/1.1\r\nHost: h\r\n\r\n", nil, []int{400}},
	{"unknown method", "BREW /a HTTP/1.1\r\nHost: h\r\n\r\n" + second, nil, []int{400}},
	{"preface of HTTP/2", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", nil, []int{400}},
	{"two spaces", "GET  /a HTTP/1.1\r\nHost: h\r\n\r\n", nil, []int{400}},
	{"word after the version", "GET /a HTTP/1.1 x\r\nHost: h\r\n\r\n", nil, []int{400}},
	{"empty line first", "\r\nGET /a HTTP/1.1\r\nHost: h\r\n\r\n", nil, []int{400}},
	{"chunk without its end", chunked + "\r\n3\r\nabcX\r\n0\r\n\r\n" + second, nil, []int{400}},
	{"chunk size with a bare LF", chunked + "\r\n3;\nabc\r\n0\r\n\r\n" + second, nil, []int{400}},
	{"chunk size with a sign", chunked + "\r\n+3\r\nabc\r\n0\r\n\r\n" + second, nil, []int{400}},
	{"chunk size with a prefix", chunked + "\r\n0x3\r\nabc\r\n0\r\n\r\n" + second, nil, []int{400}},
	{"chunk size too long", chunked + "\r\n10000000000000003\r\nabc\r\n0\r\n\r\n" + second, nil, []int{400}},
	{"chunks too large", chunked + "\r\n" + strings.Repeat("10000\r\n"+strings.Repeat("x", 1<<16)+"\r\n", 17) + "0\r\n\r\n", nil, []int{413}},
	{"trailer without an end", chunked + "\r\n0\r\nX-T\r\n\r\n" + second, nil, []int{400}},
}

func recording(s *seen) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Host == "" { // net/http refuses it if the field is missing
			panicOrAbort(w)
			return
		}
		s.record(r)
		w.Header().Set("Content-Length", "1")
		_, _ = w.Write([]byte("x"))
	}
}

// panicOrAbort closes the connection of w.
func panicOrAbort(w http.ResponseWriter) {
	if sw, ok := w.(*server.Writer); ok {
		sw.Abort()
		return
	}
	panic(http.ErrAbortHandler)
}

// startRecording starts a server that records its requests.
func startRecording(t *testing.T, limits func() server.Limits) (string, *seen) {
	t.Helper()
	s := &seen{}
	srv := startWith(t, server.Options{Limits: limits, Handler: recording(s)})
	return srv.Address(), s
}

func testLimits() server.Limits {
	return server.Limits{MaxBody: 1 << 20, MaxHeader: 1 << 14, MaxConnections: 100, ReadTimeout: 300 * time.Millisecond, WriteTimeout: time.Second}
}

// split cuts s into pieces of n bytes.
func split(s string, n int) []string {
	var pieces []string
	for len(s) > n {
		pieces, s = append(pieces, s[:n]), s[n:]
	}
	return append(pieces, s)
}

// Guards against requests that are smuggled inside another one, changed on the way
// or left without an answer, since two parsers read them in different ways.
func TestRequestsAreReadAsAStrictReaderDoes(t *testing.T) {
	for _, tc := range requestCases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			for _, n := range []int{len(tc.input), 7, 1} {
				if len(tc.input) > 200 && n < len(tc.input) {
					continue
				}
				address, s := startRecording(t, slowLimits)
				statuses, closed := exchange(t, address, split(tc.input, n), http.MethodPost, 1500*time.Millisecond)
				if fmt.Sprint(s.list()) != fmt.Sprint(tc.requests) || fmt.Sprint(statuses) != fmt.Sprint(tc.statuses) {
					t.Errorf("in pieces of %d: requests %v, statuses %v; want %v, %v", n, s.list(), statuses, tc.requests, tc.statuses)
				}
				if last := tc.statuses[len(tc.statuses)-1]; last >= 400 && !closed {
					t.Errorf("in pieces of %d: the connection is open after status %d", n, last)
				}
			}
		})
	}
}

// byNetHTTP returns the requests that the server of net/http finds in input.
func byNetHTTP(t *testing.T, input string) []string {
	t.Helper()
	s := &seen{}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: recording(s), ReadHeaderTimeout: time.Second}
	go func() { _ = srv.Serve(l) }()
	defer func() { _ = srv.Close() }()
	c := dial(t, l.Addr().String())
	_, _ = io.WriteString(c, input)
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, _ = io.Copy(io.Discard, c) // until the server has read all
	return s.list()
}

// mutations are inserted into, or replace bytes of, correct requests.
var mutations = []string{"\r", "\n", "\r\n", " ", "\t", ":", ",", "\x00", "0", "5", "a", ";", "\r\n\r\n", "\r\n ", "Content-Length: 4\r\n",
	"Transfer-Encoding: chunked\r\n", "Host: i\r\n", "HTTP/1.0", "0\r\n\r\n", second}

// randomRequests returns bytes of some requests, damaged in up to two places.
func randomRequests(r *rand.Rand) string {
	var out bytes.Buffer
	for range 1 + r.IntN(3) {
		body := strings.Repeat("b", r.IntN(5))
		switch r.IntN(3) {
		case 0:
			fmt.Fprintf(&out, "POST /l%d HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", r.IntN(9), len(body), body)
		case 1:
			fmt.Fprintf(&out, "PUT /c%d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n", r.IntN(9))
		default:
			fmt.Fprintf(&out, "GET /g%d HTTP/1.1\r\nX: y\r\nHost: h\r\n\r\n", r.IntN(9))
		}
	}
	input := out.String()
	for range r.IntN(3) {
		at, m := r.IntN(len(input)), mutations[r.IntN(len(mutations))]
		rest := min(len(input), at+r.IntN(2)*len(m))
		input = input[:at] + m + input[rest:]
	}
	return input
}

// Guards against a request that another reader of the same bytes doesn't find: it
// may be refused, but never be read in another way.
func TestDamagedRequestsAreReadAsNetHTTPDoes(t *testing.T) {
	const rounds = 400
	for part := range 8 {
		t.Run(fmt.Sprint(part), func(t *testing.T) {
			t.Parallel()
			r := rand.New(rand.NewPCG(uint64(part), 1))
			for range rounds / 8 {
				input := randomRequests(r)
				address, s := startRecording(t, slowLimits)
				exchange(t, address, split(input, 1+r.IntN(len(input))), http.MethodPost, 30*time.Millisecond)
				got, want := s.list(), byNetHTTP(t, input)
				if len(got) > len(want) || fmt.Sprint(got) != fmt.Sprint(want[:len(got)]) {
					t.Errorf("%q: requests %v, net/http finds %v", input, got, want)
				}
			}
		})
	}
}

// Guards against a second request being answered, run or lost out of order when it
// comes while the first is in progress.
func TestEarlyRequestsAreAnsweredInOrder(t *testing.T) {
	c := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(20 * time.Millisecond)
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("Path", r.URL.Path)
		_, _ = w.Write(body)
	})
	const requests = 6
	input := ""
	for i := range requests {
		if i%2 == 0 {
			input += fmt.Sprintf("POST /%d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n%d\r\n0\r\n\r\n", i, i)
		} else {
			input += fmt.Sprintf("POST /%d HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n%d", i, i)
		}
	}
	go func() {
		for _, p := range split(input, 50) {
			_, _ = io.WriteString(c, p)
			time.Sleep(5 * time.Millisecond)
		}
	}()
	in := bufio.NewReader(c)
	for i := range requests {
		_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
		res, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatalf("response %d: %v", i, err)
		}
		body, _ := io.ReadAll(res.Body)
		if want := fmt.Sprint(i); string(body) != want || res.Header.Get("Path") != "/"+want {
			t.Errorf("response %d is %q to %s", i, body, res.Header.Get("Path"))
		}
	}
}
