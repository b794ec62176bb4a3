package server_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"currantpulley/internal/server"
)

// readAll sends input over c and returns all bytes that come back until the
// connection ends or is silent for 200 ms.
func readAll(t *testing.T, c net.Conn, input string) string {
	t.Helper()
	if _, err := io.WriteString(c, input); err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	data, _ := io.ReadAll(c)
	return string(data)
}

// Guards against bytes that the caller takes for the response to its next request:
// a response to HEAD and one with status 204 or 304 have no body.
func TestResponsesWithoutBody(t *testing.T) {
	for _, tc := range []struct{ method, path string }{
		{"HEAD", "/200"}, {"HEAD", "/200/length"}, {"HEAD", "/503/length"}, {"GET", "/204"}, {"GET", "/204/length"}, {"GET", "/304"}, {"GET", "/304/length"},
	} {
		t.Run(tc.method+tc.path, func(t *testing.T) {
			c := startServer(t, func(w http.ResponseWriter, r *http.Request) {
				const body = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
				if strings.HasSuffix(r.URL.Path, "/length") {
					w.Header().Set("Content-Length", fmt.Sprint(len(body)))
				}
				var status int
				_, _ = fmt.Sscanf(r.URL.Path, "/%d", &status)
				w.WriteHeader(status)
				_, _ = io.WriteString(w, body)
			})
			got := readAll(t, c, tc.method+" "+tc.path+" HTTP/1.1\r\nHost: h\r\n\r\n")
			if !strings.HasSuffix(got, "\r\n\r\n") || strings.Count(got, "\r\n\r\n") != 1 {
				t.Errorf("%q", got)
			}
			if strings.HasPrefix(got, "HTTP/1.1 204") && strings.Contains(got, "Content-Length") {
				t.Errorf("status 204 with a length: %q", got)
			}
		})
	}
}

// Guards against a failure with an unregistered status that reaches the caller as
// 200.
func TestUnregisteredStatusIsKept(t *testing.T) {
	for _, status := range []int{299, 420, 520, 599, 600, 999} {
		c := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = io.WriteString(w, "x")
		})
		if res := get(t, c, "/"); res.StatusCode != status {
			t.Errorf("status %d became %d", status, res.StatusCode)
		}
	}
}

// Guards against a response that is cut, or goes on after its length, at a caller
// that knows no chunks.
func TestStreamToHTTP10(t *testing.T) {
	for _, connection := range []string{"close", "keep-alive"} {
		c := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
			for i := range 3 {
				_, _ = fmt.Fprintf(w, "event %d\n", i)
			}
		})
		request, _ := http.NewRequest(http.MethodGet, "http://h/", http.NoBody)
		_, _ = io.WriteString(c, "GET / HTTP/1.0\r\nHost: h\r\nConnection: "+connection+"\r\n\r\n")
		_ = c.SetReadDeadline(time.Now().Add(time.Second))
		res, err := http.ReadResponse(bufio.NewReader(c), request)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(res.Body)
		if string(body) != "event 0\nevent 1\nevent 2\n" || err != nil || len(res.TransferEncoding) != 0 || !res.Close {
			t.Errorf("%s: %q %v, %v", connection, body, err, res.Header)
		}
	}
}

// Guards against a cut response that looks complete to a caller that takes the end
// of the connection for that of the body.
func TestCutStreamToHTTP10IsReset(t *testing.T) {
	for _, cut := range []string{"abort", "close"} {
		written := make(chan struct{})
		s := startWith(t, server.Options{Limits: testLimits, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.WriteString(w, "event 0\n")
			close(written)
			time.Sleep(20 * time.Millisecond)
			if sw, ok := w.(*server.Writer); ok && cut == "abort" {
				sw.Abort()
			}
			<-r.Context().Done()
		})})
		c := dial(t, s.Address())
		_, _ = io.WriteString(c, "GET / HTTP/1.0\r\nHost: h\r\n\r\n")
		<-written
		if cut == "close" {
			time.AfterFunc(20*time.Millisecond, s.Close)
		}
		_ = c.SetReadDeadline(time.Now().Add(time.Second))
		data, err := io.ReadAll(c)
		if !strings.Contains(string(data), "event 0") || !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("%s: %q ends with %v, want a reset", cut, data, err)
		}
	}
}

// Guards against a response whose body is shorter or longer than its length and
// whose connection goes on.
func TestResponseOfAnotherLengthEndsTheConnection(t *testing.T) {
	for _, body := range []string{"ab", "abcd"} {
		c := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "3")
			_, _ = io.WriteString(w, body)
		})
		got := readAll(t, c, "GET / HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n")
		if strings.Count(got, "HTTP/1.1") > 1 || strings.HasSuffix(got, "abcd") {
			t.Errorf("body %q: %q", body, got)
		}
	}
}

// Guards against a field of the connection being set twice or a value that ends the
// head early.
func TestFieldsOfAResponse(t *testing.T) {
	c := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Date", "Sun, 06 Nov 1994 08:49:37 GMT")
		w.Header().Set("X-A", "a\r\n\r\nb")
		w.Header().Set("Transfer-Encoding", "chunked")
		w.Header().Set("Content-Length", "4")
		if sw, ok := w.(*server.Writer); ok {
			sw.CloseAfter()
		}
		_, _ = io.WriteString(w, "body")
	})
	res := get(t, c, "/")
	if len(res.Header["Date"]) != 1 || len(res.Header["X-A"]) != 1 || !res.Close || res.ContentLength != 4 || len(res.TransferEncoding) != 0 {
		t.Errorf("%v %v", res, res.TransferEncoding)
	}
}

// Guards against a caller that waits for ever after a handler's panic.
func TestPanicEndsTheConnection(t *testing.T) {
	c := startServer(t, func(http.ResponseWriter, *http.Request) { panic("handler") })
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	_ = c.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := c.Read(make([]byte, 1)); err == nil || os.IsTimeout(err) {
		t.Errorf("the connection is open: %v", err)
	}
}
