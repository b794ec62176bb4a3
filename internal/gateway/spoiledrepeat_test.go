package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"currantpulley/internal/fake/spoiled"
)

// Guards against a request that may be repeated and is not, or late, after a response
// that can't become an answer any more.
func TestHopelessResponseIsFollowedByAnotherUpstream(t *testing.T) {
	for _, s := range append(switching, hopeless...) {
		for _, path := range []string{"/idempotent/", "/resumable/"} {
			t.Run(s.name+path, func(t *testing.T) {
				t.Parallel()
				var runs atomic.Int64
				first := func(w io.Writer, id string) {
					if runs.Add(1) == 1 {
						s.respond(w, id)
						return
					}
					_, _ = fmt.Fprintf(w, "%sContent-Length: %d\r\n\r\n%s", signedHead(id), len(streamEvent1), streamEvent1)
				}
				f := startSpoiled(t, newSpoiledPeer(t, first), newSpoiledPeer(t, first))
				f.extendTimeouts()
				began := time.Now()
				status, body, err := f.ask(t.Context(), path)
				if took := time.Since(began); err != nil || status != http.StatusOK || body != streamEvent1 || took > spoiledAtOnce {
					t.Errorf("status %d, %.100q, %v after %v", status, body, err, took)
				}
				if runs.Load() != 2 {
					t.Errorf("%d runs, want 2", runs.Load())
				}
			})
		}
	}
}

// Guards against a stream that is not resumed after bytes that are no event.
func TestStreamThatIsSpoiledLaterIsResumed(t *testing.T) {
	respond := func(c *net.TCPConn, r *http.Request) {
		if r.Header.Get("After") == "1" {
			writeUnframed(c, r, streamEvent2)
			return
		}
		_, _ = io.WriteString(c, signedHead(r.Header.Get("Id"))+"\r\n"+streamEvent1)
		spoiled.Endless(c, "x")
	}
	f := start(t, newRawReplica(t, respond), newRawReplica(t, respond))
	f.extendTimeouts()
	began := time.Now()
	status, body, err := f.ask(t.Context(), "/resumable/")
	if took := time.Since(began); err != nil || status != http.StatusOK || body != streamEvent1+streamEvent2 || took > spoiledAtOnce {
		t.Errorf("status %d, %.100q, %v after %v", status, body, err, took)
	}
}
