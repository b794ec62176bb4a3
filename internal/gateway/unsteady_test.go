package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"currantpulley/internal/catalog"
)

// oneEvent is the body of each answer.
const oneEvent = "id: 1\ndata: x\n\n"

// unsteadyUpstreams are upstreams that close and reset connections, refuse, fail, answer
// late or in the name of others, at random. They know which requests ran.
type unsteadyUpstreams struct {
	mu       sync.Mutex
	arrivals map[string]int
	runs     map[string]int
}

// unsteadyUpstream is one of them.
type unsteadyUpstream struct {
	*unsteadyUpstreams
	last string // id of an earlier request here
}

// arrived counts a request, which runs or is refused, and returns the id of an
// earlier one.
func (u *unsteadyUpstream) arrived(id string, runs bool) (earlier string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.arrivals[id]++
	if runs {
		u.runs[id]++
	}
	earlier, u.last = u.last, id
	return earlier
}

// listen starts an upstream and returns its address.
func (u *unsteadyUpstreams) listen(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	one := &unsteadyUpstream{unsteadyUpstreams: u}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go one.serve(c)
		}
	}()
	return l.Addr().String()
}

func (u *unsteadyUpstream) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for rand.N(20) > 0 {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		id := r.Header.Get("Id")
		if rand.N(8) > 0 {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		if !u.answer(c, id) {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
	}
}

// answer answers a request in one of many ways and reports whether the connection is
// kept.
func (u *unsteadyUpstream) answer(c net.Conn, id string) bool {
	fault := rand.N(14)
	earlier := u.arrived(id, fault != 0 && fault != 1)
	switch fault {
	case 0: // refused
		_, _ = fmt.Fprintf(c, "HTTP/1.1 503 x\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", id)
	case 1: // refused, and the connection ends
		_, _ = fmt.Fprintf(c, "HTTP/1.1 429 x\r\nId: %s\r\nNot-Run: 1\r\nConnection: close\r\nContent-Length: 2\r\n\r\nno", id)
		return false
	case 2: // ran, and another request's refusal comes first
		_, _ = fmt.Fprintf(c, "HTTP/1.1 503 x\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", earlier)
		writeResponse(c, http.StatusOK, id, oneEvent)
	case 3: // ran, and another request's refusal comes after the answer
		writeResponse(c, http.StatusOK, id, oneEvent)
		time.Sleep(time.Duration(rand.N(int64(time.Millisecond))))
		_, _ = fmt.Fprintf(c, "HTTP/1.1 421 x\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", earlier)
	case 4: // ran, with a status that promises the contrary
		writeResponse(c, []int{408, 421, 429, 503}[rand.N(4)], id, "")
	case 5: // ran, and the connection is reset
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	case 6: // ran, and the connection is closed
		return false
	case 7: // ran, and the answer is cut
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 x\r\nId: %s\r\nSigned: yes\r\nContent-Length: 90\r\n\r\n%s", id, oneEvent[:rand.N(len(oneEvent)+1)])
		return false
	case 8: // ran and failed
		writeResponse(c, http.StatusInternalServerError, id, "failed")
	case 9: // ran, without an answer in time
		time.Sleep(time.Duration(rand.N(int64(40 * time.Millisecond))))
	default:
		writeResponse(c, http.StatusOK, id, oneEvent)
	}
	return true
}

// Guards against a call that runs twice, and against a promise for one that ran, in
// any mixture of faults that upstreams, connections and callers have.
func TestPromisesHoldInAnyMixtureOfFaults(t *testing.T) {
	const upstreams, callers, each = 6, 12, 60
	u := &unsteadyUpstreams{arrivals: make(map[string]int), runs: make(map[string]int)}
	f := startRaw(t)
	for i := range upstreams {
		f.watcher.PutUpstream(&catalog.Upstream{ID: fmt.Sprint("u", i), Service: "s", Address: u.listen(t), Slots: 8})
	}
	var mu sync.Mutex
	promised, answers := make(map[string]int), make(map[int]int)
	var all sync.WaitGroup
	for caller := range callers {
		all.Go(func() {
			for n := range each {
				id := fmt.Sprint([]string{"once-", "idempotent-", "stream-", "resumable-"}[rand.N(4)], caller, "-", n)
				status := f.sendUnsteadily(t, id)
				mu.Lock()
				answers[status]++
				if promises(status) {
					promised[id] = status
				}
				mu.Unlock()
			}
		})
	}
	all.Wait()
	time.Sleep(50 * time.Millisecond) // for what is still in the kernel's buffers
	u.mu.Lock()
	defer u.mu.Unlock()
	repeats := 0
	for id, n := range u.arrivals {
		repeats += n - 1
		once := strings.HasPrefix(id, "once-") || strings.HasPrefix(id, "stream-")
		if once && u.runs[id] > 1 || u.runs[id] > 2 {
			t.Errorf("call %s ran %d times", id, u.runs[id])
		}
		if promised[id] != 0 && u.runs[id] > 0 {
			t.Errorf("request %s ran %d times and got status %d", id, u.runs[id], promised[id])
		}
	}
	const bound = 0.2*callers*each + 100 // of the fixture's budget
	if repeats > bound {
		t.Errorf("%d repeats of %d requests, want at most %.0f", repeats, callers*each, bound)
	}
	if answers[http.StatusOK] == 0 || len(promised) == 0 || repeats == 0 {
		t.Errorf("%d promises and %d repeats, statuses %v: the test shows nothing", len(promised), repeats, answers)
	}
	t.Logf("%d repeats, %d promises, statuses %v", repeats, len(promised), answers)
}

// sendUnsteadily sends the request called id, whose caller may leave at any moment, and
// returns the status of the response, 0 if there is none.
func (f *fixture) sendUnsteadily(t *testing.T, id string) int {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	if rand.N(10) == 0 {
		timer := time.AfterFunc(time.Duration(rand.N(int64(5*time.Millisecond))), cancel)
		defer timer.Stop()
	}
	kind, _, _ := strings.Cut(id, "-")
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.address+"/"+kind+"/", strings.NewReader(strings.Repeat("x", rand.N(1<<16))))
	if err != nil {
		t.Error(err)
		return 0
	}
	req.Header = http.Header{"Id": {id}, "Key": {"k"}, "Budget": {fmt.Sprint(1 + rand.N(60))}, "Idempotency-Key": {id}}
	res, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = res.Body.Close() }()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode
}
