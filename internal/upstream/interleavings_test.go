package upstream

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

	"currantpulley/internal/fake/spoiled"
)

// unsteadyServer counts the requests that arrive by their id. Its connections are kept,
// closed or reset at random, also before and in the middle of a request, and it answers
// some requests before it has read their body.
type unsteadyServer struct {
	mu       sync.Mutex
	arrivals map[string]int
	spoiled  int // whole bodies that were not those of their requests
}

// bodyOf returns the body of the request called id.
func bodyOf(id string, repeats int) string { return strings.Repeat(id+";", repeats) }

// read reads the body of a request, which may be cut.
func (s *unsteadyServer) read(r *http.Request) {
	id := r.Header.Get("Id")
	body, err := io.ReadAll(r.Body)
	if err == nil && string(body) != bodyOf(id, len(body)/(len(id)+1)) {
		s.mu.Lock()
		s.spoiled++
		s.mu.Unlock()
	}
}

func (s *unsteadyServer) arrived(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals[id]++
}

func (s *unsteadyServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		if rand.N(8) == 0 {
			time.Sleep(time.Duration(rand.N(int64(2 * time.Millisecond))))
			return
		}
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		id := r.Header.Get("Id")
		s.arrived(id)
		early := rand.N(4) == 0
		if !early {
			s.read(r)
		}
		switch rand.N(6) {
		case 0:
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		case 1:
			return
		case 2:
			time.Sleep(time.Duration(rand.N(int64(3 * time.Millisecond))))
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 0\r\n\r\n", id)
		if rand.N(8) == 0 {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: extra\r\nContent-Length: 0\r\n\r\n")
		}
		if early {
			time.Sleep(time.Duration(rand.N(int64(20 * time.Millisecond))))
			s.read(r)
		}
	}
}

// Guards against an interleaving of net/http's transport in which a request goes out
// twice, or with other bytes, or although it was reported as not sent: connections that close at
// any moment, contexts that end at any moment, extra responses and discards.
func TestNoRequestArrivesTwiceOrUnseen(t *testing.T) {
	s := &unsteadyServer{arrivals: make(map[string]int)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	const callers, each = 16, 100
	transport := NewTransport()
	var mu sync.Mutex
	unsent := make(map[string]error)
	var all sync.WaitGroup
	for caller := range callers {
		all.Go(func() {
			for n := range each {
				id := fmt.Sprint(caller, "-", n)
				if err := sendAtRandom(t, transport, l.Addr().String(), id); err != nil && !Sent(err) {
					mu.Lock()
					unsent[id] = err
					mu.Unlock()
				}
			}
		})
	}
	all.Wait()
	time.Sleep(50 * time.Millisecond) // for what is still in the kernel's buffers
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, n := range s.arrivals {
		if n > 1 {
			t.Errorf("request %s arrived %d times", id, n)
		}
		if err := unsent[id]; err != nil {
			t.Errorf("request %s arrived and was reported as not sent: %v", id, err)
		}
	}
	if len(unsent) == 0 || len(s.arrivals) < callers*each/2 {
		t.Errorf("%d arrived, %d were not sent: the test shows nothing", len(s.arrivals), len(unsent))
	}
	if s.spoiled > 0 {
		t.Errorf("%d bodies were spoiled", s.spoiled)
	}
	t.Logf("%d of %d arrived, %d were not sent", len(s.arrivals), callers*each, len(unsent))
}

// sendAtRandom sends a request of a random kind whose context may end at any moment.
func sendAtRandom(t *testing.T, transport http.RoundTripper, address, id string) error {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	if rand.N(4) == 0 {
		timer := time.AfterFunc(time.Duration(rand.N(int64(time.Millisecond))), cancel)
		defer timer.Stop()
	}
	method, body := http.MethodGet, io.Reader(http.NoBody)
	switch rand.N(3) {
	case 0:
		repeats := rand.N(1 << 12)
		if rand.N(16) == 0 {
			repeats = 1 << 20 // more than the kernel buffers
		}
		method, body = http.MethodPost, strings.NewReader(bodyOf(id, repeats))
	case 1:
		method, body = http.MethodPost, io.NopCloser(strings.NewReader(bodyOf(id, 1)))
	}
	r := newRequest(ctx, t, method, address, body)
	r.Header.Set("Id", id)
	r.Header.Set("Idempotency-Key", id)
	reply, err := RoundTrip(transport, r)
	if err != nil {
		return err
	}
	if reply.Header.Get("Id") != id {
		reply.Discard()
		return nil
	}
	_, _ = io.Copy(io.Discard, reply.Body)
	return reply.Body.Close()
}

// A request that was given the connection of a response that is then discarded must be
// told whether a byte of it went out.
func TestDiscardedConnectionTellsItsNextRequestTheTruth(t *testing.T) {
	arrived := make(chan string, 4)
	address := spoiled.NewPeer(t, func(c io.Writer, _ *http.Request, number int) bool {
		arrived <- fmt.Sprint(number)
		if number == 1 {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: another\r\nContent-Length: 0\r\n\r\n")
		}
		return true
	}).Address
	transport := NewTransport()
	first, err := RoundTrip(transport, newRequest(t.Context(), t, http.MethodGet, address, http.NoBody))
	if err != nil {
		t.Fatal(err)
	}
	<-arrived
	result := make(chan error, 1)
	go func() {
		_, err := RoundTrip(transport, newRequest(t.Context(), t, http.MethodGet, address, http.NoBody)) //nolint:bodyclose // there is none
		result <- err
	}()
	if number := <-arrived; number != "2" {
		t.Fatalf("the second request was number %s of its connection, want 2", number)
	}
	first.Discard()
	if err := <-result; err == nil || !Sent(err) {
		t.Errorf("a request that arrived was reported as not sent: %v", err)
	}
	if len(arrived) > 0 {
		t.Error("the second request was sent again")
	}
}
