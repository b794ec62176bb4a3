package gateway

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"currantpulley/internal/balance"
	"currantpulley/internal/event"
	"currantpulley/internal/freshness"
	"currantpulley/internal/hop"
	"currantpulley/internal/memory"
	"currantpulley/internal/metrics"
	"currantpulley/internal/upstream"
)

// maxBufferedBytes is the number of bytes of a response that are read before
// the first is relayed. A response that ends early within them can be retried.
const maxBufferedBytes = 256 << 10

// relay sends a's response to the caller.
func (g *Gateway) relay(q *request, a *attempt) error {
	if q.isEventStream(a) {
		return g.relayStream(q, a)
	}
	return g.relayBuffered(q, a)
}

// relayBuffered relays a response that is not an event stream. Its error is a
// *failedAttempt if nothing was relayed yet.
func (g *Gateway) relayBuffered(q *request, a *attempt) error {
	defer func() { _ = a.response.Body.Close() }()
	head, complete, err := memory.ReadAhead(a.response.Body, maxBufferedBytes, q.w.Room)
	if err == nil && complete {
		err = g.checkEnd(q, a)
	}
	if err != nil {
		f := &failedAttempt{sent: true, err: fmt.Errorf("%w: %w", upstream.ErrTruncated, err)}
		g.fail(q, a, f)
		return f
	}
	if isSuccess(a.response.StatusCode) { // a failure computes no prompt and shows no time
		g.opts.Balancer.Began(a.pick, freshness.Time())
		g.recordBegan(q)
	}
	q.recordWrite()
	g.writeHead(q, a, complete, len(head))
	if _, err := q.w.Write(head); err != nil {
		g.end(a, balance.Cancelled)
		return errCallerGone
	}
	if complete {
		g.succeed(q, a)
		return nil
	}
	return g.relayRemainder(q, a, head[:min(cap(head), copyBuffer)])
}

// copyBuffer is the size in bytes of the buffer with which a long response is relayed.
const copyBuffer = 32 << 10

// relayRemainder relays what follows the first bytes of a response, through a buffer.
func (g *Gateway) relayRemainder(q *request, a *attempt, buffer []byte) error {
	_, err := io.CopyBuffer(q.w, a.response.Body, buffer)
	if err == nil {
		err = g.checkEnd(q, a)
	}
	if err != nil {
		g.fail(q, a, err)
		return fmt.Errorf("%w: %w", errTruncatedRelay, err)
	}
	g.succeed(q, a)
	return nil
}

// errUpstreamEnded is the error of a response whose end may be that of its upstream's
// process.
var errUpstreamEnded = errors.New("it has no length and its upstream has ended")

// checkEnd returns an error if only the end of the connection marks the end of a's
// response and the upstream has ended: its connections close then, too.
func (g *Gateway) checkEnd(q *request, a *attempt) error {
	if q.r.Method != http.MethodHead && framingOf(a.response.Response) == framingConnection && g.hasEnded(a) {
		return errUpstreamEnded
	}
	return nil
}

// writeHead sends the status line and the header fields to the caller. If the
// response is complete, length is the size of its body. The response to HEAD keeps
// the length that the upstream stated.
func (g *Gateway) writeHead(q *request, a *attempt, complete bool, length int) {
	h := q.w.Header()
	for name, values := range hop.EndToEnd(a.response.Header) {
		h[name] = values
	}
	switch {
	case q.r.Method == http.MethodHead:
		if stated := a.response.Header.Get("Content-Length"); stated != "" {
			h.Set("Content-Length", stated)
		}
	case complete:
		h.Set("Content-Length", strconv.Itoa(length))
	}
	q.headSent = true
	q.w.WriteHeader(a.response.StatusCode)
}

// succeed ends an attempt whose response was relayed in full. A server error
// still counts as a failure of the upstream.
func (g *Gateway) succeed(q *request, a *attempt) {
	outcome := balance.Served
	if a.response.StatusCode >= http.StatusInternalServerError {
		outcome = balance.Failed
	}
	g.end(a, outcome)
	g.opts.Metrics.ObserveStage(q.route.Name, metrics.StageFirst, q.firstByte)
	g.opts.Metrics.ObserveStage(q.route.Name, metrics.StageComplete, time.Since(q.arrived))
	g.opts.Recorder.Record(event.Event{
		ID: event.RequestServed, Request: q.ID, Upstream: a.pick.Upstream.ID, Step: "relay",
		Detail: q.timings(a),
	})
}

// timings describes a served request for the log: the time to the first byte,
// the longest pause after it, the total time, the number of sends, the expected
// wait, the weights version, the upstream's address, the framing of its
// response and the id of the last event.
func (q *request) timings(a *attempt) string {
	return fmt.Sprintf("route %s, status %d, first %v, pause %v, whole %v, sends %d, expected %v, weights %d, address %s, framing %s, last event %d",
		q.route.Name, a.response.StatusCode, q.firstByte.Round(time.Millisecond), q.maxPause.Round(time.Millisecond),
		time.Since(q.arrived).Round(time.Millisecond), len(q.reached), a.pick.Wait.Round(time.Millisecond), a.pick.Version,
		a.pick.Upstream.Address, framingOf(a.response.Response), q.lastRelayed) + a.stated()
}

// framing is how the end of a response's body is marked.
type framing string

const (
	framingLength     framing = "length"
	framingChunks     framing = "chunks"
	framingConnection framing = "connection" // the body ends with the connection
)

// framingOf returns the framing of res, which was received over HTTP/1.
func framingOf(res *http.Response) framing {
	switch {
	case res.ContentLength >= 0:
		return framingLength
	case len(res.TransferEncoding) > 0:
		return framingChunks
	}
	return framingConnection
}

// recordWrite updates firstByte, lastWrite and maxPause for a write to the caller
// that happens now.
func (q *request) recordWrite() {
	since := time.Since(q.arrived)
	if q.firstByte == 0 {
		q.firstByte = since
	} else {
		q.maxPause = max(q.maxPause, since-q.lastWrite)
	}
	q.lastWrite = since
}

// relayStream relays the events of a stream as they arrive. A stream that ends
// early is resumed at another upstream if the route allows it.
func (g *Gateway) relayStream(q *request, a *attempt) error {
	q.lastRelayed = q.LastEvent
	for {
		err := g.relayEvents(q, a)
		_ = a.response.Body.Close()
		if err == nil {
			g.succeed(q, a)
			return nil
		}
		if errors.Is(err, errCallerGone) {
			g.end(a, balance.Cancelled)
			return err
		}
		f := &failedAttempt{sent: true, err: err}
		g.fail(q, a, f)
		if !q.headSent {
			return f
		}
		if a, err = g.resume(q, f); err != nil {
			return fmt.Errorf("%w: %w", errTruncatedRelay, err)
		}
	}
}

// resume continues the stream after its last relayed event at another upstream.
// f is the failure of the previous attempt.
func (g *Gateway) resume(q *request, f *failedAttempt) (*attempt, error) {
	for q.numbering != missing && g.mayRetry(q, f) {
		a, err := g.try(q, Outbound{LastEvent: q.lastRelayed, Resume: true})
		if err == nil && a.response.StatusCode == http.StatusOK {
			g.opts.Recorder.Record(event.Event{
				ID: event.StreamResumed, Request: q.ID, Upstream: a.pick.Upstream.ID, Step: "resume",
				Detail: fmt.Sprintf("after event %d, software %s, began at %s", q.lastRelayed, a.pick.Upstream.Software, q.software),
			})
			return a, nil
		}
		if err == nil {
			_ = a.response.Body.Close()
			err = &failedAttempt{sent: true, err: fmt.Errorf("the upstream answered with status %d", a.response.StatusCode)}
			g.fail(q, a, err)
		}
		if !errors.As(err, &f) {
			return nil, err
		}
	}
	return nil, f
}

// relayEvents relays the events of one upstream's response, skipping those that
// the caller has.
func (g *Gateway) relayEvents(q *request, a *attempt) error {
	if err := q.checkContinuation(a); err != nil {
		return err
	}
	continues := q.continues()
	events := newEventReader(a.response.Body, q.w.Room)
	for first := true; ; first = false {
		e, err := events.next()
		if errors.Is(err, io.EOF) && (first || !q.headSent) {
			return q.checkEmptyStream(a)
		}
		if errors.Is(err, io.EOF) {
			return g.checkEnd(q, a)
		}
		if err != nil {
			return err
		}
		a.events++
		if err := a.watch.stop(); err != nil {
			return err
		}
		if e.id != 0 && e.id <= q.lastRelayed {
			continue
		}
		if continues {
			if err := q.checkFollows(&e); err != nil {
				return err
			}
		}
		if !q.headSent {
			g.streamBegan(q, a)
			g.writeHead(q, a, false, 0)
		}
		if _, err := q.w.Write(e.raw); err != nil {
			return errCallerGone
		}
		q.recordWrite()
		q.numbering = q.numbering.after(q.lastRelayed, &e)
		q.lastRelayed = max(q.lastRelayed, e.id)
	}
}

// streamBegan records that a's first event is about to be relayed.
func (g *Gateway) streamBegan(q *request, a *attempt) {
	g.opts.Balancer.Began(a.pick, freshness.Time())
	g.recordBegan(q)
	q.software, q.build = a.pick.Upstream.Software, a.pick.Upstream.Build()
	g.recordOrigin(q)
	if !q.resumesStream() {
		return
	}
	g.opts.Recorder.Record(event.Event{
		ID: event.StreamResumedByCaller, Request: q.ID, Upstream: a.pick.Upstream.ID, Step: "relay",
		Detail: fmt.Sprintf("began as %q, after event %d, software %s", q.FirstAttempt, q.LastEvent, q.software),
	})
}

// checkEmptyStream returns an error unless a's response without events may be the
// end of the stream. It may be in a resumption, if its framing marks it as
// complete.
func (q *request) checkEmptyStream(a *attempt) error {
	if q.headSent && framingOf(a.response.Response) != framingConnection {
		return nil
	}
	return fmt.Errorf("%w: the stream has no events", upstream.ErrTruncated)
}
