package dispatch

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"currantpulley/internal/event"
	"currantpulley/internal/failure"
	"currantpulley/internal/hop"
	"currantpulley/internal/pipe"
	"currantpulley/internal/upstream"
)

// headerWorkspace tells a plain service which workspace calls; the caller's
// key stays here.
const headerWorkspace = "X-Workspace"

// endToEnd returns the fields of a caller's or service's header that pass on.
// The caller's key stays here.
func endToEnd(h http.Header) http.Header {
	out := hop.EndToEnd(h)
	out.Del("Authorization")
	return out
}

// call runs a request to a plain service. One that is not repeatable gets a
// further attempt only while no byte of it has left.
func (f *Filter) call(x *pipe.Exchange) error {
	ctx := x.Ctx
	if t := x.Route.Timeout.Std(); t > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, t)
		defer cancel()
	}
	var tried []string
	var last error
	for number := 1; ; number++ {
		choice, err := pickAgain(ctx, x, tried, last)
		if err != nil {
			return err
		}
		if err := allowed(x); err != nil {
			return err
		}
		answer, a, err := f.try(ctx, x, choice, number)
		if err == nil {
			defer answer.Close()
			err = f.relayCall(x, answer, a)
			finished(x, a, err)
			return err
		}
		finished(x, a, err)
		f.record(event.AttemptFailed, a, err)
		tried = append(tried, choice.Upstream.Name)
		last = err
		if (!x.Route.Repeatable && !a.NotRun) || !f.retry(x, number) {
			return failed(x, last)
		}
	}
}

// allowed asks the filter that guards calls which run at most once.
func allowed(x *pipe.Exchange) error {
	if x.BeforeSend == nil {
		return nil
	}
	return x.BeforeSend()
}

// try sends the call to one upstream.
func (f *Filter) try(ctx context.Context, x *pipe.Exchange, choice pipe.Choice, number int) (*upstream.Answer, *pipe.Attempt, error) {
	a := &pipe.Attempt{Exchange: x, Choice: choice, Number: number, RequestID: attemptID(x, number, false)}
	x.Attempts = append(x.Attempts, a)
	started(x, a)
	header := endToEnd(x.Header)
	header.Set(headerWorkspace, x.Workspace.Name)
	answer, err := f.Service.Do(ctx, choice.Upstream.Address, upstream.ServiceRequest{
		ID: a.RequestID, Method: x.Method, Path: x.Path, Query: x.Query,
		Header: header, Body: x.Body, Repeatable: x.Route.Repeatable,
	})
	if err != nil {
		a.NotRun = !upstream.Sent(err)
		x.Sent = x.Sent || !a.NotRun
		return nil, a, failure.At("call", choice.Upstream.Name, err)
	}
	a.NotRun = answer.NotRun
	if a.NotRun {
		answer.Close()
		return nil, a, failure.At("call", choice.Upstream.Name, &upstream.StatusError{Status: answer.Status, Message: "refused by the service"})
	}
	x.Sent = true
	firstToken(x, a)
	return answer, a, nil
}

// relayCall passes a service's answer on.
func (f *Filter) relayCall(x *pipe.Exchange, answer *upstream.Answer, a *pipe.Attempt) error {
	peer := a.Choice.Upstream.Name
	head, err := io.ReadAll(io.LimitReader(answer.Body, wholeBuffer))
	if err != nil {
		return failed(x, failure.At("read answer", peer, err))
	}
	h := x.Writer.Header()
	for name, values := range endToEnd(answer.Header) {
		h[name] = values
	}
	h.Set(upstream.HeaderRequestID, x.VisibleID())
	if len(head) < wholeBuffer {
		h.Set("Content-Length", strconv.Itoa(len(head)))
	}
	start(x, answer.Status)
	return copyBody(x, head, answer.Body, peer)
}
