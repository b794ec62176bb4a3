package caller

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"currantpulley/bench/workload"
	"currantpulley/internal/fake/fakeengine"
)

// TestViolationsAreDetected guards the checks of responses: each malformed,
// altered or incomplete response must count as a violation, and a correct one,
// a refusal or an error event must not.
func TestViolationsAreDetected(t *testing.T) {
	request := workload.New(1).Next(workload.ShortOnly, 0)
	request.Output = 2
	digest := fakeengine.Digest(request.Text)
	event := func(id int, text string) string {
		return fmt.Sprintf("id: %d\ndata: {\"choices\":[{\"text\":%q}]}\n\n", id, text)
	}
	first, second := fakeengine.OutputText(digest, 0, 1), fakeengine.OutputText(digest, 1, 1)
	done := "id: 3\ndata: [DONE]\n\n"
	whole := event(1, first) + event(2, second) + done
	for name, c := range map[string]struct {
		id, body string
		status   int
		outcome  Outcome
		violated bool
	}{
		"whole":            {body: whole, outcome: OK},
		"other id":         {id: "x", body: whole, outcome: OK, violated: true},
		"other text":       {body: event(1, fakeengine.OutputText("other", 0, 2)) + done, outcome: OK, violated: true},
		"token missing":    {body: event(1, first) + done, outcome: OK, violated: true},
		"token twice":      {body: event(1, first) + event(2, first) + event(3, second), outcome: Failed, violated: true},
		"event id missing": {body: event(1, first) + event(3, second) + done, outcome: OK, violated: true},
		"silent end":       {body: event(1, first), outcome: Failed, violated: true},
		"error event":      {body: event(1, first) + "event: error\ndata: {}\n\n", outcome: Failed},
		"refused":          {status: 503, body: `{"error":{"code":"overloaded","effect":"not-run"}}`, outcome: Refused},
		"other effect":     {status: 502, body: `{"error":{"effect":"unknown"}}`, outcome: Failed, violated: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				id := c.id
				if id == "" {
					id = r.Header.Get(headerRequestID)
				}
				w.Header().Set(headerRequestID, id)
				if c.status != 0 {
					w.Header().Set("X-Effect", effectNotRun)
					w.WriteHeader(c.status)
				}
				w.Write([]byte(c.body))
			}))
			defer s.Close()
			caller := New([]string{strings.TrimPrefix(s.URL, "http://")}, func() int64 { return 0 })
			got := caller.Run(context.Background(), []*workload.Request{request}, time.Millisecond, time.Minute)[0]
			if got.Outcome != c.outcome || (got.Violation != "") != c.violated {
				t.Fatalf("outcome %d, violation %q", got.Outcome, got.Violation)
			}
		})
	}
}
