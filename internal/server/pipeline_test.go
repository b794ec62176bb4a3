package server_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"currantpulley/internal/server"
)

// Guards against a request that runs although its connection was cut, because it was
// sent early.
func TestEarlyRequestsAreDroppedAfterAnAbort(t *testing.T) {
	var runs atomic.Int64
	c := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		if sw, ok := w.(*server.Writer); ok {
			sw.Abort()
		}
	})
	got := readAll(t, c, strings.Repeat(second, 3))
	if runs.Load() != 1 || got != "" {
		t.Errorf("%d requests ran, responses %q", runs.Load(), got)
	}
}

// Guards against requests that were read and get no response, as the response
// before them was to be the last.
func TestEarlyRequestsAreAnsweredBeforeTheEnd(t *testing.T) {
	for _, early := range []int{0, 2} { // of the other two requests, those that come together with the first
		c := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
			if sw, ok := w.(*server.Writer); ok {
				sw.CloseAfter()
			}
			time.Sleep(30 * time.Millisecond)
		})
		_, _ = io.WriteString(c, strings.Repeat(second, 1+early))
		time.Sleep(10 * time.Millisecond)
		got := readAll(t, c, strings.Repeat(second, 2-early))
		if strings.Count(got, "HTTP/1.1 200 OK\r\n") != 3 || strings.Count(got, "Connection: close") != 1 {
			t.Errorf("%q", got)
		}
	}
}

// Guards against a last response that is cut, because the connection is reset when
// more bytes of the caller arrive before the caller has read it.
func TestLastResponseSurvivesEarlyRequests(t *testing.T) {
	const size = 1 << 20
	for _, early := range []int{0, 1, 200} {
		s := startWith(t, server.Options{Limits: testLimits, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if sw, ok := w.(*server.Writer); ok {
				sw.CloseAfter()
			}
			_, _ = w.Write(make([]byte, size))
		})})
		c := dial(t, s.Address())
		_, _ = io.WriteString(c, second)
		time.Sleep(20 * time.Millisecond) // the kernel has accepted the response by now
		_, _ = io.WriteString(c, strings.Repeat(second, early))
		time.Sleep(20 * time.Millisecond)
		_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Errorf("%d early requests: %v", early, err)
			continue
		}
		if n, err := io.Copy(io.Discard, res.Body); n != size || err != nil {
			t.Errorf("%d early requests: %d of %d bytes, %v", early, n, size, err)
		}
	}
}

// Guards against an upstream that works on for a caller who left after sending its
// next request.
func TestCallerThatLeavesAfterAnEarlyRequest(t *testing.T) {
	for _, early := range []string{"", second, second[:9], "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabc"} {
		for _, how := range []string{"close", "reset"} {
			t.Run(fmt.Sprintf("%s after %d", how, len(early)), func(t *testing.T) {
				cancelled, runs := make(chan struct{}, 1), atomic.Int64{}
				c := startServer(t, func(w http.ResponseWriter, r *http.Request) {
					runs.Add(1)
					select {
					case <-r.Context().Done():
						cancelled <- struct{}{}
					case <-time.After(time.Second):
					}
				})
				_, _ = io.WriteString(c, "POST /a HTTP/1.1\r\nHost: h\r\n\r\n"+early)
				time.Sleep(20 * time.Millisecond)
				if t, ok := c.(*net.TCPConn); ok && how == "reset" {
					_ = t.SetLinger(0)
				}
				_ = c.Close()
				select {
				case <-cancelled:
				case <-time.After(500 * time.Millisecond):
					t.Error("the request is not cancelled")
				}
				time.Sleep(20 * time.Millisecond)
				if runs.Load() != 1 {
					t.Errorf("%d requests ran", runs.Load())
				}
			})
		}
	}
}

// A caller that closes its sending side counts as gone: the server can't tell it
// from one that closed the connection.
func TestHalfCloseCancels(t *testing.T) {
	cancelled := make(chan struct{})
	c := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(cancelled)
	})
	_, _ = io.WriteString(c, second)
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
	select {
	case <-cancelled:
	case <-time.After(time.Second):
		t.Error("not cancelled")
	}
}

// Guards against writes that go on after the caller reset its connection, or that
// wait for a caller that reads nothing for longer than the write timeout.
func TestWritesToACallerThatDoesNotRead(t *testing.T) {
	for _, how := range []string{"silent", "reset"} {
		failed := make(chan error, 1)
		c := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
			part := make([]byte, 1<<20)
			for {
				if _, err := w.Write(part); err != nil {
					failed <- err
					return
				}
			}
		})
		_, _ = io.WriteString(c, second)
		time.Sleep(10 * time.Millisecond)
		if t, ok := c.(*net.TCPConn); ok && how == "reset" {
			_ = t.SetLinger(0)
			_ = c.Close()
		}
		select {
		case err := <-failed:
			if how == "reset" && !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) {
				t.Errorf("%v", err)
			}
		case <-time.After(time.Second):
			t.Errorf("%s: the write goes on", how)
		}
	}
}

// Guards against connections that use up file descriptors after their callers have
// gone, until the garbage collector closes them.
func TestConnectionIsClosedAfterItsCaller(t *testing.T) {
	address, _ := startRecording(t, testLimits)
	for _, sent := range []string{"", second, second[:9]} {
		c := dial(t, address)
		_, _ = io.WriteString(c, sent)
		time.Sleep(10 * time.Millisecond)
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.CloseWrite()
		}
		_ = c.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
		if _, err := io.Copy(io.Discard, c); err != nil {
			t.Errorf("after %q: %v", sent, err)
		}
	}
}
