// Package idempotency is the filter for routes whose calls run at most once.
// Before the call is sent it records the intent to send it. A repeat with the
// same idempotency key is answered from the recorded outcome of the first call.
// After the answer it records the outcome.
package idempotency

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"currantpulley/internal/control/calls"
	"currantpulley/internal/control/calls/callspb"
	"currantpulley/internal/event"
	"currantpulley/internal/pipe"
	"currantpulley/internal/presence"
	"currantpulley/internal/refusal"
)

const (
	// KeyHeader is the request header that carries the idempotency key.
	KeyHeader = "Idempotency-Key"
	// ReplayedHeader is set on answers that are replayed from a recorded outcome.
	ReplayedHeader = "Idempotency-Replayed"

	keyMax             = 255 // in bytes
	callTimeoutDefault = 2 * time.Minute
)

// Filter makes the calls of routes that are not repeatable run at most once.
type Filter struct {
	calls    CallLog
	recorder event.Recorder
}

// CallLog records the intents and outcomes of calls. *calls.Calls implements it.
// Begin returns a call to send, or the outcome of an earlier call with the key.
type CallLog interface {
	Begin(ctx context.Context, r calls.Request) (*calls.Call, *calls.Outcome, error)
}

// New returns the filter.
func New(c CallLog, recorder event.Recorder) *Filter { return &Filter{calls: c, recorder: recorder} }

var _ pipe.Filter = (*Filter)(nil)

// activeCall is a call between Request and Response. The exchange's context
// carries it.
type activeCall struct {
	call   *calls.Call
	caller context.Context // ends when the caller disconnects
	answer *capture
	cancel context.CancelFunc
}

type activeCallKey struct{}

// Request implements pipe.Filter. It does nothing for routes that are repeatable.
func (f *Filter) Request(x *pipe.Exchange) error {
	if x.Route == nil || x.Route.Repeatable {
		return nil
	}
	key := x.Header.Get(KeyHeader)
	switch {
	case key == "":
		return refusal.New(refusal.KeyRequired, "the route %s needs the header %s", x.Route.Name, KeyHeader)
	case len(key) > keyMax:
		return refusal.New(refusal.BadRequest, "the header %s is longer than %d bytes", KeyHeader, keyMax)
	}
	call, outcome, err := f.calls.Begin(x.Ctx, calls.Request{Workspace: workspaceName(x), Key: key, Body: requestIdentity(x)})
	switch {
	case err != nil:
		return err
	case outcome != nil:
		return replay(x, outcome)
	}
	f.trackCall(x, call)
	return nil
}

// trackCall prepares x so that the answer is captured and a call that was sent
// continues when its caller disconnects. The outcome is then recorded for the
// caller's next attempt. A caller that leaves before the send stops the call.
func (f *Filter) trackCall(x *pipe.Exchange, call *calls.Call) {
	caller := x.Ctx
	answer := &capture{ResponseWriter: x.Writer}
	ctx, cancel := context.WithTimeout(presence.Detach(caller), callTimeout(x))
	x.Ctx = context.WithValue(ctx, activeCallKey{}, &activeCall{call: call, caller: caller, answer: answer, cancel: cancel})
	x.Writer = answer
	x.BeforeSend = func() error { return call.CheckSend(caller, x.Sent) }
}

// Response implements pipe.Filter. It records the outcome of a call that was sent
// and voids the intent of one that was not. Outer filters get the caller's context
// back, which tells them whether the caller is still there.
func (f *Filter) Response(x *pipe.Exchange) {
	r, ok := x.Ctx.Value(activeCallKey{}).(*activeCall)
	if !ok {
		return
	}
	r.cancel()
	x.Ctx = r.caller
	x.Writer = r.answer.ResponseWriter
	if !x.Sent {
		r.call.Void()
		return
	}
	r.call.Finish(outcomeOf(x, r.answer))
}

// outcomeOf returns the outcome to record for a call that was sent.
func outcomeOf(x *pipe.Exchange, answer *capture) *calls.Outcome {
	if x.Err == nil {
		return answer.outcome()
	}
	var r *refusal.Error
	if errors.As(x.Err, &r) && r.Effect == refusal.NotRun && answer.status == 0 {
		return &calls.Outcome{Result: callspb.Result_RESULT_NOT_RUN, Body: []byte(r.Message)}
	}
	return &calls.Outcome{Result: callspb.Result_RESULT_UNKNOWN}
}

// replay answers a repeated call from the recorded outcome of the first one.
func replay(x *pipe.Exchange, o *calls.Outcome) error {
	switch o.Result {
	case callspb.Result_RESULT_ANSWERED:
	case callspb.Result_RESULT_NOT_RUN:
		return refusal.New(refusal.UpstreamFailed, "%s", o.Body)
	case callspb.Result_RESULT_TOO_LARGE:
		return refusal.NewUnknown(refusal.OutcomeUnknown, nil,
			"the call ran and was answered with status %d; the answer was too large to keep", o.Status)
	default:
		return refusal.NewUnknown(refusal.OutcomeUnknown, nil,
			"a call with this idempotency key was sent and its outcome is not known")
	}
	header := x.Writer.Header()
	for _, h := range o.Headers {
		header.Add(h.Name, h.Value)
	}
	header.Set(ReplayedHeader, "true")
	x.Answered = true
	x.Writer.WriteHeader(int(o.Status))
	_, _ = x.Writer.Write(o.Body) // the caller may have disconnected
	return pipe.ErrAnswered
}

// requestIdentity returns the parts of a request that must be equal for it to
// count as a repeat of another request with the same key.
func requestIdentity(x *pipe.Exchange) []byte {
	head := strings.Join([]string{x.Method, cmp.Or(x.RawPath, x.Path), x.Query, ""}, "\n")
	return append([]byte(head), x.Body...)
}

func workspaceName(x *pipe.Exchange) string {
	if x.Workspace == nil {
		return ""
	}
	return x.Workspace.Name
}

func callTimeout(x *pipe.Exchange) time.Duration {
	if t := x.Route.Timeout.Std(); t > 0 {
		return t
	}
	return callTimeoutDefault
}

// unrecordedHeaders are response headers that apply only to the connection or the
// request of the first answer.
var unrecordedHeaders = map[string]bool{
	"Connection": true, "Content-Length": true, "Date": true, "Keep-Alive": true,
	"Transfer-Encoding": true, "Trailer": true, "X-Request-Id": true,
}

// headerMax is the largest total size of the recorded headers, in bytes.
const headerMax = 2 << 10

func recordedHeaders(h http.Header) []*callspb.Header {
	var recorded []*callspb.Header
	size := 0
	for name, values := range h {
		if unrecordedHeaders[name] {
			continue
		}
		for _, v := range values {
			size += len(name) + len(v)
			if size > headerMax {
				return recorded
			}
			recorded = append(recorded, &callspb.Header{Name: name, Value: v})
		}
	}
	return recorded
}
