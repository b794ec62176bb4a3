package dispatch

import (
	"context"
	"net/http"
	"strconv"

	"currantpulley/internal/event"
	"currantpulley/internal/failure"
	"currantpulley/internal/hop"
	"currantpulley/internal/memory"
	"currantpulley/internal/pipe"
	"currantpulley/internal/refusal"
	"currantpulley/internal/upstream"
)

// headerWorkspace is the header that names the calling workspace to a plain
// service. The caller's key is not forwarded.
const headerWorkspace = "X-Workspace"

// endToEnd returns the header fields of a request or an answer that are forwarded.
// The Authorization header, which holds the caller's key, is left out.
func endToEnd(h http.Header) http.Header {
	out := hop.EndToEnd(h)
	out.Del("Authorization")
	return out
}

// call runs a request to a plain service. A request that is not repeatable is
// retried only if it is known that the failed attempt did not run.
func (f *Filter) call(x *pipe.Exchange) error {
	ctx := x.Ctx
	if t := x.Route.Timeout.Std(); t > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, t)
		defer cancel()
	}
	var tried []string
	var lastErr error
	for number := 1; ; number++ {
		choice, err := pickNext(ctx, x, tried, lastErr)
		if err == nil {
			err = checkBeforeSend(x)
		}
		if err != nil {
			f.returnRetry(number > 1)
			return err
		}
		response, a, err := f.attemptCall(ctx, x, choice, number)
		if err == nil {
			defer response.Close()
			err = f.relayCall(x, response, a)
			notifyFinished(x, a, err)
			return err
		}
		notifyFinished(x, a, err)
		f.record(event.AttemptFailed, a, err)
		tried = append(tried, choice.Upstream.Name)
		lastErr = err
		if (!x.Route.Repeatable && !a.NotRun) || !f.mayRetry(ctx, x, number) {
			return failureRefusal(x, lastErr)
		}
	}
}

// checkBeforeSend calls x.BeforeSend, by which the filter for calls that run at
// most once can forbid an attempt.
func checkBeforeSend(x *pipe.Exchange) error {
	if x.BeforeSend == nil {
		return nil
	}
	return x.BeforeSend()
}

// attemptCall sends the call to one upstream. It returns an error also when the
// service states that it did not run the call, and when the status of a call that
// must not be repeated says so without that statement.
func (f *Filter) attemptCall(ctx context.Context, x *pipe.Exchange, choice pipe.Choice, number int) (*upstream.Response, *pipe.Attempt, error) {
	a := &pipe.Attempt{Exchange: x, Choice: choice, Number: number, RequestID: attemptID(x, number, false)}
	x.Attempts = append(x.Attempts, a)
	notifyStarted(x, a)
	header := endToEnd(x.Header)
	header.Set(headerWorkspace, x.Workspace.Name)
	response, err := f.Service.Do(upstream.WithRoom(ctx, roomOf(x.Writer)), choice.Upstream.Address, upstream.ServiceRequest{
		ID: a.RequestID, Method: x.Method, Path: x.EscapedPath(), Query: x.Query,
		Header: header, Body: x.Body, Repeatable: x.Route.Repeatable,
	})
	if err != nil {
		a.NotRun = !upstream.Sent(err)
		x.Sent = x.Sent || !a.NotRun
		return nil, a, failure.At("call", choice.Upstream.Name, err)
	}
	a.NotRun = response.NotRun
	if a.NotRun {
		response.Close()
		return nil, a, failure.At("call", choice.Upstream.Name, &upstream.StatusError{Status: response.Status, Message: "refused by the service"})
	}
	x.Sent = true
	if !x.Route.Repeatable && refusal.PromisesNotRun(response.Status) {
		response.Close()
		return nil, a, failure.At("call", choice.Upstream.Name, &upstream.StatusError{Status: response.Status, Message: "the service may have run the call"})
	}
	notifyFirstToken(x, a)
	return response, a, nil
}

// relayCall relays a service's answer to the caller. Up to bufferedAnswerMax bytes
// are read before the first goes out, so that a truncated answer is refused.
func (f *Filter) relayCall(x *pipe.Exchange, response *upstream.Response, a *pipe.Attempt) error {
	peer := a.Choice.Upstream.Name
	head, whole, err := memory.ReadAhead(response.Body, bufferedAnswerMax, roomOf(x.Writer))
	if err != nil {
		return brokenAnswer(x, failure.At("read answer", peer, err))
	}
	h := x.Writer.Header()
	for name, values := range endToEnd(response.Header) {
		h[name] = values
	}
	h.Set(upstream.HeaderRequestID, x.VisibleID())
	h.Del(upstream.HeaderEffect)
	if refusal.PromisesNotRun(response.Status) {
		h.Set(upstream.HeaderEffect, string(refusal.Unknown))
	}
	if whole {
		h.Set("Content-Length", strconv.Itoa(len(head)))
	}
	writeStatus(x, response.Status)
	return copyBody(x, head, response.Body, peer)
}
