package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"currantpulley/internal/fake/spoiled"
)

// goneSlack is the time after a caller has left within which its request ends.
const goneSlack = 500 * time.Millisecond

// writeAndLeave sends text and the end of the connection in one segment.
func writeAndLeave(t *testing.T, c net.Conn, text string) {
	t.Helper()
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		t.Fatal("no TCP connection")
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	err = raw.Control(func(fd uintptr) {
		if err := unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_CORK, 1); err != nil {
			t.Error(err)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(c, text)
	_ = c.Close()
}

// leave ends a connection as how says.
func leave(c net.Conn, how string) {
	if tcp, ok := c.(*net.TCPConn); ok && how == "reset" {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// Guards against requests that are sent on although their callers had left before they
// were read, as happens on a busy machine.
func TestRequestOfACallerThatHasLeftIsNotSent(t *testing.T) {
	const callers = 40
	for _, processors := range []int{1, runtime.GOMAXPROCS(0)} {
		for _, kind := range kinds {
			for _, size := range []int{4, 6000} {
				t.Run(fmt.Sprint(strings.Trim(kind, "/"), " ", size, " on ", processors), func(t *testing.T) {
					defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(processors))
					var sends atomic.Int64
					f := startRaw(t, spoiled.NewPeer(t, func(w io.Writer, r *http.Request, _ int) bool {
						sends.Add(1)
						writeResponse(w, http.StatusOK, r.Header.Get("Id"), "")
						return true
					}))
					for i := range callers {
						writeAndLeave(t, f.caller(t), rawRequest(http.MethodPost, kind, fmt.Sprint("call-", i), strings.Repeat("b", size)))
					}
					time.Sleep(200 * time.Millisecond)
					if n := sends.Load(); n > 0 {
						t.Errorf("%d of %d requests were sent", n, callers)
					}
				})
			}
		}
	}
}

// Guards against upstreams that work on for callers who have left after they had sent
// bytes of their next request early.
func TestWorkEndsWhenACallerThatHasSentEarlyLeaves(t *testing.T) {
	for _, kind := range kinds {
		for _, how := range []string{"close", "reset"} {
			for _, streams := range []bool{false, true} {
				for _, early := range []int{0, 100, 2000, 6000, 60_000} {
					t.Run(fmt.Sprintf("%s %s streams %t early %d", strings.Trim(kind, "/"), how, streams, early), func(t *testing.T) {
						t.Parallel()
						began, ended := make(chan struct{}), make(chan time.Time, 1)
						r := newReplica(t, func(w http.ResponseWriter, req *http.Request) {
							_, _ = io.Copy(io.Discard, req.Body) // net/http detects a disconnect only after the body was read
							if streams {
								writeEvents(w, 1, 2)
								_ = http.NewResponseController(w).Flush()
							}
							close(began)
							<-req.Context().Done()
							ended <- time.Now()
						})
						f := start(t, r)
						f.extendTimeouts()
						c := f.caller(t)
						next := rawRequest(http.MethodPost, kind, "next", strings.Repeat("b", early))
						_, _ = io.WriteString(c, rawRequest(http.MethodPost, kind, "call", "body")+next[:min(early, len(next))])
						<-began
						time.Sleep(50 * time.Millisecond)
						leave(c, how)
						left := time.Now()
						select {
						case at := <-ended:
							if took := at.Sub(left); took > goneSlack {
								t.Errorf("the work ended after %v", took)
							}
						case <-time.After(2 * time.Second):
							t.Error("the work goes on")
						}
					})
				}
			}
		}
	}
}

// Guards against work that goes on, and requests that are sent late, for callers who
// leave all at once.
func TestWorkEndsWhenManyCallersLeaveAtOnce(t *testing.T) {
	const callers = 60
	for _, kind := range kinds {
		t.Run(strings.Trim(kind, "/"), func(t *testing.T) {
			defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
			var began, ended sync.WaitGroup
			var late atomic.Int64
			left := make(chan time.Time)
			began.Add(callers)
			ended.Add(callers)
			r := newReplica(t, func(_ http.ResponseWriter, req *http.Request) {
				defer ended.Done()
				_, _ = io.Copy(io.Discard, req.Body)
				began.Done()
				<-req.Context().Done()
				if time.Since(<-left) > goneSlack {
					late.Add(1)
				}
			})
			f := start(t, r)
			f.extendTimeouts()
			var open []net.Conn
			for i := range callers {
				c := f.caller(t)
				_, _ = io.WriteString(c, rawRequest(http.MethodPost, kind, fmt.Sprint("call-", i), "body"))
				open = append(open, c)
			}
			began.Wait()
			at := time.Now()
			for _, c := range open {
				_ = c.Close()
			}
			go func() {
				for range callers {
					left <- at
				}
			}()
			ended.Wait()
			if n := late.Load(); n > 0 {
				t.Errorf("%d of %d were worked on for longer than %v", n, callers, goneSlack)
			}
		})
	}
}
