package upstream

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"currantpulley/internal/httpbody"
	"currantpulley/internal/memory"
)

// Header fields of the engine API.
const (
	HeaderRequestID     = "X-Request-Id"
	HeaderPriority      = "X-Priority"
	HeaderSalt          = "X-Cache-Salt"
	HeaderExpectWeights = "X-Expect-Weights"
	HeaderIncarnation   = "X-Incarnation"
	HeaderWeights       = "X-Weights"
	HeaderLoad          = "X-Load"
	HeaderEffect        = "X-Effect"

	headerLastEvent = "Last-Event-ID"
	effectNotRun    = "not-run"
)

const (
	// maxControlBytes limits the responses to state, order and cache event calls.
	maxControlBytes = 4 << 20
	// controlBudget limits what is held of all these responses together.
	controlBudget = 16 << 20
)

// HTTPEngine implements Engine with the HTTP/1.1 API described in docs/API.md.
type HTTPEngine struct {
	transport http.RoundTripper
	control   *memory.Budget // for the bodies of responses to control calls
}

// NewHTTPEngine returns an HTTPEngine that sends its requests over transport.
func NewHTTPEngine(transport http.RoundTripper) *HTTPEngine {
	return &HTTPEngine{transport: transport, control: memory.NewBudget(controlBudget)}
}

// Open implements Engine.
func (e *HTTPEngine) Open(ctx context.Context, address string, r Request) (*Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, &SendError{Err: err}
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderSalt, r.Salt)
	req.Header.Set(HeaderPriority, strconv.Itoa(r.Priority))
	if r.Weights != "" {
		req.Header.Set(HeaderExpectWeights, r.Weights)
	}
	res, err := send(e.transport, req, r.ID, named)
	if err != nil {
		return nil, err
	}
	return checkResponse(ctx, res, r.Weights, 0)
}

// checkResponse checks that res was computed with the expected weights, and turns the
// body of a stream into events after the event numbered after.
func checkResponse(ctx context.Context, res *Response, weights string, after uint64) (*Response, error) {
	if res.Status != http.StatusOK {
		return res, nil
	}
	if weights != "" && res.Weights != "" && res.Weights != weights {
		res.Close()
		return nil, &SendError{Sent: true, Err: fmt.Errorf("%w: %q instead of %q", ErrWrongWeights, res.Weights, weights)}
	}
	if strings.HasPrefix(res.Header.Get("Content-Type"), "text/event-stream") {
		res.Events = NewEvents(res.Body, after, roomOf(ctx))
		res.Body = nil
	}
	return res, nil
}

// Resume implements Engine.
func (e *HTTPEngine) Resume(ctx context.Context, address, id string, after uint64) (*Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, streamURL(address, id), http.NoBody)
	if err != nil {
		return nil, &SendError{Err: err}
	}
	req.Header.Set(headerLastEvent, strconv.FormatUint(after, 10))
	res, err := send(e.transport, req, id, named)
	if err != nil {
		return nil, err
	}
	if res.Status != http.StatusOK {
		res.Close()
		return nil, fmt.Errorf("%w: status %d", ErrStreamNotFound, res.Status)
	}
	return checkResponse(ctx, res, "", after)
}

// Cancel implements Engine.
func (e *HTTPEngine) Cancel(ctx context.Context, address, id string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, streamURL(address, id), http.NoBody)
	if err != nil {
		return err
	}
	res, err := send(e.transport, req, id, maybeUnnamed)
	if err != nil {
		return err
	}
	res.Close()
	return nil
}

// stateFields are fields of every state.
var stateFields = []string{"incarnation", "weights", "fencing", "load"}

// State implements Engine.
func (e *HTTPEngine) State(ctx context.Context, address string) (*State, error) {
	var s State
	return &s, e.call(ctx, http.MethodGet, "http://"+address+"/engine/state", nil, &s, stateFields...)
}

// Order implements Engine.
func (e *HTTPEngine) Order(ctx context.Context, address string, o Order) (*State, error) {
	body, err := json.Marshal(o)
	if err != nil {
		return nil, err
	}
	var s State
	return &s, e.call(ctx, http.MethodPost, "http://"+address+"/engine/orders", body, &s, stateFields...)
}

// CacheEvents implements Engine.
func (e *HTTPEngine) CacheEvents(ctx context.Context, address string, from uint64, sample int) (*CacheEvents, error) {
	var c CacheEvents
	u := fmt.Sprintf("http://%s/engine/cache-events?from=%d&sample=%d", address, from, sample)
	return &c, e.call(ctx, http.MethodGet, u, nil, &c, "incarnation", "next", "events")
}

// call sends a request and decodes the JSON response into out. The response must have
// all the required fields. The error is a *StatusError only if the engine refused the
// call; after another one it may have carried it out.
func (e *HTTPEngine) call(ctx context.Context, method, u string, body []byte, out any, required ...string) error {
	req, err := http.NewRequestWithContext(ctx, method, u, bytes.NewReader(body))
	if err != nil {
		return err
	}
	res, err := send(e.transport, req, rand.Text(), maybeUnnamed)
	if err != nil {
		return err
	}
	defer res.Close()
	part := e.control.Open()
	defer part.Close()
	data, whole, err := memory.ReadAhead(res.Body, maxControlBytes+1, part.Room)
	defer memory.DropBuffer(data)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrTruncated, err)
	}
	if !whole {
		return fmt.Errorf("%w: a control call got over %d bytes", ErrTooLong, len(data))
	}
	if refuses(res.Status) {
		return &StatusError{Status: res.Status, Message: strings.TrimSpace(string(data))}
	}
	if res.Status != http.StatusOK {
		return fmt.Errorf("%w: unexpected status %d", ErrMalformed, res.Status)
	}
	if err := httpbody.DecodeObject(data, out, required...); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}

// refuses reports whether a status tells that the engine did not carry out the call:
// 4xx and 503.
func refuses(status int) bool {
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError || status == http.StatusServiceUnavailable
}

// streamURL returns the URL of the stream of request id.
func streamURL(address, id string) string {
	return "http://" + address + "/v1/streams/" + url.PathEscape(id)
}
