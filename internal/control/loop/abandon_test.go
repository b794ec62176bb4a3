package loop

import (
	"context"
	"errors"
	"testing"
	"time"
)

// A caller that gave up reads what its function would have set, so the function
// must not run after Do has returned.
func TestAbandonedFunctionNeverRuns(t *testing.T) {
	l := New()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	ran := false
	if err := l.Do(ctx, func(time.Time) { ran = true }); !errors.Is(err, context.Canceled) {
		t.Fatalf("got %v", err)
	}
	go l.Run(t.Context())
	if err := l.Do(t.Context(), func(time.Time) {}); err != nil {
		t.Fatal(err)
	}
	if ran {
		t.Error("the function ran after its caller had given up")
	}
}

// A caller that gives up while its function runs waits for its end.
func TestRunningFunctionIsWaitedFor(t *testing.T) {
	l := New()
	go l.Run(t.Context())
	ctx, cancel := context.WithCancel(t.Context())
	done := false
	err := l.Do(ctx, func(time.Time) {
		cancel()
		time.Sleep(20 * time.Millisecond)
		done = true
	})
	if err != nil || !done {
		t.Errorf("%v, done is %t", err, done)
	}
}
