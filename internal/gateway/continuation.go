package gateway

import (
	"fmt"
	"mime"

	"currantpulley/internal/upstream"
)

// mediaTypeEvents is the media type of event streams.
const mediaTypeEvents = "text/event-stream"

// numbering is what the ids of the events relayed so far tell of those that follow.
type numbering uint8

// Numberings, each of which may turn into a later one.
const (
	consecutive numbering = iota // each id is one more than that of the event before
	increasing                   // some ids are left out
	missing                      // an event had none, so that it is not known where to go on
)

// after returns the numbering of the stream once e was relayed after the event called last.
func (n numbering) after(last uint64, e *streamEvent) numbering {
	switch {
	case e.comment:
		return n
	case e.id == 0:
		return missing
	case e.id != last+1:
		return max(n, increasing)
	}
	return n
}

// continues reports whether a's events are to follow those that the caller got, from
// another upstream or in an earlier attempt of the caller's.
func (q *request) continues() bool { return q.headSent || q.resumesStream() }

// checkContinuation returns an error if a's response can't be the rest of the stream that
// it is to continue: it is no stream of events, such as the text of an error.
func (q *request) checkContinuation(a *attempt) error {
	if !q.continues() {
		return nil
	}
	text := a.response.Header.Get("Content-Type")
	if mediaType, _, _ := mime.ParseMediaType(text); mediaType != mediaTypeEvents { // "" if it is malformed
		return fmt.Errorf("%w: the stream goes on with the content type %.40q", upstream.ErrMalformed, text)
	}
	return nil
}

// checkFollows returns an error if e can't be an event of a stream that goes on. Without an
// id it may be anything. Where the caller has the events up to the one before, it must be
// the next one.
func (q *request) checkFollows(e *streamEvent) error {
	if e.comment {
		return nil
	}
	if e.id == 0 {
		return fmt.Errorf("%w: the stream goes on with an event without an id", upstream.ErrMalformed)
	}
	if q.headSent && q.numbering == consecutive && e.id != q.lastRelayed+1 {
		return fmt.Errorf("%w: event %d follows %d", upstream.ErrGap, e.id, q.lastRelayed)
	}
	return nil
}
