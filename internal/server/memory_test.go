package server_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"currantpulley/internal/event"
	"currantpulley/internal/freshness"
	"currantpulley/internal/memory"
	"currantpulley/internal/server"
)

const accountBytes = 1 << 20

// startAccounted starts a server whose callers share accountBytes.
func startAccounted(t *testing.T, handler http.HandlerFunc, record func(event.Event)) (*server.Server, *memory.Account) {
	t.Helper()
	a := memory.New(accountBytes)
	s := startWith(t, server.Options{Limits: slowLimits, Handler: handler, Memory: a, Record: record})
	return s, a
}

// post writes the head of a request with a body of n bytes, and the part of it.
func post(c net.Conn, n, part int) {
	_, _ = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", n, strings.Repeat("x", part))
}

// statusOf reads the response on c, 0 if there is none.
func statusOf(c net.Conn) (status int, h http.Header) {
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, nil
	}
	_ = res.Body.Close()
	return res.StatusCode, res.Header
}

// Guards against bodies that stopped a byte short of their end and keep others out: they
// are refused as not run, one that goes on is served, and all memory is given back.
func TestStoppedBodiesMakeRoom(t *testing.T) {
	var runs, ended atomic.Int64
	s, a := startAccounted(t, func(_ http.ResponseWriter, r *http.Request) {
		if body, err := server.ReadBody(r); err == nil && len(body) == accountBytes/2 {
			runs.Add(1)
		}
	}, func(e event.Event) {
		if e.ID == event.CallerEnded && e.Detail == string(memory.Stalled) {
			ended.Add(1)
		}
	})
	stopped := dial(t, s.Address())
	post(stopped, accountBytes/2, accountBytes/2-1)
	for begin := time.Now(); a.Used() < accountBytes/2 && time.Since(begin) < 5*time.Second; {
		time.Sleep(time.Millisecond)
	}
	next := dial(t, s.Address())
	post(next, accountBytes/2, accountBytes/2)
	if got, _ := statusOf(next); got != http.StatusOK || runs.Load() != 1 {
		t.Errorf("status %d, %d runs", got, runs.Load())
	}
	got, h := statusOf(stopped)
	if got != http.StatusServiceUnavailable || h.Get("X-Effect") != "not-run" || h.Get("Retry-After") == "" || ended.Load() != 1 {
		t.Errorf("the stopped one got %d %v, %d events", got, h, ended.Load())
	}
	_ = next.Close()
	_ = stopped.Close()
	for begin := time.Now(); a.Used() > 0 && time.Since(begin) < 5*time.Second; {
		time.Sleep(time.Millisecond)
	}
	if a.Used() != 0 {
		t.Errorf("%d bytes are held without callers", a.Used())
	}
}

// Guards against new connections that are refused at once while others are being ended
// for them.
func TestNewConnectionsWaitForRoom(t *testing.T) {
	s, a := startAccounted(t, func(http.ResponseWriter, *http.Request) {}, nil)
	for _, body := range []int{600 << 10, 40 << 10, 40 << 10, 40 << 10, 40 << 10, 40 << 10, 40 << 10, 40 << 10} {
		before := a.Used()
		post(dial(t, s.Address()), body+1, body)
		eventually(t, "the body is held", func() bool { return a.Used() >= before+int64(body) })
	}
	time.Sleep(time.Second) // longer than a caller may be silent when memory is short
	c := dial(t, s.Address())
	post(c, 1, 1)
	if got, _ := statusOf(c); got != http.StatusOK {
		t.Errorf("status %d with %d bytes held", got, a.Used())
	}
}

// eventually waits until f holds.
func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !f(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within 5s: %s", what)
		}
	}
}

// Guards against announcements that keep others out.
func TestAnnouncedBodiesTakeNoMemory(t *testing.T) {
	s, a := startAccounted(t, func(http.ResponseWriter, *http.Request) {}, nil)
	for range 20 {
		post(dial(t, s.Address()), accountBytes, 1)
	}
	c := dial(t, s.Address())
	post(c, 1, 1)
	if got, _ := statusOf(c); got != http.StatusOK || a.Used() > accountBytes {
		t.Errorf("status %d, %d bytes held", got, a.Used())
	}
}

// Guards against connections that send nothing and keep new callers out.
func TestSilentConnectionsMakeRoom(t *testing.T) {
	s := startWith(t, server.Options{Handler: http.HandlerFunc(doNothing),
		Limits: func() server.Limits {
			l := slowLimits()
			l.MaxConnections = 10
			return l
		}})
	for range 10 {
		dial(t, s.Address())
	}
	time.Sleep(time.Second) // longer than a caller may be silent when connections are short
	c := dial(t, s.Address())
	post(c, 1, 1)
	if got, _ := statusOf(c); got != http.StatusOK {
		t.Errorf("status %d", got)
	}
}

// Guards against a step of the clock that makes all callers, or none, count as stopped:
// progress is told by the clock that no one sets.
func TestProgressIsNotToldByTheTimeOfDay(t *testing.T) {
	began := freshness.Time()
	s, a := startAccounted(t, func(http.ResponseWriter, *http.Request) {}, nil)
	c := dial(t, s.Address())
	post(c, 1, 1)
	if got, _ := statusOf(c); got != http.StatusOK {
		t.Fatalf("status %d", got)
	}
	if a.EndStopped(s, began) {
		t.Error("a caller that sent since counts as stopped")
	}
	for end := time.Now().Add(time.Second); !a.EndStopped(s, freshness.Time().Add(time.Minute)); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("a caller that sent nothing for a minute doesn't count as stopped")
		}
	}
}

// Guards against heads whose many short fields take far more memory than their bytes, and
// against refusing one that has as many as a head of 16 KB can hold.
func TestFieldsAreHeld(t *testing.T) {
	const short = "a:\r\n"
	var held atomic.Int64
	a := memory.New(64 << 20)
	limits := func() server.Limits {
		l := slowLimits()
		l.MaxHeader = 1 << 20
		return l
	}
	s := startWith(t, server.Options{Limits: limits, Memory: a,
		Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { held.Store(a.Used()) })})
	for _, tc := range []struct{ fields, want int }{
		{16 << 10 / len(short), http.StatusOK},
		{16<<10 - 1, http.StatusOK},
		{16 << 10, http.StatusRequestHeaderFieldsTooLarge},
	} {
		held.Store(0)
		c := dial(t, s.Address())
		_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat(short, tc.fields)+"\r\n")
		got, _ := statusOf(c)
		if got != tc.want || got == http.StatusOK && held.Load() < int64(tc.fields)*100 {
			t.Errorf("%d fields: status %d, %d bytes held", tc.fields, got, held.Load())
		}
	}
}

// Guards against heads whose reading costs the square of their size: each field that
// announces a trailer was removed from a copy of the whole head.
func TestHeadsCostTheirSize(t *testing.T) {
	const size, factor = 64 << 10, 64
	limits := func() server.Limits {
		l := slowLimits()
		l.MaxHeader = 2 * size
		return l
	}
	s := startWith(t, server.Options{Limits: limits, Handler: http.HandlerFunc(doNothing)})
	for field, want := range map[string]int{
		"Trailer: a\r\n":           http.StatusOK,
		"Content-Length: 0\r\n":    http.StatusBadRequest,
		"Transfer-Encoding: a\r\n": http.StatusBadRequest,
	} {
		c := dial(t, s.Address())
		head := "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat(field, size/len(field)) + "\r\n"
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		_, _ = io.WriteString(c, head)
		got, _ := statusOf(c)
		runtime.ReadMemStats(&after)
		if allocated := after.TotalAlloc - before.TotalAlloc; got != want || allocated > factor*size {
			t.Errorf("%q: status %d, %d bytes allocated", field, got, allocated)
		}
	}
}

// BenchmarkRequest measures a small request and its answer over a kept connection.
func BenchmarkRequest(b *testing.B) {
	s := startWith(b, server.Options{Limits: slowLimits,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = server.ReadBody(r)
			w.Header().Set("Content-Length", "1")
			_, _ = w.Write([]byte("x"))
		})})
	c, err := net.Dial("tcp", s.Address())
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	b.ReportAllocs()
	for b.Loop() {
		post(c, 2000, 2000)
		res, err := http.ReadResponse(in, nil)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, res.Body)
	}
}
