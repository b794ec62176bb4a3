// Package upstream is the client of model engines and plain services. HTTPEngine
// implements the engine API of docs/API.md; engines with another API need another
// implementation of Engine.
package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"

	"currantpulley/internal/snapshot"
)

// Errors of an upstream's response, for use with errors.Is.
var (
	// ErrWrongRequestID: the response carries the id of another request.
	ErrWrongRequestID = errors.New("the response carries another request's id")
	// ErrTruncated: the response ended before it was complete.
	ErrTruncated = errors.New("the response ended before it was complete")
	// ErrGap: an event is missing from the stream.
	ErrGap = errors.New("an event is missing from the stream")
	// ErrMalformed: the response violates the protocol.
	ErrMalformed = errors.New("the response violates the protocol")
	// ErrTooLong: an event or response is larger than the limit.
	ErrTooLong = errors.New("the response is larger than the limit")
	// ErrWrongWeights: the engine serves another weights version than expected.
	ErrWrongWeights = errors.New("the engine serves another weights version")
	// ErrEngineFailed: the engine ended the stream with an error event.
	ErrEngineFailed = errors.New("the engine reported an error")
	// ErrStreamNotFound: the engine no longer has the stream.
	ErrStreamNotFound = errors.New("the engine no longer has the stream")
)

// Request is a request to a model engine.
type Request struct {
	ID       string // unique; echoed in the response
	Path     string
	Body     []byte
	Salt     string // names the workspace; separates cache entries
	Weights  string // required weights version; empty: any
	Priority int
}

// Response is the response of an engine or a plain service, whose body is not
// read yet. Exactly one of Body and Events is set.
type Response struct {
	Status      int
	Header      http.Header
	Incarnation string         // identifies one run of the engine's process; empty: not given
	Weights     string         // weights version; empty: not given
	Load        *snapshot.Load // nil: not given
	NotRun      bool           // the upstream states that the request did not run
	Body        io.ReadCloser
	Events      *Events
}

// Close closes the response. Its connection is closed too unless the body was
// read to the end.
func (r *Response) Close() {
	if r.Body != nil {
		_ = r.Body.Close()
	}
	if r.Events != nil {
		r.Events.Close()
	}
}

// Engine is the client API of a model engine. Call Sent on an error of Open to
// learn whether a byte of the request may have been sent.
type Engine interface {
	// Open sends a request and returns the response, whose body is not read yet.
	Open(ctx context.Context, address string, r Request) (*Response, error)
	// Resume requests the events of stream id that follow the event numbered
	// after. It returns ErrStreamNotFound when the engine no longer has the
	// stream.
	Resume(ctx context.Context, address, id string, after uint64) (*Response, error)
	// Cancel tells the engine to stop request id.
	Cancel(ctx context.Context, address, id string) error
	// State returns the engine's state and load.
	State(ctx context.Context, address string) (*State, error)
	// Order sends an order and returns the state after it.
	Order(ctx context.Context, address string, o Order) (*State, error)
	// CacheEvents returns sampled cache events, starting at sequence number from.
	CacheEvents(ctx context.Context, address string, from uint64, sample int) (*CacheEvents, error)
}

// SendError is a failure to get a response. Sent tells whether a byte of the
// request may have been sent, Reused whether its connection had served another
// request before.
type SendError struct {
	Sent   bool
	Reused bool
	Err    error
}

// Error implements error.
func (e *SendError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// Sent reports whether a byte of the request may have been sent before err. It
// returns true unless err wraps a *SendError that says otherwise.
func Sent(err error) bool {
	var s *SendError
	if errors.As(err, &s) {
		return s.Sent
	}
	return true
}

// Reused reports whether err wraps a *SendError of a connection that had served another
// request before.
func Reused(err error) bool {
	var s *SendError
	return errors.As(err, &s) && s.Reused
}

// StatusError is a response by which an upstream refused a call.
type StatusError struct {
	Status  int
	Message string
}

// Error implements error.
func (e *StatusError) Error() string {
	return http.StatusText(e.Status) + ": " + e.Message
}

// State is the response to GET /engine/state.
type State struct {
	Incarnation string            `json:"incarnation"`
	Weights     map[string]string `json:"weights"`
	Loading     bool              `json:"loading"`
	Role        string            `json:"role"`
	Adapters    []string          `json:"adapters"`
	Fencing     uint64            `json:"fencing"`
	Load        StateLoad         `json:"load"`
}

// StateLoad is the load reported in State.
type StateLoad struct {
	Running        int `json:"running"`
	Queued         int `json:"queued"`
	QueuedTokens   int `json:"queued_tokens"`
	CachedPieces   int `json:"cached_pieces"`
	CapacityPieces int `json:"capacity_pieces"`
}

// Order tells an engine to change its weights, adapters or role. The engine can
// refuse an order whose fencing token is outdated.
type Order struct {
	Fencing uint64 `json:"fencing"` // fencing token of the sender
	Action  string `json:"action"`  // "load", "adapter" or "role"
	Model   string `json:"model,omitempty"`
	Weights string `json:"weights,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
}

// CacheEvents is a batch of sampled cache events.
type CacheEvents struct {
	Incarnation string       `json:"incarnation"`
	Next        uint64       `json:"next"`
	Gap         bool         `json:"gap"`
	Events      []CacheEvent `json:"events"`
}

// CacheEvent tells that an engine stored or evicted a piece of a prompt.
type CacheEvent struct {
	Seq   uint64 `json:"seq"`
	Op    string `json:"op"` // "store" or "evict"
	Salt  string `json:"salt"`
	Model string `json:"model"`
	Piece string `json:"piece"` // chained hash in hex
}
