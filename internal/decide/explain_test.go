package decide

import (
	"testing"
	"time"

	"currantpulley/internal/pipe"
	"currantpulley/internal/refusal"
)

// The explanation names the refusal that the next request gets as the queue grows, and takes
// no place in it.
func TestExplanationNamesTheRefusal(t *testing.T) {
	s := newHarness(1, 1)
	s.config.Admission.QueueMax = 2
	for _, maxWait := range []time.Duration{20 * time.Millisecond, time.Hour} {
		for i := range 100 {
			x := s.exchange("w", pieces("p", 400))
			x.Deadline = s.now.Add(maxWait)
			before := s.queue.Len()
			got := s.ExplainWithin(s.snap, x.Prompt, "w", maxWait)
			if s.queue.Len() != before {
				t.Fatalf("request %d: the queue grew from %d to %d", i, before, s.queue.Len())
			}
			if want := refusedWith(s, x); got.Refusal != want || (want != "" && got.RetryAfter <= 0) {
				t.Fatalf("request %d with %v: explained refusal %q, retry after %v; got %q", i, maxWait, got.Refusal, got.RetryAfter, want)
			}
		}
	}
	if s.queue.Len() != 2 {
		t.Errorf("%d requests are queued, want a full queue", s.queue.Len())
	}
}

// refusedWith admits x and returns the code of its refusal; empty: none.
func refusedWith(s *harness, x *pipe.Exchange) string {
	if _, err := s.admit(x); err != nil {
		return string(refusal.From(err).Code)
	}
	return ""
}
