// Package lastanswer records when each upstream last answered a request of this
// daemon. Such an answer outweighs missed polls that another daemon reports.
package lastanswer

import (
	"sync"
	"time"

	"currantpulley/internal/pipe"
)

// Filter observes the attempts of each exchange. It is safe for concurrent use.
type Filter struct{ lastAnswer sync.Map }

// New returns the filter.
func New() *Filter { return &Filter{} }

// At returns the time of the last answer from upstream, or the zero time if there
// was none.
func (f *Filter) At(upstream string) time.Time {
	if v, ok := f.lastAnswer.Load(upstream); ok {
		return v.(time.Time) //nolint:errcheck // the map holds only values of type time.Time
	}
	return time.Time{}
}

// Request implements pipe.Filter.
func (f *Filter) Request(x *pipe.Exchange) error {
	x.Observers = append(x.Observers, f)
	return nil
}

// Response implements pipe.Filter.
func (f *Filter) Response(*pipe.Exchange) {}

// Started implements pipe.Observer.
func (f *Filter) Started(*pipe.Attempt) {}

// FirstToken implements pipe.Observer.
func (f *Filter) FirstToken(a *pipe.Attempt) { f.lastAnswer.Store(a.Choice.Upstream.Name, time.Now()) }

// Finished implements pipe.Observer.
func (f *Filter) Finished(a *pipe.Attempt) {
	if a.Err == nil {
		f.FirstToken(a)
	}
}
