package retry

import (
	"strconv"
	"testing"
	"time"
)

// Requests for one service must not allow extra attempts at another.
func TestWindowsKeepServicesApart(t *testing.T) {
	w := NewWindows(Options{Clock: time.Now, Span: 10 * time.Second, Ratio: 0.2, Part: func() float64 { return 1 }, Stale: never})
	for range 1000 {
		w.Request("busy")
	}
	if _, ok := w.Allow("failing"); ok {
		t.Error("a service without requests gets an extra attempt")
	}
	if _, ok := w.Allow("busy"); !ok {
		t.Error("a service with 1000 requests gets no extra attempt")
	}
}

// Services that left the configuration must not be kept for ever, and a service that
// is in use must keep its counts.
func TestWindowsDropIdleServices(t *testing.T) {
	now := time.Unix(1000, 0)
	w := NewWindows(Options{Clock: func() time.Time { return now }, Span: 10 * time.Second, Extra: 10, Part: func() float64 { return 1 }, Stale: never})
	for ok := true; ok; {
		_, ok = w.Allow("used")
	}
	for i := range 100 {
		w.Request(strconv.Itoa(i))
	}
	if _, ok := w.Allow("used"); ok {
		t.Error("the counts of a service in use were dropped")
	}
	now = now.Add(time.Minute)
	w.Request("new")
	if n := len(w.services); n != 1 {
		t.Errorf("%d services are kept, want 1", n)
	}
}

// A repeat that was allowed before the process was paused arrives in a later span, so
// it must be taken from the budget of that span.
func TestPermitOfAPausedProcessIsTakenAnew(t *testing.T) {
	now := time.Unix(1000, 0)
	w := NewWindows(Options{Clock: func() time.Time { return now }, Span: 10 * time.Second, Extra: 10, Part: func() float64 { return 1 }, Stale: never})
	p, ok := w.Allow("s")
	if !ok || !w.Confirm(&p) {
		t.Fatal("a fresh permit is not valid")
	}
	left := w.Left()["s"]
	now = now.Add(time.Second)
	if !w.Confirm(&p) || w.Left()["s"] != left-1 {
		t.Errorf("an old permit is used for nothing: %v left, before %v", w.Left()["s"], left)
	}
	for ok := true; ok; {
		_, ok = w.Allow("s")
	}
	now = now.Add(time.Second)
	if w.Confirm(&p) {
		t.Error("an old permit is valid while the budget is used up")
	}
	if !w.Confirm(&Permit{}) {
		t.Error("a first send needs a permit")
	}
}

// never is an Options.Stale of a process that was not paused.
func never() bool { return false }
