// Package pipe defines the request pipeline: the filters, the exchange that passes
// through them, and the attempts at upstreams that it makes.
package pipe

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"time"

	"currantpulley/internal/config"
	"currantpulley/internal/prompt"
	"currantpulley/internal/snapshot"
)

// ErrAnswered is returned by Request of a filter that has answered the caller
// itself. Later filters are skipped and the exchange counts as answered in full.
var ErrAnswered = errors.New("answered by a filter")

// Filter is one stage of a Pipe.
type Filter interface {
	// Request runs before the request is sent. After an error, later filters
	// are skipped; a *refusal.Error determines the answer.
	Request(x *Exchange) error
	// Response runs after the answer, in reverse order, for each filter whose
	// Request was called, including one whose Request failed.
	Response(x *Exchange)
}

// Class is the class of a request by the amount of work expected.
type Class uint8

// Classes of requests. Plain services have only short ones.
const (
	Short Class = iota
	Long
)

// String returns the name of the class.
func (c Class) String() string {
	if c == Long {
		return "long"
	}
	return "short"
}

// Choice is the upstream picked for one attempt, with the parameters of the attempt.
type Choice struct {
	Upstream     *snapshot.Upstream
	Weights      string        // version that the engine must serve; empty: that of Exchange.Model
	CachedTokens int           // prompt tokens expected in the upstream's cache
	ExpectedTTFT time.Duration // expected time to first token
	Level        int           // prefix level whose owners were used; -1: none
	Priority     int           // passed to the engine; lower runs first
	HedgeAfter   time.Duration // time without a token after which to hedge; zero: never
	Reason       string        // why it was picked
}

// Picker picks the upstream for the next attempt. tried names the upstreams to
// leave out. Pick may block until an upstream has capacity, and returns a
// *refusal.Error when none is found.
type Picker interface {
	Pick(ctx context.Context, x *Exchange, tried []string) (Choice, error)
}

// Attempt is one dispatch of an exchange to an upstream. The dispatch filter
// fills it in and notifies the observers.
type Attempt struct {
	Exchange     *Exchange
	Choice       Choice
	RequestID    string // request id sent to the upstream, unique per attempt
	Number       int    // 1 for the first; a hedge has the number of the attempt it hedges
	Hedge        bool
	SentAt       time.Time
	FirstTokenAt time.Time // zero: no token came
	EndedAt      time.Time
	PromptTokens int // token counts as reported by the engine; 0: not reported
	CachedTokens int
	OutputTokens int
	Incarnation  string // of the engine that answered
	Weights      string
	Load         *snapshot.Load // carried by the answer; nil: none
	NotRun       bool           // known not to have run at the upstream
	Err          error
}

// Observer is notified of the progress of attempts. Calls for one attempt come in
// order; calls for different attempts may be concurrent.
type Observer interface {
	// Started is called before the request is sent.
	Started(a *Attempt)
	// FirstToken is called at the first token of a stream, or when a plain
	// service has begun to answer.
	FirstToken(a *Attempt)
	// Finished is called when the attempt has ended, with a.Err set.
	Finished(a *Attempt)
}

// Exchange is one request and its answer in the pipe. A comment beside a field
// names the filter that sets it.
type Exchange struct {
	Ctx      context.Context // ends when the caller disconnects
	Snap     *snapshot.Snapshot
	ID       string // of this request; ids of attempts are derived from it
	CallerID string // the caller's own X-Request-Id; may be empty
	Arrived  time.Time
	Method   string
	Path     string // decoded
	RawPath  string // as the caller sent it; may be empty where Path says the same
	Query    string
	Header   http.Header
	Body     []byte
	Writer   http.ResponseWriter

	Workspace *config.Workspace // authenticate
	Route     *config.Route     // route; nil for model requests
	Model     *config.Model     // parse; nil for plain services
	Prompt    *prompt.Prompt    // parse; nil for plain services
	Deadline  time.Time         // parse; for the first token
	Priority  int               // parse; given by the caller, 0 by default, lower goes first
	Class     Class             // classify
	Picker    Picker            // place
	Observers []Observer        // any filter

	// BeforeSend is set by idempotency and called by dispatch immediately before
	// the first byte of each attempt may be sent. If it returns an error, which is a
	// *refusal.Error, that attempt and all further ones are forbidden. Nil means
	// that attempts need no permission.
	BeforeSend func() error
	Sent       bool // dispatch; a byte of the request may have been sent to an upstream

	Attempts []*Attempt // dispatch
	Answered bool       // a status line was sent to the caller
	Err      error      // why the exchange failed; nil when answered in full
}

// VisibleID returns the request id that the caller sees: CallerID if there is one,
// ID otherwise.
func (x *Exchange) VisibleID() string {
	if x.CallerID != "" {
		return x.CallerID
	}
	return x.ID
}

// EscapedPath returns the path as it is sent in a request.
func (x *Exchange) EscapedPath() string {
	u := url.URL{Path: x.Path, RawPath: x.RawPath}
	return u.EscapedPath()
}

// Abort closes the caller's connection if the writer, or one that it wraps, supports
// it, so that the caller does not take a part of an answer for all of it.
func (x *Exchange) Abort() {
	for w := x.Writer; w != nil; {
		if a, ok := w.(interface{ Abort() }); ok {
			a.Abort()
			return
		}
		wrapper, ok := w.(interface{ Unwrap() http.ResponseWriter })
		if !ok {
			return
		}
		w = wrapper.Unwrap()
	}
}

// Pipe is an ordered list of filters.
type Pipe []Filter

// Run calls Request of the filters in order and then Response in reverse order. It
// sets and returns x.Err.
func (p Pipe) Run(x *Exchange) error {
	reached := 0
	for _, f := range p {
		reached++
		if x.Err = f.Request(x); x.Err != nil {
			break
		}
	}
	if errors.Is(x.Err, ErrAnswered) {
		x.Err = nil
	}
	for i := reached - 1; i >= 0; i-- {
		p[i].Response(x)
	}
	return x.Err
}
