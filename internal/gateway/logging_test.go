package gateway_test

import (
	"io"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"currantpulley/internal/fake/spoiled"
)

const (
	blockedFor      = 10 * time.Second
	maxResponseTime = time.Second
)

// blockedWriter is a log output whose writes block until release is closed.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// A log output that blocks for ten seconds must delay no request, whether it is
// served or refused.
func TestBlockedLogWriterDelaysNoRequest(t *testing.T) {
	t.Parallel()
	f := start(t, newReplica(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("answer")) }))
	writer := blockedWriter{make(chan struct{})}
	f.serve(t, writer)
	defer close(writer.release)
	for began := time.Now(); time.Since(began) < blockedFor; time.Sleep(5 * time.Millisecond) {
		for path, want := range map[string]int{"/once/": http.StatusOK, "/none/": http.StatusNotFound} {
			sentAt := time.Now()
			res, _, err := f.post(t, path)
			if err != nil || res.StatusCode != want {
				t.Fatalf("%s: %v %v", path, res, err)
			}
			if took := time.Since(sentAt); took > maxResponseTime {
				t.Fatalf("%s took %v", path, took)
			}
		}
	}
}

// The line of a served stream must tell how its end was marked and which event
// came last, so that a short answer can be compared with the engine's.
func TestServedLineTellsHowTheResponseEnded(t *testing.T) {
	framed := newReplica(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(streamEvent1)) })
	for want, r := range map[string]*replica{
		"framing length, last event 1":     framed,
		"framing connection, last event 2": resumableReplica(t, len(streamEvent2), ""),
	} {
		f := start(t, r)
		if _, _, err := f.post(t, "/stream/"); err != nil {
			t.Fatal(err)
		}
		f.completeLog(t)
		if !strings.Contains(f.logs.String(), want) {
			t.Errorf("no %q in %s", want, f.logs)
		}
	}
}

// The line of a failed attempt must tell what the response says about whose it is
// and whether the request ran, and the metrics how often requests were sent.
func TestFailedAttemptShowsItsEvidence(t *testing.T) {
	r := newReplica(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Not-Run", "yes")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	f := start(t, r)
	if _, _, err := f.post(t, "/once/"); err != nil {
		t.Fatal(err)
	}
	f.completeLog(t)
	want := "status 503, response to this request, signed true, states not run true, connection reused false"
	if !strings.Contains(f.logs.String(), want) {
		t.Errorf("no %q in %s", want, f.logs)
	}
	if want := `currantpulley_gateway_sends_total{kind="first",service="s"} 1`; !strings.Contains(scrape(t, f.metrics), want) {
		t.Errorf("no %q in %s", want, scrape(t, f.metrics))
	}
}

// The line of a failed attempt must tell the parts of the prompt and how many events
// came, so that requests that an upstream was beginning to answer when it ended can be
// compared.
func TestFailedAttemptShowsItsPartsAndEvents(t *testing.T) {
	for want, body := range map[string]string{
		"events 0, parts template site own": "id: 1\nda",
		"events 1, parts template site own": streamEvent1 + "id: 2",
	} {
		r := newReplica(t, func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(body))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		})
		f := start(t, r)
		_, _, _ = f.post(t, "/stream/", "Model", "m", "Parts", "template site own") // is cut
		f.completeLog(t)
		if !strings.Contains(f.logs.String(), want) {
			t.Errorf("no %q in %s", want, f.logs)
		}
	}
}

// The lines of served and of failed requests must tell the limit that the upstream
// stated, so that its rate can be compared with it.
func TestLinesTellTheStatedLimit(t *testing.T) {
	for status, want := range map[int]string{
		http.StatusOK:                 "last event 0, limit 1.5/s, ends beyond 4 rejections/s",
		http.StatusServiceUnavailable: "parts none, limit 1.5/s, ends beyond 4 rejections/s",
	} {
		f := start(t, newReplica(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Limit", "1.5")
			w.Header().Set("Brittle", "4")
			w.WriteHeader(status)
		}))
		if _, _, err := f.post(t, "/once/"); err != nil {
			t.Fatal(err)
		}
		f.completeLog(t)
		if !strings.Contains(f.logs.String(), want) {
			t.Errorf("status %d: no %q in %s", status, want, f.logs)
		}
	}
}

// Failed attempts at the same request must show the same identity, whatever its id,
// and attempts at others another one, so that logs tell whether one request is behind
// several failures.
func TestFailedAttemptShowsTheIdentityOfItsRequest(t *testing.T) {
	f := start(t, newReplica(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	for i, path := range []string{"/once/a", "/once/a", "/once/a?q", "/once/b", "/public/a"} {
		_, _, _ = f.post(t, path, "Id", strconv.Itoa(i)) // is cut
	}
	f.completeLog(t)
	shown := regexp.MustCompile(`identity ([0-9a-f]{16}), no response, sent true`).FindAllStringSubmatch(f.logs.String(), -1)
	var identities []string
	for _, match := range shown {
		identities = append(identities, match[1])
	}
	if len(identities) < 5 || identities[0] != identities[1] || len(slices.Compact(slices.Sorted(slices.Values(identities)))) != 4 {
		t.Errorf("identities %q in %s", identities, f.logs)
	}
}

// Each line of a send must tell its address, whether the request was refused or served
// there, so that two sends to one address show.
func TestLinesTellTheAddressOfASend(t *testing.T) {
	c := &repeater{repeaterKind: repeaterKind{onlyFirst: true}}
	u := spoiled.NewPeer(t, c.respond)
	f := startRaw(t, u)
	f.send(t, http.MethodPost, "/once/", "call")
	f.send(t, http.MethodPost, "/once/", "call") // on another connection, where it is served
	f.completeLog(t)
	for _, want := range []string{"send at " + u.Address, "address " + u.Address} {
		if !strings.Contains(f.logs.String(), want) {
			t.Errorf("no %q in %s", want, f.logs)
		}
	}
}

// The line of a request whose caller has left must tell how long it had been here and
// whether it was sent, and the metrics how long goroutines wait for a processor.
func TestCancelledLineTellsHowFarTheRequestCame(t *testing.T) {
	began := make(chan struct{})
	r := newReplica(t, func(_ http.ResponseWriter, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		close(began)
		<-req.Context().Done()
	})
	f := start(t, r)
	c := f.caller(t)
	_, _ = io.WriteString(c, rawRequest(http.MethodPost, "/once/", "call", "body"))
	<-began
	time.Sleep(20 * time.Millisecond)
	_ = c.Close()
	f.completeLog(t)
	for _, want := range []string{`"message":"request_cancelled"`, "route /once/, after ", "sends 1, latest address " + strings.TrimPrefix(r.URL, "http://")} {
		if !strings.Contains(f.logs.String(), want) {
			t.Errorf("no %q in %s", want, f.logs)
		}
	}
}
