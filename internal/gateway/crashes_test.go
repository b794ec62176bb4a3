package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"currantpulley/internal/freshness"
	"currantpulley/internal/quarantine"
)

// withPart calls then for requests whose prompt has the part "harmful", before any
// event of their response is complete, and answers all others.
func withPart(then func()) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !strings.Contains(r.Header.Get("Parts"), "harmful") {
			_, _ = w.Write([]byte(streamEvent1))
			return
		}
		_, _ = w.Write([]byte("id: 1\nda"))
		_ = http.NewResponseController(w).Flush()
		then()
		panic(http.ErrAbortHandler)
	}
}

// sendPart sends a request whose prompt has the given shared part and returns the
// status of the response, 0 if there was none.
func (f *fixture) sendPart(t *testing.T, n int, part string) int {
	t.Helper()
	res, _, err := f.post(t, "/resumable/", "Id", fmt.Sprint(part, n), "Model", "m", "Parts", fmt.Sprint("template ", part, " own", n))
	if err != nil {
		return 0
	}
	return res.StatusCode
}

// Guards against requests that crash one replica after the other because they are
// repeated, or because nobody connects the crashes.
func TestPartThatCrashesReplicasIsHeldBack(t *testing.T) {
	var ended atomic.Int64
	var replicas []*replica
	for range 8 {
		var r *replica
		r = newReplica(t, withPart(func() {
			ended.Add(1)
			_ = r.Listener.Close()
			go r.CloseClientConnections()
		}))
		replicas = append(replicas, r)
	}
	f := start(t, replicas...)
	for n := range 12 {
		status := f.sendPart(t, n, "harmful")
		if n > 4 && status != http.StatusServiceUnavailable {
			t.Errorf("request %d: status %d, want a refusal", n, status)
		}
		if got := f.sendPart(t, n, "sound"); got != http.StatusOK {
			t.Errorf("sound request %d: status %d", n, got)
		}
	}
	if n := ended.Load(); n == 0 || n > 4 {
		t.Errorf("%d replicas ended, want 1 to 4", n)
	}
}

// Replicas that break off their responses and go on running are no evidence against
// a part: such requests must be tried again each time.
func TestBrokenOffResponseIsNoCrash(t *testing.T) {
	f := start(t, newReplica(t, withPart(func() {})), newReplica(t, withPart(func() {})))
	for n := range 8 {
		if status := f.sendPart(t, n, "harmful"); status != http.StatusBadGateway {
			t.Errorf("request %d: status %d, want 502", n, status)
		}
	}
}

// A stream that has begun shows that its parts are sound. It must be resumed also if
// they are suspected meanwhile.
func TestBegunStreamIsResumedWhileItsPartIsSuspected(t *testing.T) {
	table := quarantine.New(quarantine.Options{})
	part := []quarantine.Part{quarantine.PartOf("s", "site")}
	suspecting := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("After") != "" {
			_, _ = w.Write([]byte(streamEvent2))
			return
		}
		_, _ = w.Write([]byte(streamEvent1))
		_ = http.NewResponseController(w).Flush()
		time.Sleep(50 * time.Millisecond) // for the event to arrive
		for n := range uint32(2) {
			at := freshness.Time().Add(time.Duration(n) * time.Second)
			table.Crashed(n, part, at, at)
		}
		panic(http.ErrAbortHandler)
	}
	f := start(t, newReplica(t, suspecting), newReplica(t, suspecting))
	f.quarantine = table
	f.serve(t, f.logs)
	_, body, err := f.post(t, "/resumable/", "Model", "m", "Parts", "template site own")
	if err != nil || body != streamEvent1+streamEvent2 {
		t.Errorf("%q, %v", body, err)
	}
}
