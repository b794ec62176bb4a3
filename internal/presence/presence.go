// Package presence tells whether the caller of a request is still connected.
package presence

import (
	"context"
	"sync"
)

// key is the key of a Caller in a context.
type key struct{}

// Caller is the caller of one request. It is safe for concurrent use.
type Caller struct {
	hasHungUp func() bool
	cancel    context.CancelFunc

	mu      sync.Mutex
	left    bool
	onLeave map[uint64]func()
	next    uint64 // key of the next function in onLeave
}

// New returns the caller of a request and the request's context, which ends when the
// caller leaves or cancel is called. hasHungUp reports whether the caller's connection
// has ended.
func New(ctx context.Context, hasHungUp func() bool) (c *Caller, of context.Context, cancel context.CancelFunc) {
	ctx, cancel = context.WithCancel(ctx)
	c = &Caller{hasHungUp: hasHungUp, cancel: cancel, onLeave: make(map[uint64]func())}
	return c, context.WithValue(ctx, key{}, c), cancel
}

// Check reports whether the caller has left. It asks for the end of the connection,
// which no goroutine may have seen yet, and calls Leave if it has come.
func (c *Caller) Check() (left bool) {
	left = c.hasHungUp()
	if left {
		c.Leave()
	}
	return left
}

// Leave ends the request's context and calls the functions of OnLeave before it returns.
func (c *Caller) Leave() {
	c.cancel()
	c.mu.Lock()
	functions := c.onLeave
	c.left, c.onLeave = true, nil
	c.mu.Unlock()
	for _, f := range functions {
		f()
	}
}

// HasLeft reports whether the caller of the request with ctx has left; see Caller.Check.
// It is called right before a request is sent on. Without a caller in ctx, it reports
// false.
func HasLeft(ctx context.Context) bool {
	c, ok := ctx.Value(key{}).(*Caller)
	return ok && c.Check()
}

// Detach returns a context with the values of ctx that has no caller: what it is used for
// goes on when the caller leaves.
func Detach(ctx context.Context) context.Context {
	return context.WithValue(context.WithoutCancel(ctx), key{}, nil)
}

// OnLeave calls f, which must not block, when the caller of the request with ctx leaves,
// at once if it has left, and without a goroutine of its own: on a busy machine, that
// would run late. stop takes f back; f may still be running after it.
func OnLeave(ctx context.Context, f func()) (stop func()) {
	c, ok := ctx.Value(key{}).(*Caller)
	if !ok {
		return func() {}
	}
	c.mu.Lock()
	if c.left {
		c.mu.Unlock()
		f()
		return func() {}
	}
	defer c.mu.Unlock()
	n := c.next
	c.next++
	c.onLeave[n] = f
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.onLeave, n)
	}
}
