// Package classify is the filter that classifies requests as short or long.
package classify

import "currantpulley/internal/pipe"

// Classifier determines the class of a model request.
type Classifier interface {
	Class(x *pipe.Exchange) pipe.Class
}

// Filter sets Exchange.Class. Calls to plain services stay pipe.Short.
type Filter struct{ classifier Classifier }

// New returns a filter that uses c.
func New(c Classifier) *Filter { return &Filter{classifier: c} }

// Request implements pipe.Filter.
func (f *Filter) Request(x *pipe.Exchange) error {
	if x.Prompt != nil {
		x.Class = f.classifier.Class(x)
	}
	return nil
}

// Response implements pipe.Filter.
func (f *Filter) Response(*pipe.Exchange) {}
