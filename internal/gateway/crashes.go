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

// quarantineParts returns the shared parts of the prompt as the quarantine knows them.
func (q *request) quarantineParts() []quarantine.Part {
	shared := q.sharedParts()
	parts := make([]quarantine.Part, 0, len(shared))
	for _, p := range shared {
		parts = append(parts, quarantine.PartOf(q.service.Name, p.ID))
	}
	return parts
}

// checkParts returns a refusal if the prompt has a part that crashes upstreams. A
// stream that has begun shows that it has none.
func (g *Gateway) checkParts(q *request) error {
	parts := q.quarantineParts()
	if len(parts) == 0 || q.headSent {
		return nil
	}
	hold := g.opts.Quarantine.Check(parts, q.runs > 0, freshness.Time())
	if hold == nil {
		return nil
	}
	return refusal.New(refusal.Quarantined, "upstreams have ended under requests with a part of this prompt").
		WithRetryAfter(min(quarantineRetryMax, max(quarantineRetryMin, hold.RetryAfter))).
		WithCause(fmt.Errorf("part %016x is %s, %d crashes; the prompt has %s", uint64(hold.Part), hold.Verdict, hold.Crashes, q.describeParts()))
}

// recordBegan records that a response to the request began, which shows that no part
// of its prompt crashes upstreams.
func (g *Gateway) recordBegan(q *request) {
	if parts := q.quarantineParts(); len(parts) > 0 {
		g.opts.Quarantine.Began(parts, freshness.Time())
	}
}

// recordCrash records that a's upstream ended before its response began, if that is
// how the attempt failed with err.
func (g *Gateway) recordCrash(q *request, a *attempt, err error) {
	parts := q.quarantineParts()
	if len(parts) == 0 || q.headSent || !a.brokeOff(err) || !g.hasEnded(a) {
		return
	}
	g.opts.Quarantine.Crashed(a.pick.Upstream.ShortID(), parts, a.sentAt, freshness.Time())
	g.opts.Recorder.Record(event.Event{
		ID: event.UpstreamCrashed, Request: q.ID, Upstream: a.pick.Upstream.ID, Step: "send", Detail: "the prompt has " + q.describeParts(),
	})
}

// brokeOff reports whether err shows that the upstream closed the connection before a
// whole event or body came, without having answered with a failure.
func (a *attempt) brokeOff(err error) bool {
	if a.events > 0 || (a.response != nil && a.response.StatusCode != http.StatusOK) || !upstream.Sent(err) {
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
		return upstream.HasEnded(ctx, u.Address), nil
	})
	return ended == true
}

// describeParts returns the ids of the shared parts with their numbers in the
// quarantine for the log.
func (q *request) describeParts() string {
	var out []string
	for _, p := range q.sharedParts() {
		out = append(out, fmt.Sprintf("%.16s (%016x)", p.ID, uint64(quarantine.PartOf(q.service.Name, p.ID))))
	}
	return strings.Join(out, ", ")
}
