package gateway_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"currantpulley/internal/fake/spoiled"
)

var kinds = []string{"/once/", "/idempotent/", "/stream/", "/resumable/"}

// caller connects to the gateway.
func (f *fixture) caller(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", f.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	return c
}

// rawRequest returns the bytes of a request.
func rawRequest(method, path, id, body string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: 127.0.0.1\r\nId: %s\r\nKey: k\r\nContent-Length: %d\r\n\r\n%s", method, path, id, len(body), body)
}

// Guards against responses that are matched to the wrong request, or requests that
// run twice or not at all, when a caller sends the next request early.
func TestEarlyRequestsThroughTheGateway(t *testing.T) {
	u := spoiled.NewPeer(t, func(w io.Writer, r *http.Request, _ int) bool {
		id := r.Header.Get("Id")
		time.Sleep(5 * time.Millisecond)
		switch {
		case strings.HasPrefix(id, "failed"):
			writeResponse(w, http.StatusInternalServerError, id, id)
		case strings.HasPrefix(id, "refused"):
			writeResponse(w, http.StatusServiceUnavailable, id, "", "Not-Run", "yes")
		case strings.Contains(r.URL.Path, "stream"), strings.Contains(r.URL.Path, "resumable"):
			writeResponse(w, http.StatusOK, id, "id: 1\ndata: "+id+"\n\n")
		default:
			writeResponse(w, http.StatusOK, id, id)
		}
		return true
	})
	f := startRaw(t, u)
	for _, kind := range kinds {
		for _, pieces := range []int{1, 5, 60} {
			t.Run(fmt.Sprint(kind, pieces), func(t *testing.T) {
				c := f.caller(t)
				ids := []string{"a", "failed", "b", "refused", "c", "failed-2", "d"}
				input := ""
				for _, id := range ids {
					input += rawRequest(http.MethodPost, kind, id, "body of "+id)
				}
				go func() {
					size := len(input)/pieces + 1
					for len(input) > 0 {
						n := min(size, len(input))
						_, _ = io.WriteString(c, input[:n])
						input = input[n:]
						time.Sleep(time.Millisecond)
					}
				}()
				in := bufio.NewReader(c)
				for _, id := range ids {
					res, err := http.ReadResponse(in, nil)
					if err != nil {
						t.Fatalf("%s: %v", id, err)
					}
					body, err := io.ReadAll(res.Body)
					switch {
					case err != nil:
						t.Fatalf("%s: %v", id, err)
					case strings.HasPrefix(id, "refused"):
						if res.StatusCode != http.StatusServiceUnavailable {
							t.Errorf("%s: status %d", id, res.StatusCode)
						}
					case strings.HasPrefix(id, "failed") && res.StatusCode == http.StatusBadGateway: // no second upstream to try
					case res.Header.Get("Id") != id || !bytes.Contains(body, []byte(id)):
						t.Errorf("%s: status %d, %q for %q", id, res.StatusCode, body, res.Header.Get("Id"))
					}
				}
			})
		}
	}
}

// Guards against a call that runs a second time, or a promise, after its caller has
// left: the first upstream fails or refuses only then.
func TestNoSecondSendAfterTheCallerLeft(t *testing.T) {
	for _, kind := range kinds {
		for _, how := range []string{"close", "reset", "half-close"} {
			for _, failure := range []string{"cut", "refused", "failed", "other"} {
				t.Run(strings.Trim(kind, "/")+" "+how+" "+failure, func(t *testing.T) {
					t.Parallel()
					var sends atomic.Int64
					arrived, left := make(chan struct{}), make(chan struct{})
					u := func(w io.Writer, r *http.Request, _ int) bool {
						if sends.Add(1) > 1 {
							return false
						}
						close(arrived)
						<-left
						time.Sleep(100 * time.Millisecond)
						switch failure {
						case "refused":
							writeResponse(w, http.StatusServiceUnavailable, r.Header.Get("Id"), "", "Not-Run", "yes")
						case "failed":
							writeResponse(w, http.StatusInternalServerError, r.Header.Get("Id"), "")
						case "other":
							writeResponse(w, http.StatusServiceUnavailable, "somebody-else", "", "Not-Run", "yes")
						}
						return failure != "cut"
					}
					f := startRaw(t, spoiled.NewPeer(t, u), spoiled.NewPeer(t, u))
					c := f.caller(t)
					_, _ = io.WriteString(c, rawRequest(http.MethodPost, kind, "call", "body"))
					<-arrived
					tcp, ok := c.(*net.TCPConn)
					if !ok {
						t.Fatal("no TCP connection")
					}
					switch how {
					case "half-close":
						_ = tcp.CloseWrite()
						defer func() {
							if got, _ := io.ReadAll(c); len(got) > 0 {
								t.Errorf("%q", got)
							}
						}()
					case "reset":
						_ = tcp.SetLinger(0)
						_ = c.Close()
					default:
						_ = c.Close()
					}
					close(left)
					time.Sleep(250 * time.Millisecond)
					if sends.Load() != 1 {
						t.Errorf("%d sends", sends.Load())
					}
				})
			}
		}
	}
}

// Guards against bytes after a response that the caller takes for its next one, and
// against statuses, bodies and fields that the router changes.
func TestFramingOfUpstreamsResponses(t *testing.T) {
	const signed = "Id: call\r\nSigned: yes\r\n"
	for _, tc := range []struct {
		name, method, response string
		status                 int
		body                   string
	}{
		{"HEAD", "HEAD", "200 OK\r\n" + signed + "Content-Length: 5\r\n\r\n", 200, ""},
		{"HEAD, chunks", "HEAD", "200 OK\r\n" + signed + "Transfer-Encoding: chunked\r\n\r\n", 200, ""},
		{"HEAD, failed", "HEAD", "500 x\r\n" + signed + "Content-Length: 5\r\n\r\n", 500, ""},
		{"HEAD, of another", "HEAD", "200 OK\r\nId: x\r\nContent-Length: 5\r\n\r\n", 502, ""},
		{"204", "POST", "204 No Content\r\n" + signed + "\r\n", 204, ""},
		{"204 with a length", "POST", "204 No Content\r\n" + signed + "Content-Length: 0\r\n\r\n", 204, ""},
		{"304", "GET", "304 Not Modified\r\n" + signed + "Content-Length: 5\r\n\r\n", 304, ""},
		{"fields of the connection", "POST", "200 OK\r\n" + signed + "Connection: X-A, keep-alive\r\nX-A: 1\r\nKeep-Alive: timeout=5\r\nTrailer: X-T\r\nDate: Sun, 06 Nov 1994 08:49:37 GMT\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nX-T: 1\r\n\r\n", 200, "ab"},
		{"informational", "POST", "103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + signed + "Content-Length: 2\r\n\r\nab", 200, "ab"},
		{"unregistered failure", "POST", "520 x\r\n" + signed + "Content-Length: 2\r\n\r\nab", 520, "ab"},
		{"unregistered error", "POST", "420 x\r\n" + signed + "Content-Length: 2\r\n\r\nab", 420, "ab"},
		{"no length", "POST", "200 OK\r\n" + signed + "\r\nab", 200, "ab"},
		{"HTTP/1.0", "POST", "200 OK\r\n" + signed + "Content-Length: 2\r\n\r\nab", 200, "ab"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			version := "HTTP/1.1 "
			if tc.name == "HTTP/1.0" {
				version = "HTTP/1.0 "
			}
			u := spoiled.NewPeer(t, func(w io.Writer, r *http.Request, _ int) bool {
				if r.Header.Get("Id") == "next" {
					writeResponse(w, http.StatusOK, "next", "next")
					return true
				}
				_, _ = io.WriteString(w, version+tc.response)
				return tc.name != "no length"
			})
			c := startRaw(t, u).caller(t)
			_, _ = io.WriteString(c, rawRequest(tc.method, "/once/", "call", ""))
			in := bufio.NewReader(c)
			res, err := http.ReadResponse(in, &http.Request{Method: tc.method})
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(res.Body)
			if res.StatusCode != tc.status || err != nil || (tc.status != http.StatusBadGateway && string(body) != tc.body) {
				t.Errorf("status %d, %q, %v", res.StatusCode, body, err)
			}
			if res.Header.Get("X-A") != "" || res.Header.Get("Keep-Alive") != "" || len(res.Header["Date"]) != 1 || len(res.Trailer) != 0 {
				t.Errorf("%v", res.Header)
			}
			_, _ = io.WriteString(c, rawRequest(http.MethodPost, "/once/", "next", ""))
			res, err = http.ReadResponse(in, nil)
			if err != nil {
				t.Fatalf("next response: %v", err)
			}
			if body, _ := io.ReadAll(res.Body); string(body) != "next" {
				t.Errorf("next response: status %d, %q", res.StatusCode, body)
			}
		})
	}
}

// Guards against a request that outlasts its route's timeout, and an upstream's
// connection that stays open, after a response that switches protocols.
func TestUpstreamThatSwitchesProtocols(t *testing.T) {
	u := spoiled.NewPeer(t, func(w io.Writer, r *http.Request, _ int) bool {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 101 x\r\nId: %s\r\nSigned: yes\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\nab", r.Header.Get("Id"))
		return true
	})
	c := startRaw(t, u).caller(t)
	_ = c.SetDeadline(time.Now().Add(2 * time.Second)) // the route's timeout is 1 s
	_, _ = io.WriteString(c, rawRequest(http.MethodPost, "/once/", "call", ""))
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if res.StatusCode != http.StatusBadGateway {
		t.Errorf("status %d", res.StatusCode)
	}
}
