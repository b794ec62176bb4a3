package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"

	"currantpulley/internal/balance"
	"currantpulley/internal/event"
	"currantpulley/internal/freshness"
	"currantpulley/internal/quarantine"
	"currantpulley/internal/refusal"
	"currantpulley/internal/upstream"
)

const (
	// maxSharedParts is the number of a prompt's parts that are watched, the deepest
	// ones.
	maxSharedParts = 16
	// endedTimeout bounds the check whether an upstream has ended.
	endedTimeout = 300 * time.Millisecond
	// quarantineRetryMin and quarantineRetryMax bound the time after which the caller
	// of a request that is held back should retry.
	quarantineRetryMin = 5 * time.Second
	quarantineRetryMax = 5 * time.Minute
)

// sharedParts returns the parts of the prompt that other requests may have too.
func (q *request) sharedParts() []balance.Part {
	if q.Prompt == nil || len(q.Prompt.Parts) < 2 {
		return nil
	}
	shared := q.Prompt.Parts[:len(q.Prompt.Parts)-1]
	return shared[max(0, len(shared)-maxSharedParts):]
}

// watchedParts returns what the quarantine knows of the request: the shared parts of
// its prompt and the whole of it, without and with its prompt.
func (q *request) watchedParts() []quarantine.Part {
	if q.watched != nil {
		return q.watched
	}
	for _, p := range q.sharedParts() {
		q.watched = append(q.watched, quarantine.PartOf(q.service.Name, p.ID))
	}
	q.watched = append(q.watched, q.identity(false))
	if q.Prompt != nil {
		q.watched = append(q.watched, q.identity(true))
	}
	return q.watched
}

// checkParts returns a refusal if the request, or a part of its prompt, crashes
// upstreams. A stream that has begun shows that it does not.
func (g *Gateway) checkParts(q *request) error {
	if q.headSent || g.opts.Quarantine.IsEmpty() {
		return nil
	}
	hold := g.opts.Quarantine.Check(q.watchedParts(), q.runs > 0, freshness.Time())
	if hold == nil {
		return nil
	}
	return refusal.New(refusal.Quarantined, "upstreams have ended under this request, or under others with a part of its prompt").
		WithRetryAfter(min(quarantineRetryMax, max(quarantineRetryMin, hold.RetryAfter))).
		WithCause(fmt.Errorf("%s is %s, %d crashes; %s", hold.Part, hold.Verdict, hold.Crashes, q.describeParts()))
}

// recordBegan records that a response to the request began, which shows that neither
// it nor a part of its prompt crashes upstreams.
func (g *Gateway) recordBegan(q *request) {
	if !g.opts.Quarantine.IsEmpty() {
		g.opts.Quarantine.Began(q.watchedParts(), freshness.Time())
	}
}

// recordCrash records that a's upstream ended before its response began, if that is
// how the attempt failed with err.
func (g *Gateway) recordCrash(q *request, a *attempt, err error) {
	if q.headSent || !a.brokeOff(err) || !g.hasEnded(a) {
		return
	}
	g.opts.Quarantine.Crashed(a.pick.Upstream.ShortID(), q.watchedParts(), a.sentAt, freshness.Time())
	g.opts.Recorder.Record(event.Event{
		ID: event.UpstreamCrashed, Request: q.ID, Upstream: a.pick.Upstream.ID, Step: "send", Detail: q.describeParts(),
	})
}

// brokeOff reports whether err shows that the upstream closed the connection before a
// whole event or body came, without having answered with a failure.
func (a *attempt) brokeOff(err error) bool {
	if a.events > 0 || (a.response != nil && !isSuccess(a.response.StatusCode)) || !upstream.Sent(err) {
		return false
	}
	for _, cause := range []error{upstream.ErrClosedAfterSend, upstream.ErrTruncated, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// hasEnded reports whether the process of a's upstream has ended. All attempts that
// fail at one upstream at the same time share one check. It goes on if the caller
// disconnects.
func (g *Gateway) hasEnded(a *attempt) bool {
	u := a.pick.Upstream
	ended, _, _ := g.endedChecks.Do(u.ID, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), endedTimeout)
		defer cancel()
		return g.opts.HasEnded(ctx, u.Address), nil
	})
	return ended == true
}

// isSuccess reports whether a status is 2xx.
func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// describeParts describes for the log what the quarantine knows of the request, and
// the ids of the shared parts of its prompt.
func (q *request) describeParts() string {
	var out []string
	shared := q.sharedParts()
	for i, p := range q.watchedParts() {
		text := p.String()
		if i < len(shared) {
			text += fmt.Sprintf(" (%.16s)", shared[i].ID)
		}
		out = append(out, text)
	}
	return strings.Join(out, ", ")
}
