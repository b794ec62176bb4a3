// Package presence tells whether the caller of a request is still connected.
package presence

import "context"

// key is the key of the check in a context.
type key struct{}

// With returns a context for a request whose caller has left once hasLeft reports true.
// hasLeft must end the context then, and be safe for concurrent use.
func With(ctx context.Context, hasLeft func() bool) context.Context {
	return context.WithValue(ctx, key{}, hasLeft)
}

// HasLeft reports whether the caller of the request with ctx has left, also if no
// goroutine has seen the end of its connection yet. It is called right before a request
// is sent on. Without a check in ctx, it reports false.
func HasLeft(ctx context.Context) bool {
	hasLeft, ok := ctx.Value(key{}).(func() bool)
	return ok && hasLeft()
}
