package loop

import (
	"context"
	"errors"
	"testing"
	"time"
)

// TestAbandonedFunctionIsNotRun checks that a function doesn't run after Do has
// returned: the caller then reads the variables that the function sets.
func TestAbandonedFunctionIsNotRun(t *testing.T) {
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
		t.Error("the function ran after Do had returned")
	}
}

// TestDoWaitsForRunningFunction checks that Do waits for a running function when
// ctx ends.
func TestDoWaitsForRunningFunction(t *testing.T) {
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
