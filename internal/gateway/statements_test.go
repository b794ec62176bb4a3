package gateway_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"currantpulley/internal/event"
)

// statingReplica answers with status and the headers of name and value in turn.
func statingReplica(t *testing.T, status int, header ...string) *replica {
	t.Helper()
	return newReplica(t, func(w http.ResponseWriter, _ *http.Request) {
		for i := 0; i+1 < len(header); i += 2 {
			w.Header().Set(header[i], header[i+1])
		}
		w.WriteHeader(status)
	})
}

// A replica that leaves or wants a pause must get no second request, of no kind of
// route. Only the replica itself says so, not another one at its address, and not in the
// response to another request.
func TestReplicaThatWantsNoRequestsGetsNone(t *testing.T) {
	for _, tc := range []struct {
		name   string
		status int
		header []string
		want   int64 // requests that arrive, of three
	}{
		{"leaves", http.StatusOK, []string{"Leaving", "1"}, 1},
		{"leaves, rejected", http.StatusServiceUnavailable, []string{"Leaving", "1", "Not-Run", "1"}, 1},
		{"leaves, failed", http.StatusInternalServerError, []string{"Leaving", "1"}, 1},
		{"another at the address leaves", http.StatusMisdirectedRequest, []string{"Leaving", "1", "Not-Run", "1"}, 3},
		{"response to another request", http.StatusOK, []string{"Leaving", "1", "Id", "of-another"}, 3},
		{"pause", http.StatusServiceUnavailable, []string{"Pause", "30s", "Not-Run", "1"}, 1},
		{"pause, ran", http.StatusServiceUnavailable, []string{"Pause", "30s"}, 1},
		{"no pause", http.StatusServiceUnavailable, []string{"Not-Run", "1"}, 3},
		{"malformed pause", http.StatusServiceUnavailable, []string{"Pause", "soon", "Not-Run", "1"}, 3},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			r := statingReplica(t, tc.status, tc.header...)
			f := start(t, r)
			for n, path := range []string{"/once/", "/idempotent/", "/resumable/"} {
				if _, _, err := f.post(t, path, "Id", fmt.Sprint("id-", n)); err != nil {
					t.Fatal(err)
				}
			}
			if got := r.runs.Load(); got != tc.want {
				t.Errorf("%d requests arrived, want %d", got, tc.want)
			}
		})
	}
}

// A request that all replicas reject, with times for which they want none, must be
// refused at once with the first of these times. One that leaves is not waited for.
func TestRefusalTellsWhenTheFirstPauseEnds(t *testing.T) {
	f := start(t, statingReplica(t, http.StatusServiceUnavailable, "Pause", "40s", "Not-Run", "1"),
		statingReplica(t, http.StatusServiceUnavailable, "Pause", "20s", "Not-Run", "1"),
		statingReplica(t, http.StatusServiceUnavailable, "Leaving", "1", "Not-Run", "1"))
	for n := range 3 {
		res, _, err := f.post(t, "/idempotent/", "Id", fmt.Sprint("id-", n))
		if err != nil {
			t.Fatal(err)
		}
		after, _ := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
		if res.StatusCode != http.StatusServiceUnavailable || after < 19 || after > 31 {
			t.Errorf("request %d: status %d, Retry-After %v; want 503 and 20 to 30 s", n, res.StatusCode, after)
		}
	}
}

// A pause that can't be understood must be logged once, whatever comes after it.
func TestMalformedPauseIsLoggedOnce(t *testing.T) {
	f := start(t, statingReplica(t, http.StatusServiceUnavailable, "Pause", "soon", "Not-Run", "1"))
	for n := range 3 {
		if _, _, err := f.post(t, "/once/", "Id", fmt.Sprint("id-", n)); err != nil {
			t.Fatal(err)
		}
	}
	if err := f.record.Close(); err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(f.logs.String(), fmt.Sprintf(`"event":%d,`, event.PauseIgnored)); n != 1 {
		t.Errorf("%d lines, want 1", n)
	}
}
