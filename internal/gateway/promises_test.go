package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"currantpulley/internal/catalog"
	"currantpulley/internal/fake/spoiled"
)

// writeResponse writes a signed response to the request called id.
func writeResponse(w io.Writer, status int, id, body string, header ...string) {
	var h strings.Builder
	for i := 0; i+1 < len(header); i += 2 {
		fmt.Fprintf(&h, "%s: %s\r\n", header[i], header[i+1])
	}
	_, _ = fmt.Fprintf(w, "HTTP/1.1 %d x\r\nId: %s\r\nSigned: yes\r\n%sContent-Length: %d\r\n\r\n%s", status, id, h.String(), len(body), body)
}

// startRaw runs a gateway in front of raw upstreams.
func startRaw(t *testing.T, upstreams ...*spoiled.Peer) *fixture {
	t.Helper()
	f := start(t)
	for i, u := range upstreams {
		f.watcher.PutUpstream(&catalog.Upstream{ID: fmt.Sprint("raw", i), Service: "s", Address: u.Address, Slots: 8})
	}
	return f
}

// send sends a request without a body and returns the status of its response, 0
// if there is none.
func (f *fixture) send(t *testing.T, method, path, id string, header ...string) int {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+f.address+path, http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Id", id)
	req.Header.Set("Key", "k")
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	res, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = res.Body.Close() }()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode
}

// promises reports whether a status tells the caller that its request did not run.
func promises(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable ||
		status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
}

// Guards against calls that ran twice, or were refused as not run, because a late
// response of another request on a kept connection stated that it had not run.
func TestNotRunOfAnotherRequestIsNotBelieved(t *testing.T) {
	late := func(w io.Writer, r *http.Request, number int) bool {
		if number == 2 {
			writeResponse(w, http.StatusServiceUnavailable, "somebody-else", "", "Not-Run", "yes")
		}
		writeResponse(w, http.StatusOK, r.Header.Get("Id"), "done")
		return true
	}
	a, b := spoiled.NewPeer(t, late), spoiled.NewPeer(t, late)
	f := startRaw(t, a, b)
	for i := range 12 {
		before := a.Calls.Load() + b.Calls.Load()
		status := f.send(t, http.MethodPost, "/once/", fmt.Sprint("call-", i))
		if runs := a.Calls.Load() + b.Calls.Load() - before; runs != 1 {
			t.Errorf("call %d ran %d times", i, runs)
		}
		if promises(status) {
			t.Errorf("call %d ran and got status %d", i, status)
		}
	}
}

// Guards against the responses of one connection being taken for those of the
// request before, one after the other, once an extra response came.
func TestConnectionWithAnotherRequestsResponseIsClosed(t *testing.T) {
	u := spoiled.NewPeer(t, func(w io.Writer, r *http.Request, number int) bool {
		if number == 2 {
			writeResponse(w, http.StatusOK, "somebody-else", "")
		}
		writeResponse(w, http.StatusOK, r.Header.Get("Id"), "")
		return true
	})
	f := startRaw(t, u)
	var statuses []int
	for i := range 4 {
		statuses = append(statuses, f.send(t, http.MethodPost, "/once/", fmt.Sprint("call-", i)))
	}
	if want := []int{200, 502, 200, 502}; fmt.Sprint(statuses) != fmt.Sprint(want) || u.Conns.Load() != 2 {
		t.Errorf("statuses %v over %d connections, want %v over 2", statuses, u.Conns.Load(), want)
	}
}

// Guards against a call that ran and whose caller is told that it did not, since
// the upstream's own failure has a status that says so.
func TestPromiseWithoutProofIsNotPassedOn(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		for _, path := range []string{"/once/", "/stream/", "/idempotent/"} {
			u := spoiled.NewPeer(t, func(w io.Writer, r *http.Request, _ int) bool {
				writeResponse(w, status, r.Header.Get("Id"), "failed", "Retry-After", "1")
				return true
			})
			if got := startRaw(t, u).send(t, http.MethodPost, path, "call"); got != http.StatusBadGateway {
				t.Errorf("%s: status %d of an upstream that ran the request became %d", path, status, got)
			}
		}
	}
}

// Guards against calls that net/http sends again, unseen by the retry budget, when
// a kept connection closes after a request was written.
func TestTransportSendsNoRequestTwice(t *testing.T) {
	closing := func(w io.Writer, r *http.Request, number int) bool {
		if number == 1 {
			writeResponse(w, http.StatusOK, r.Header.Get("Id"), "")
		}
		return number == 1
	}
	for _, tc := range []struct {
		name, method, path string
		header             []string
	}{
		{"idempotency key", http.MethodPost, "/once/", []string{"Idempotency-Key", "1"}},
		{"other idempotency key", http.MethodPost, "/once/", []string{"X-Idempotency-Key", "1"}},
		{"GET", http.MethodGet, "/once/", nil},
		{"HEAD", http.MethodHead, "/once/", nil},
		{"OPTIONS", http.MethodOptions, "/once/", nil},
		{"repeatable GET", http.MethodGet, "/idempotent/", nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			u := spoiled.NewPeer(t, closing)
			f := startRaw(t, u)
			if status := f.send(t, tc.method, tc.path, "first", tc.header...); status != http.StatusOK {
				t.Fatalf("status %d", status)
			}
			status := f.send(t, tc.method, tc.path, "second", tc.header...)
			if status != http.StatusBadGateway || u.Calls.Load() != 2 {
				t.Errorf("status %d after %d runs, want 502 after 2", status, u.Calls.Load())
			}
		})
	}
}

// Guards against a refusal of a second send by net/http that is taken for the proof
// that the first did not run.
func TestRefusalOfAResentCallIsNoProof(t *testing.T) {
	u := spoiled.NewPeer(t, func(w io.Writer, r *http.Request, number int) bool {
		if r.Header.Get("Id") == "second" && number == 1 {
			writeResponse(w, http.StatusServiceUnavailable, "second", "", "Not-Run", "yes")
			return true
		}
		if number == 1 {
			writeResponse(w, http.StatusOK, r.Header.Get("Id"), "")
		}
		return number == 1
	})
	f := startRaw(t, u)
	f.send(t, http.MethodPost, "/once/", "first", "Idempotency-Key", "1")
	if status := f.send(t, http.MethodPost, "/once/", "second", "Idempotency-Key", "1"); promises(status) {
		t.Errorf("a call that may have run got status %d", status)
	}
}

// An upstream's own statement about its request is a proof.
func TestNotRunOfTheRequestIsBelieved(t *testing.T) {
	refusing := spoiled.NewPeer(t, func(w io.Writer, r *http.Request, _ int) bool {
		writeResponse(w, http.StatusServiceUnavailable, r.Header.Get("Id"), "", "Not-Run", "yes")
		return true
	})
	if status := startRaw(t, refusing).send(t, http.MethodPost, "/once/", "call"); status != http.StatusServiceUnavailable {
		t.Errorf("status %d", status)
	}
}

// Guards against a response that hands the connection over to another protocol,
// which the caller did not ask for, and that never ends.
func TestSwitchOfProtocolsIsNoResponse(t *testing.T) {
	u := spoiled.NewPeer(t, func(w io.Writer, r *http.Request, _ int) bool {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 101 x\r\nId: %s\r\nSigned: yes\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n", r.Header.Get("Id"))
		return true
	})
	began := time.Now()
	status := startRaw(t, u).send(t, http.MethodPost, "/once/", "call")
	if took := time.Since(began); status != http.StatusBadGateway || took > 500*time.Millisecond {
		t.Errorf("status %d after %v, want 502 at once", status, took)
	}
}

// Guards against a HEAD response whose length is not that of the upstream's.
func TestHeadResponseKeepsItsLength(t *testing.T) {
	for _, tc := range []struct{ line, want string }{{"Content-Length: 77\r\n", "77"}, {"", ""}} {
		u := spoiled.NewPeer(t, func(w io.Writer, r *http.Request, _ int) bool {
			_, _ = fmt.Fprintf(w, "HTTP/1.1 200 x\r\nId: %s\r\nSigned: yes\r\n%s\r\n", r.Header.Get("Id"), tc.line)
			return true
		})
		f := startRaw(t, u)
		req, err := http.NewRequestWithContext(t.Context(), http.MethodHead, "http://"+f.address+"/idempotent/", http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Id", "call")
		req.Header.Set("Key", "k")
		res, err := http.DefaultTransport.RoundTrip(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = res.Body.Close()
		if got := res.Header.Get("Content-Length"); got != tc.want || res.StatusCode != http.StatusOK {
			t.Errorf("status %d, length %q, want 200, %q", res.StatusCode, got, tc.want)
		}
	}
}
