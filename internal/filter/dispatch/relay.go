package dispatch

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"currantpulley/internal/event"
	"currantpulley/internal/failure"
	"currantpulley/internal/memory"
	"currantpulley/internal/pipe"
	"currantpulley/internal/refusal"
	"currantpulley/internal/upstream"
)

const (
	resumeAttemptsMax = 5
	resumeDelay       = 100 * time.Millisecond // multiplied by the number of the attempt
	bufferedAnswerMax = 1 << 20                // bytes of an answer buffered before the first is relayed
	copyBufferSize    = 32 << 10
	leastCopyBuffer   = 512
)

// attemptID returns the request id that an upstream sees for an attempt. It is
// unique per attempt, so that a late answer is never taken for the answer of
// another attempt.
func attemptID(x *pipe.Exchange, number int, hedge bool) string {
	id := x.ID + "-" + strconv.Itoa(number)
	if hedge {
		id += "h"
	}
	return id
}

// relay relays the answer to the caller and notifies the observers of its end.
func (f *Filter) relay(x *pipe.Exchange, o *openedAttempt) error {
	defer o.cancel(nil)
	var err error
	if o.response.Events != nil {
		err = f.relayStream(x, o)
	} else {
		err = f.relayBody(x, o)
	}
	o.response.Close()
	notifyFinished(x, o.attempt, err)
	if err != nil && x.Ctx.Err() != nil {
		go f.cancelAtEngine(o.attempt)
	}
	return err
}

// relayStream relays events in order until the final one. A broken stream is
// resumed at the engine. If that fails, the answer ends with an error event.
func (f *Filter) relayStream(x *pipe.Exchange, o *openedAttempt) error {
	setAnswerHeader(x, "text/event-stream")
	x.Writer.Header().Set("Cache-Control", "no-cache")
	writeStatus(x, http.StatusOK)
	ev, err := o.firstEvent, error(nil)
	for {
		if err == nil {
			o.recordUsage(ev)
			if werr := writeEvent(x.Writer, ev); werr != nil {
				return failure.At("relay", "caller", werr)
			}
			if ev.Final() {
				return nil
			}
			ev, err = o.response.Events.Next()
			continue
		}
		if ev, err = f.resume(x, o, err); err != nil {
			return f.endBrokenStream(x, o, err)
		}
	}
}

// resume asks the engine for the rest of a broken stream and returns the next
// event. cause is the error that broke the stream.
func (f *Filter) resume(x *pipe.Exchange, o *openedAttempt, cause error) (upstream.Event, error) {
	a := o.attempt
	last := o.response.Events.Last()
	if last == 0 {
		return upstream.Event{}, cause
	}
	o.response.Close()
	for attempt := 1; attempt <= resumeAttemptsMax; attempt++ {
		if err := sleepJittered(x.Ctx, time.Duration(attempt)*resumeDelay); err != nil {
			return upstream.Event{}, err
		}
		response, err := f.Engine.Resume(upstream.WithRoom(o.ctx, roomOf(x.Writer)), a.Choice.Upstream.Address, a.RequestID, last)
		if errors.Is(err, upstream.ErrStreamNotFound) {
			return upstream.Event{}, err
		}
		if err != nil {
			continue
		}
		if err := checkSameEngine(a, response); err != nil {
			response.Close()
			return upstream.Event{}, err
		}
		o.response = response
		ev, err := response.Events.Next()
		if err == nil {
			f.record(event.StreamResumed, a, cause)
			return ev, nil
		}
		response.Close()
	}
	return upstream.Event{}, cause
}

// checkSameEngine returns an error unless a resumed stream comes from the
// incarnation and the weights version with which it began.
func checkSameEngine(a *pipe.Attempt, response *upstream.Response) error {
	if response.Events == nil {
		return fmt.Errorf("%w: resumed answer is not an event stream", upstream.ErrMalformed)
	}
	if response.Incarnation != a.Incarnation || response.Weights != a.Weights {
		return fmt.Errorf("%w: stream resumed by incarnation %q with weights %q, expected %q with %q",
			upstream.ErrWrongWeights, response.Incarnation, response.Weights, a.Incarnation, a.Weights)
	}
	return nil
}

// sleepJittered waits for a random time between d/2 and 3d/2, or until ctx ends.
func sleepJittered(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d/2 + rand.N(d)) //nolint:gosec // jitter needs no cryptographic randomness
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// endBrokenStream ends a stream with an error event, so that the caller can tell
// it from a complete one.
func (f *Filter) endBrokenStream(x *pipe.Exchange, o *openedAttempt, cause error) error {
	if x.Ctx.Err() != nil {
		return x.Ctx.Err()
	}
	err := failure.At("relay", o.attempt.Choice.Upstream.Name, cause)
	f.record(event.StreamBroken, o.attempt, err)
	r := refusal.NewUnknown(refusal.UpstreamFailed, err, "the stream broke and could not be resumed")
	body, merr := json.Marshal(r.Body())
	if merr != nil {
		return merr
	}
	_, _ = fmt.Fprintf(x.Writer, "event: error\ndata: %s\n\n", body)
	return r
}

// writeEvent writes ev as a server-sent event in a single write.
func writeEvent(w io.Writer, ev upstream.Event) error {
	var b bytes.Buffer
	if ev.ID != 0 {
		fmt.Fprintf(&b, "id: %d\n", ev.ID)
	}
	if ev.Name != "" {
		fmt.Fprintf(&b, "event: %s\n", ev.Name)
	}
	for line := range bytes.SplitSeq(ev.Data, []byte("\n")) {
		b.WriteString("data: ")
		b.Write(line)
		b.WriteByte('\n')
	}
	b.WriteByte('\n')
	_, err := w.Write(b.Bytes())
	return err
}

type usageBody struct {
	Usage *usage `json:"usage"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	Details          struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

var usageKey = []byte(`"usage"`)

// recordUsage copies the token counts in ev to the attempt.
func (o *openedAttempt) recordUsage(ev upstream.Event) { recordUsage(o.attempt, ev.Data) }

// recordUsage copies the token counts in data, the JSON of an event or of a whole
// answer, to a. Data without counts is ignored.
func recordUsage(a *pipe.Attempt, data []byte) {
	if !bytes.Contains(data, usageKey) {
		return
	}
	var b usageBody
	if json.Unmarshal(data, &b) != nil || b.Usage == nil {
		return
	}
	a.PromptTokens = b.Usage.PromptTokens
	a.OutputTokens = b.Usage.CompletionTokens
	a.CachedTokens = b.Usage.Details.CachedTokens
}

// relayBody relays an answer that is not a stream. Up to bufferedAnswerMax bytes
// are read before the first goes out, so that a truncated answer is refused.
func (f *Filter) relayBody(x *pipe.Exchange, o *openedAttempt) error {
	head, whole, err := memory.ReadAhead(o.response.Body, bufferedAnswerMax, roomOf(x.Writer))
	if err != nil {
		return brokenAnswer(x, failure.At("read answer", o.attempt.Choice.Upstream.Name, err))
	}
	if err := checkCompletion(o.response.Status, head, whole); err != nil {
		return brokenAnswer(x, failure.At("read answer", o.attempt.Choice.Upstream.Name, err))
	}
	setAnswerHeader(x, o.response.Header.Get("Content-Type"))
	if whole {
		recordUsage(o.attempt, head)
		x.Writer.Header().Set("Content-Length", strconv.Itoa(len(head)))
	}
	writeStatus(x, o.response.Status)
	return copyBody(x, head, o.response.Body, o.attempt.Choice.Upstream.Name)
}

// roomOf returns the function that tells whether memory may be held for an answer to w.
func roomOf(w http.ResponseWriter) memory.Room {
	for w != nil {
		if limited, ok := w.(interface{ Room(n int64) bool }); ok {
			return limited.Room
		}
		wrapped, ok := w.(interface{ Unwrap() http.ResponseWriter })
		if !ok {
			break
		}
		w = wrapped.Unwrap()
	}
	return func(int64) bool { return true }
}

// checkCompletion returns an error if body is not all of a completion. The end of a
// response with neither a length nor chunks is the end of its connection, which may
// come early. Bodies that are not read in full are not checked.
func checkCompletion(status int, body []byte, whole bool) error {
	if status != http.StatusOK || !whole || json.Valid(body) {
		return nil
	}
	return fmt.Errorf("%w: the completion is not JSON", upstream.ErrMalformed)
}

// copyBody writes head and then the rest of body to the caller. If reading body
// fails, the caller's connection is closed, so that the caller does not take the
// truncated answer for a complete one.
func copyBody(x *pipe.Exchange, head []byte, body io.Reader, peer string) error {
	if _, err := x.Writer.Write(head); err != nil {
		return failure.At("relay", "caller", err)
	}
	buf := head[:min(cap(head), copyBufferSize)] // it was written
	if len(buf) == 0 {
		buf = make([]byte, leastCopyBuffer)
	}
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if _, werr := x.Writer.Write(buf[:n]); werr != nil {
				return failure.At("relay", "caller", werr)
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			x.Abort()
			return brokenAnswer(x, failure.At("relay", peer, err))
		}
	}
}

// brokenAnswer converts an error of reading an answer that had begun into a refusal.
// Its request may have run, and other attempts may still be in flight.
func brokenAnswer(x *pipe.Exchange, err error) error {
	if x.Ctx.Err() != nil {
		return x.Ctx.Err()
	}
	return refusal.NewUnknown(refusal.UpstreamFailed, err, "the answer broke off")
}
