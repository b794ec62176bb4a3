// Package account is the outermost filter. It writes the answer of failed
// requests, counts every request in the metrics and records its outcome as an
// event.
package account

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"currantpulley/internal/event"
	"currantpulley/internal/metrics"
	"currantpulley/internal/pipe"
	"currantpulley/internal/refusal"
	"currantpulley/internal/upstream"
)

// Filter counts requests and answers those that failed.
type Filter struct {
	metrics  *metrics.Metrics
	recorder event.Recorder
}

// New returns a filter that counts in m and records events to r.
func New(m *metrics.Metrics, r event.Recorder) *Filter {
	return &Filter{metrics: m, recorder: r}
}

// Request implements pipe.Filter.
func (f *Filter) Request(x *pipe.Exchange) error {
	f.metrics.RequestStarted()
	x.Observers = append(x.Observers, f)
	return nil
}

// Response implements pipe.Filter. It answers a failed request and records the
// outcome.
func (f *Filter) Response(x *pipe.Exchange) {
	f.metrics.RequestEnded(f.recordOutcome(x), x.Class.String())
}

// recordOutcome records how x ended, answers it if it failed without an answer,
// and returns the metric label of the outcome.
func (f *Filter) recordOutcome(x *pipe.Exchange) string {
	e := event.Event{Request: x.ID, Step: "account", Version: x.Snap.Version}
	if x.Workspace != nil {
		e.Workspace = x.Workspace.Name
	}
	if n := len(x.Attempts); n > 0 {
		e.Upstream = x.Attempts[n-1].Choice.Upstream.Name
	}
	if x.Err == nil {
		e.ID = event.RequestServed
		f.recorder.Record(e)
		return "served"
	}
	if x.Ctx.Err() != nil || errors.Is(x.Err, context.Canceled) {
		e.ID = event.RequestCancelled
		f.recorder.Record(e)
		endCancelled(x)
		return "cancelled"
	}
	r := refusal.From(x.Err)
	e.ID = event.RequestRefused
	e.Detail = string(r.Code) + " " + string(r.Effect)
	e.Err = r.Err
	f.recorder.Record(e)
	if !x.Answered {
		x.Answered = true
		Refuse(x.Writer, r)
	}
	return string(r.Code)
}

// endCancelled ends the answer to a caller that left. A caller that closed only its
// side of the connection still reads, and must not take the end of the response for
// a complete answer.
func endCancelled(x *pipe.Exchange) {
	if x.Answered {
		x.Abort()
		return
	}
	x.Answered = true
	Refuse(x.Writer, refusal.From(x.Err))
}

// Refuse writes r to w as a JSON error with its status and headers.
func Refuse(w http.ResponseWriter, r *refusal.Error) {
	body, err := json.Marshal(r.Body())
	if err != nil {
		return
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(upstream.HeaderEffect, string(r.Effect))
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	w.WriteHeader(r.Status())
	_, _ = w.Write(body)
}

// Started implements pipe.Observer.
func (f *Filter) Started(*pipe.Attempt) {}

// FirstToken implements pipe.Observer.
func (f *Filter) FirstToken(a *pipe.Attempt) {
	f.metrics.FirstToken(time.Since(a.Exchange.Arrived), a.Exchange.Class.String())
}

// Finished implements pipe.Observer.
func (f *Filter) Finished(a *pipe.Attempt) {
	result := "ok"
	switch {
	case errors.Is(a.Err, context.Canceled):
		result = "cancelled"
	case a.Err != nil:
		result = "failed"
	}
	f.metrics.Attempt(result, a.PromptTokens, a.CachedTokens, a.OutputTokens)
}
