// Package admit is the filter that queues requests until an upstream has capacity.
package admit

import "currantpulley/internal/pipe"

// Queue is an admission queue. Enter blocks until the request is admitted. It
// returns a *refusal.Error, without waiting if possible, when the request can't
// be admitted in time. Leave releases the reservation of Enter if it is unused.
type Queue interface {
	Enter(x *pipe.Exchange) error
	Leave(x *pipe.Exchange)
}

// Filter delays requests while the upstreams have no capacity for them.
type Filter struct{ queue Queue }

// New returns a filter that uses q.
func New(q Queue) *Filter { return &Filter{queue: q} }

// Request implements pipe.Filter.
func (f *Filter) Request(x *pipe.Exchange) error { return f.queue.Enter(x) }

// Response implements pipe.Filter.
func (f *Filter) Response(x *pipe.Exchange) { f.queue.Leave(x) }
