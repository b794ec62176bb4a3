package cli

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"currantpulley/internal/admin"
)

// The command sends what its flags say and prints the choice, the crossing and the refusal.
func TestExplainRoute(t *testing.T) {
	var asked admin.RouteRequest
	answer := admin.RouteExplanation{
		Route: "notes", Service: "llm", Picked: "e1", Left: "wait", Fetch: "10.0.0.9:80",
		Candidates: []admin.RouteCandidate{{Upstream: "e1", DataCentre: "b", Crossing: 6 * time.Millisecond}, {Upstream: "e2", Bar: "paused"}},
	}
	daemon := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != admin.PathRoute || json.NewDecoder(r.Body).Decode(&asked) != nil {
			w.WriteHeader(http.StatusBadRequest)
		}
		_ = json.NewEncoder(w).Encode(answer)
	}))
	defer daemon.Close()
	args := []string{"explain-route", "--admin", daemon.URL, "--host", "h", "--path", "/p", "--model", "m", "--tokens", "300", "--parts", "a:100,b:200", "--wait", "2s"}
	code, stdout, stderr := runTool(args...)
	if code != ExitOK || asked.MaxWait != 2*time.Second || asked.Prompt == nil || len(asked.Prompt.Parts) != 2 || asked.Prompt.Parts[1].Tokens != 200 {
		t.Fatalf("exit %d, asked %+v %s", code, asked, stderr)
	}
	for _, want := range []string{"picked e1, which leaves the data centre: wait", "fetches parts from 10.0.0.9:80", "paused", "6ms"} {
		if !strings.Contains(stdout, want) {
			t.Errorf("%q is missing in\n%s", want, stdout)
		}
	}
	answer.Refusal = &admin.RouteRefusal{Code: "deadline_unmeetable", Message: "late", RetryAfter: time.Second}
	if _, stdout, _ = runTool(args...); !strings.Contains(stdout, "refused: deadline_unmeetable, late; retry after 1s") {
		t.Error(stdout)
	}
	if code, _, stderr = runTool("explain-route", "--host", "h", "--path", "/p", "--parts", "a"); code != ExitUsage || !strings.Contains(stderr, "ID:TOKENS") {
		t.Errorf("exit %d: %s", code, stderr)
	}
}
