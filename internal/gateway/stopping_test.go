package gateway_test

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"currantpulley/internal/fake/spoiled"
)

// A daemon that stops must tell the callers that are left whether their requests may have
// run, and must not end a stream as if it were whole.
func TestEndedRequestsTellWhetherTheyRan(t *testing.T) {
	for _, kind := range kinds {
		for _, began := range []bool{false, true} {
			if began && !strings.Contains("/stream/ /resumable/", kind) {
				continue
			}
			arrived := make(chan struct{})
			f := startRaw(t, spoiled.NewPeer(t, func(w io.Writer, r *http.Request, _ int) bool {
				if began {
					_, _ = io.WriteString(w, signedHead(r.Header.Get("Id"))+"Content-Type: text/event-stream\r\nContent-Length: 1000\r\n\r\nid: 1\ndata: x\n\n")
				}
				close(arrived)
				time.Sleep(300 * time.Millisecond)
				return false
			}))
			go func() {
				<-arrived
				time.Sleep(50 * time.Millisecond)
				f.gateway.EndRequests()
			}()
			res, body, err := f.post(t, kind)
			switch {
			case began && (err == nil || !errors.Is(err, io.ErrUnexpectedEOF)):
				t.Errorf("%s: the stream ended with %v, %q", kind, err, body)
			case !began && (err != nil || res.StatusCode != http.StatusBadGateway || !strings.Contains(body, `"effect":"unknown"`) || !strings.Contains(body, "draining")):
				t.Errorf("%s: %v, %v, %q", kind, res, err, body)
			}
		}
	}
}

// Requests that may not be repeated and may outlast a daemon that stops must be refused
// as not run; others are taken.
func TestStoppingDaemonTakesWhatItCanAnswer(t *testing.T) {
	r := newReplica(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "id: 1\ndata: x\n\n") })
	f := start(t, r)
	f.gateway.Drain(time.Now().Add(500 * time.Millisecond)) // the routes' timeout is 1 s
	for _, tc := range []struct {
		kind, wait string // the caller's maximum wait in ms
		status     int
	}{
		{"/once/", "1000", http.StatusServiceUnavailable},
		{"/once/", "100", http.StatusOK},
		{"/stream/", "1000", http.StatusServiceUnavailable},
		{"/stream/", "100", http.StatusOK},
		{"/idempotent/", "1000", http.StatusOK},
		{"/resumable/", "1000", http.StatusOK},
	} {
		res, body, err := f.post(t, tc.kind, "Budget", tc.wait)
		if err != nil || res.StatusCode != tc.status {
			t.Errorf("%s with %s ms: %v, %v, %q", tc.kind, tc.wait, res, err, body)
		}
	}
}
