package daemon

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"currantpulley/internal/config"
	"currantpulley/internal/event"
)

// lastTime is the latest of the times that are told to it.
type lastTime struct {
	mu sync.Mutex
	at time.Time
}

func (l *lastTime) tell(t time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.After(l.at) {
		l.at = t
	}
}

// unanswered is a request that was sent whole and got no complete response.
type unanswered struct {
	sent time.Time
	kept bool // its connection had been accepted earlier
	err  error
}

// stopCallers are callers of a daemon that stops.
type stopCallers struct {
	address  string
	open     lastTime // the daemon's listener was open then
	accepted lastTime // connections that were established until then were accepted
	mu       sync.Mutex
	lost     []unanswered
}

// send sends a request and returns when it was sent whole.
func send(c net.Conn) (sent time.Time, err error) {
	_, err = fmt.Fprintf(c, "POST /stock HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 2\r\n\r\n{}", testKey)
	return time.Now(), err
}

// receive reads a response and returns whether it is the last of its connection.
func receive(in *bufio.Reader) (last bool, err error) {
	res, err := http.ReadResponse(in, nil)
	if err != nil {
		return false, err
	}
	defer func() { _ = res.Body.Close() }()
	_, err = io.Copy(io.Discard, res.Body)
	return res.Close, err
}

// use sends one request after the other until a response is the last.
func (s *stopCallers) use(c net.Conn) error {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for answered := 0; ; answered++ {
		sent, err := send(c)
		if err != nil {
			return err // it wasn't sent whole
		}
		last, err := receive(in)
		if err != nil {
			s.lose(unanswered{sent: sent, kept: answered > 0, err: err})
		}
		if err != nil || last {
			return err
		}
	}
}

func (s *stopCallers) lose(u unanswered) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost = append(s.lost, u)
}

// reconnectPause is the time after which a caller whose connection ended connects again.
const reconnectPause = 50 * time.Millisecond

// call uses one connection after the other until none can be established.
func (s *stopCallers) call() {
	for {
		began := time.Now()
		c, err := net.Dial("tcp", s.address)
		if err != nil {
			return
		}
		s.open.tell(began)
		if s.use(c) == nil {
			s.accepted.tell(began)
		}
		time.Sleep(reconnectPause)
	}
}

// sendLate sends a request on each of the kept connections, and then looks whether the
// daemon's listener is still open. The responses are read after it has returned.
func (s *stopCallers) sendLate(kept []net.Conn, wg *sync.WaitGroup) {
	for _, k := range kept {
		sent, err := send(k)
		if err != nil {
			continue // it wasn't sent whole
		}
		wg.Go(func() {
			defer func() { _ = k.Close() }()
			if _, err := receive(bufio.NewReader(k)); err != nil {
				s.lose(unanswered{sent: sent, kept: true, err: err})
			}
		})
	}
	began := time.Now()
	if probe, err := net.Dial("tcp", s.address); err == nil {
		s.open.tell(began)
		_ = probe.Close()
	}
}

// check reports requests that were sent whole before the listener was closed and got no
// response.
func (s *stopCallers) check(t *testing.T) {
	t.Helper()
	for _, u := range s.lost {
		owed := u.sent.Before(s.accepted.at) || u.kept && u.sent.Before(s.open.at)
		if owed {
			t.Errorf("a request got no response (connection kept: %v): %v", u.kept, u.err)
		}
	}
}

// onEvent calls a function for one kind of event.
type onEvent struct {
	id event.ID
	do func()
}

func (o onEvent) Record(e event.Event) {
	if e.ID == o.id {
		o.do()
	}
}

// Guards against requests that a stopping daemon has accepted and never answers. Some
// callers are busy all the time, others send a request on a kept connection when the
// daemon has seen that no request is in progress.
func TestStopAnswersAllRequests(t *testing.T) {
	const busy, late = 20, 60
	upstream := newRawUpstream(t, func(w io.Writer, r *http.Request, _ int) bool {
		writeRaw(w, http.StatusOK, r.Header.Get("X-Request-Id"), "{}")
		return true
	})
	c := testConfig(nil, []string{upstream.address})
	c.Caller.MaxConnections = 1000
	c.Caller.ReadTimeout = config.Duration(time.Minute)
	var callers stopCallers
	var kept []net.Conn
	var wg sync.WaitGroup
	lateRequests := onEvent{id: event.DaemonStopped, do: func() { callers.sendLate(kept, &wg) }}
	d, err := Start(context.Background(), testSettings(), WithConfig(7, c), WithRecorder(lateRequests))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Kill)
	callers.address = d.Address()
	for range late {
		k, err := net.Dial("tcp", d.Address())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := send(k); err != nil {
			t.Fatal(err)
		}
		if _, err := receive(bufio.NewReader(k)); err != nil {
			t.Fatal(err)
		}
		kept = append(kept, k)
	}
	for range busy {
		wg.Go(callers.call)
	}
	if err := d.Stop(context.Background()); err != nil {
		t.Error(err)
	}
	wg.Wait()
	callers.check(t)
}
