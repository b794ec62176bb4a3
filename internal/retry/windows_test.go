package retry

import (
	"strconv"
	"testing"
	"time"
)

// Requests for one service must not allow extra attempts at another.
func TestWindowsKeepServicesApart(t *testing.T) {
	w := NewWindows(time.Now, 10*time.Second, 0.2, 0, func() int { return 1 })
	for range 1000 {
		w.Request("busy")
	}
	if w.Allow("failing") {
		t.Error("a service without requests gets an extra attempt")
	}
	if !w.Allow("busy") {
		t.Error("a service with 1000 requests gets no extra attempt")
	}
}

// Services that left the configuration must not be kept for ever, and a service that
// is in use must keep its counts.
func TestWindowsDropIdleServices(t *testing.T) {
	now := time.Unix(1000, 0)
	w := NewWindows(func() time.Time { return now }, 10*time.Second, 0, 10, func() int { return 1 })
	for w.Allow("used") {
	}
	for i := range 100 {
		w.Request(strconv.Itoa(i))
	}
	if w.Allow("used") {
		t.Error("the counts of a service in use were dropped")
	}
	now = now.Add(time.Minute)
	w.Request("new")
	if n := len(w.services); n != 1 {
		t.Errorf("%d services are kept, want 1", n)
	}
}
