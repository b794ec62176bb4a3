// Package limits is the filter that enforces the request and token rate limits
// of workspaces.
package limits

import "currantpulley/internal/pipe"

// Limiter enforces rate limits. Take charges a request to its workspace, or
// returns a *refusal.Error when the workspace is over its limit. Settle replaces
// the estimated tokens of that charge by the tokens used.
type Limiter interface {
	Take(x *pipe.Exchange) error
	Settle(x *pipe.Exchange)
}

// Filter refuses requests that exceed the limits of their workspace.
type Filter struct{ limiter Limiter }

// New returns a filter that enforces the limits of l.
func New(l Limiter) *Filter { return &Filter{limiter: l} }

// Request implements pipe.Filter.
func (f *Filter) Request(x *pipe.Exchange) error { return f.limiter.Take(x) }

// Response implements pipe.Filter.
func (f *Filter) Response(x *pipe.Exchange) { f.limiter.Settle(x) }
