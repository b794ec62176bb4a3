// Package place is the filter that sets the Picker of an exchange and registers
// the placement as an observer of its attempts.
package place

import "currantpulley/internal/pipe"

// Placement provides the Picker of an exchange and observes its attempts.
type Placement interface {
	pipe.Observer
	Picker(x *pipe.Exchange) pipe.Picker
}

// Filter sets Exchange.Picker and adds the placement to Exchange.Observers.
type Filter struct{ placement Placement }

// New returns a filter that uses p.
func New(p Placement) *Filter { return &Filter{placement: p} }

// Request implements pipe.Filter.
func (f *Filter) Request(x *pipe.Exchange) error {
	x.Picker = f.placement.Picker(x)
	x.Observers = append(x.Observers, f.placement)
	return nil
}

// Response implements pipe.Filter.
func (f *Filter) Response(*pipe.Exchange) {}
