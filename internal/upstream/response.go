package upstream

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"currantpulley/internal/snapshot"
)

// naming tells whether each response of an API names its request.
type naming bool

// Whether responses name their requests.
const (
	named        naming = true
	maybeUnnamed naming = false // a response without an id is taken for that of its request
)

// send sends req as request id over t and returns the response, whose body is not read
// yet. Nothing is believed of a response that names another request, or none if n is
// named: its connection is closed, as what follows on it may belong to other requests
// too, and the error is ErrWrongRequestID. No other request is sent on the connection of a
// response that names none. Only a response that names its request can
// state that it did not run.
func send(t http.RoundTripper, req *http.Request, id string, n naming) (*Response, error) {
	req.Header.Set(HeaderRequestID, id)
	reply, err := RoundTripAs(t, req, id)
	if err != nil {
		return nil, err
	}
	owner := reply.Header.Get(HeaderRequestID)
	if owner != id && (owner != "" || n == named) {
		reply.Discard()
		return nil, &SendError{Sent: true, Reused: reply.Reused, Err: fmt.Errorf("%w: %q instead of %q", ErrWrongRequestID, owner, id)}
	}
	if owner == "" {
		reply.NoteUnnamed()
	}
	notRun := owner == id && statesNotRun(reply.StatusCode, reply.Header)
	if notRun {
		reply.NoteRefused()
	}
	return &Response{
		Status:      reply.StatusCode,
		Header:      reply.Header,
		Incarnation: reply.Header.Get(HeaderIncarnation),
		Weights:     reply.Header.Get(HeaderWeights),
		Load:        parseLoad(reply.Header.Get(HeaderLoad)),
		NotRun:      notRun,
		Body:        reply.Body,
	}, nil
}

// statesNotRun reports whether a response states that its request did not run. A
// statement beside a success, or beside another one, is no proof.
func statesNotRun(status int, h http.Header) bool {
	return status >= http.StatusBadRequest && slices.Equal(h.Values(HeaderEffect), []string{effectNotRun})
}

// parseLoad parses "running=N queued=N queued_tokens=N". It returns nil when s is
// malformed.
func parseLoad(s string) *snapshot.Load {
	l := snapshot.Load{At: time.Now()}
	n, err := fmt.Sscanf(s, "running=%d queued=%d queued_tokens=%d", &l.Running, &l.Queued, &l.QueuedTokens)
	if err != nil || n != 3 {
		return nil
	}
	return &l
}
