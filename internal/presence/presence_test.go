package presence_test

import (
	"context"
	"testing"

	"currantpulley/internal/presence"
)

// Functions of OnLeave must run once, before Leave returns, and not after they were
// taken back; those that come after the caller has left run at once.
func TestOnLeave(t *testing.T) {
	left := false
	caller, ctx, cancel := presence.New(t.Context(), func() bool { return left })
	defer cancel()
	var ran []string
	note := func(name string) func() { return func() { ran = append(ran, name) } }
	presence.OnLeave(ctx, note("a"))
	stop := presence.OnLeave(ctx, note("taken back"))
	stop()
	if presence.HasLeft(ctx) || ctx.Err() != nil || len(ran) > 0 {
		t.Fatalf("the caller is present; ran %v", ran)
	}
	left = true
	if !presence.HasLeft(ctx) || ctx.Err() == nil {
		t.Error("the caller has left and counts as present")
	}
	caller.Leave()
	presence.OnLeave(ctx, note("b"))()
	if len(ran) != 2 || ran[0] != "a" || ran[1] != "b" {
		t.Errorf("ran %v", ran)
	}
	detached := presence.Detach(ctx)
	presence.OnLeave(detached, note("detached"))
	if presence.HasLeft(detached) || detached.Err() != nil || len(ran) != 2 {
		t.Error("a detached context ends with the caller")
	}
	if presence.HasLeft(context.Background()) {
		t.Error("a context without a caller has one that left")
	}
}
