package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"currantpulley/internal/balance"
	"currantpulley/internal/catalog"
	"currantpulley/internal/event"
	"currantpulley/internal/failure"
	"currantpulley/internal/freshness"
	"currantpulley/internal/hop"
	"currantpulley/internal/memory"
	"currantpulley/internal/metrics"
	"currantpulley/internal/refusal"
	"currantpulley/internal/rendezvous"
	"currantpulley/internal/upstream"
)

// maxSends is the maximum number of sends of one request, including those that
// the upstream states not to have run.
const maxSends = 4

// attempt is one attempt to get a response from an upstream.
type attempt struct {
	pick     *balance.Pick
	response *upstream.Reply // nil: none came
	head     Inbound
	watch    *weightsWatch // nil: its weights are not watched
	events   int           // whole events of a stream that were received
	sentAt   time.Time     // see freshness.Time
}

// failedAttempt is the error of an attempt without a usable response.
type failedAttempt struct {
	notRun   bool // no byte was sent, or the upstream states that the request did not run
	refused  bool // the upstream refused the request
	sent     bool // a byte may have been sent
	budgeted bool // the next attempt was already taken from the retry budget
	err      error
}

// Error implements error.
func (f *failedAttempt) Error() string { return f.err.Error() }

// Unwrap returns the cause.
func (f *failedAttempt) Unwrap() error { return f.err }

// sendWithRetries sends the request to upstreams until a response is relayed or
// no further attempt is allowed.
func (g *Gateway) sendWithRetries(q *request) error {
	var last *failedAttempt
	for {
		a, err := g.try(q, Outbound{LastEvent: q.LastEvent, Resume: q.HasLastEvent})
		if err == nil {
			err = g.relay(q, a)
			if err == nil || q.headSent {
				return err
			}
		}
		if !errors.As(err, &last) {
			return g.finalError(q, last, err)
		}
		if !g.mayRetry(q, last) {
			return g.refusalFor(q, last)
		}
	}
}

// finalError returns the error of a request for which no further upstream can
// be picked. The failure of an earlier attempt takes precedence over err, as it
// says more about the cause, unless err tells when a request that did not run can be
// answered.
func (g *Gateway) finalError(q *request, last *failedAttempt, err error) error {
	var r *refusal.Error
	if last == nil || (q.runs == 0 && errors.As(err, &r) && r.Code == refusal.DeadlineUnmeetable) {
		return err
	}
	return g.refusalFor(q, last)
}

// mayRetry reports whether another attempt may follow f. A request that may have
// run is repeated only if the route allows it. A retry takes one from the retry
// budget if f was sent.
func (g *Gateway) mayRetry(q *request, f *failedAttempt) bool {
	if q.ctx.Err() != nil || len(q.reached) >= maxSends {
		return false
	}
	if !f.notRun && (!q.route.MayRepeat() || q.runs >= q.route.MaxAttempts) {
		return false
	}
	return !f.sent || f.budgeted || g.allowRepeat(q)
}

// errRepeatHeldUp is the error of a repeat that the retry budget no longer allows
// because this process was paused before it was sent.
var errRepeatHeldUp = errors.New("the repeat was held up for too long")

// allowRepeat takes a further send of the request from the retry budget of its
// service, and reports whether one was allowed.
func (g *Gateway) allowRepeat(q *request) bool {
	permit, ok := g.opts.Retries.Allow(q.service.Name)
	if ok {
		q.permit = permit
	}
	return ok
}

// refusalFor returns the error of a request whose last attempt failed with f:
// a refusal, or errCallerGone if the caller disconnected.
func (g *Gateway) refusalFor(q *request, f *failedAttempt) error {
	if q.callerCtx.Err() != nil {
		return errCallerGone
	}
	stopping := g.ending.Err() != nil
	if stopping && q.runs == 0 {
		return errStopping().WithCause(f)
	}
	if stopping {
		return refusal.NewUnknown(refusal.Draining, f, "this router stopped before the answer was whole")
	}
	if q.runs == 0 {
		return refusal.New(refusal.Overloaded, "no upstream took the request").WithRetryAfter(g.retryAfter(q)).WithCause(f)
	}
	if q.ctx.Err() != nil {
		return refusal.NewUnknown(refusal.DeadlineExceeded, f, "no whole answer came in time")
	}
	return refusal.NewUnknown(refusal.UpstreamFailed, f, "no upstream answered in full")
}

// try picks an upstream, sends the request to it and checks the head of the
// response. Its error is a *failedAttempt when the request was sent or could
// not be sent, and a refusal when none was tried.
func (g *Gateway) try(q *request, o Outbound) (*attempt, error) {
	if err := g.checkParts(q); err != nil {
		return nil, err
	}
	q.snap = g.opts.Watcher.Load()
	now := freshness.Time()
	g.setUrgency(q, now)
	work := q.work()
	pick := g.opts.Balancer.Pick(q.snap, work, now)
	if pick == nil {
		return nil, g.noUpstream(work)
	}
	if pick.Late > 0 && !q.headSent {
		g.opts.Balancer.Done(pick, balance.Cancelled, now)
		return nil, lateRefusal(pick, work.Left)
	}
	g.observeWait(q, pick, now)
	q.expected = pick.Wait
	q.tried = append(q.tried, pick.Upstream.Key())
	if err := g.charge(q); err != nil {
		g.opts.Balancer.Done(pick, balance.Cancelled, freshness.Time())
		return nil, err
	}
	now = freshness.Time() // charge may have waited for another daemon
	g.opts.Balancer.Restart(pick, now)
	if err := g.recheckKey(q); err != nil {
		g.opts.Balancer.Done(pick, balance.Cancelled, now)
		return nil, err
	}
	a := &attempt{pick: pick, sentAt: now}
	if !g.opts.Retries.Confirm(&q.permit) {
		g.opts.Balancer.Done(pick, balance.Cancelled, now)
		return nil, errRepeatHeldUp
	}
	g.countSend(q, pick)
	g.countCrossing(q, pick)
	err := g.send(q, a, o)
	if err == nil {
		return a, nil
	}
	g.fail(q, a, err)
	return nil, err
}

// work returns the request as the balancer sees it.
func (q *request) work() *balance.Work {
	w := &balance.Work{
		Service: q.service.Name, Group: q.cacheGroup(), Resumable: q.resumable(), Tried: q.tried, Reached: q.reached, Build: q.build,
		CallerResumes: q.route.Kind == catalog.Stream && q.route.Resumable,
		Left:          q.timeLeft(),
		Received:      max(q.LastEvent, q.lastRelayed),
		Bytes:         q.bytes(),
		Hash:          rendezvous.Weight(crossingSalt, rendezvous.Hash(q.ID)),
	}
	if q.service.Engine != nil {
		w.Prompt = q.Prompt
		w.Urgency = q.urgency
	}
	return w
}

// timeLeft returns the time for which the caller still waits: for the whole answer until
// the deadline, and for the next event of a stream until it leaves.
func (q *request) timeLeft() balance.TimeLeft {
	left := balance.TimeLeft{Whole: max(1, time.Until(q.deadline))}
	if q.route.EventTimeout > 0 {
		since := q.arrived.Add(q.lastWrite)
		left.First = max(1, time.Until(since.Add(q.route.EventTimeout)))
	}
	return left
}

// lateRefusal returns the refusal of a request whose answer would come later than its
// caller waits at each upstream, p among them.
func lateRefusal(p *balance.Pick, left balance.TimeLeft) *refusal.Error {
	return refusal.New(refusal.DeadlineUnmeetable, "the answer would come later than its caller waits").
		WithRetryAfter(max(minRetryAfter, p.RetryAfter)).
		WithCause(fmt.Errorf("%v of work ahead at %s, the first that can answer; the answer is expected to begin after %v and to end after %v, the caller waits %v for its first byte and %v for its end",
			p.Ahead.Round(time.Millisecond), p.Upstream.ID, p.Expected.First.Round(time.Millisecond), p.Expected.Whole.Round(time.Millisecond),
			left.FirstByte().Round(time.Millisecond), left.Whole.Round(time.Millisecond)))
}

// countSend updates the metrics for a request that is about to be sent.
func (g *Gateway) countSend(q *request, p *balance.Pick) {
	m := g.opts.Metrics
	if len(q.reached) == 0 {
		m.ObserveStage(q.route.Name, metrics.StageSent, time.Since(q.arrived))
	}
	if q.Prompt != nil {
		m.Tokens(metrics.SourceHeld, p.Held)
		m.Tokens(metrics.SourceFetched, p.Fetched)
		m.Tokens(metrics.SourceComputed, q.Prompt.Tokens-p.Held-p.Fetched)
	}
}

// countSent records that a was sent, also in the metrics.
func (g *Gateway) countSent(q *request, a *attempt) {
	kind := metrics.SendFirst
	if len(q.reached) > 0 {
		kind = metrics.SendRepeated
	}
	g.opts.Metrics.Sent(q.service.Name, kind)
	q.reached = append(q.reached, a.pick.Upstream.Address)
}

// resumable reports whether the request may be resumed at another upstream.
func (q *request) resumable() bool {
	return q.route.Kind == catalog.Stream && q.route.Resumable && q.runs+1 < q.route.MaxAttempts
}

// recheckKey returns a refusal if the request's key may have been revoked since
// it was checked.
func (g *Gateway) recheckKey(q *request) error {
	if q.workspace == nil || q.route.Public {
		return nil
	}
	return g.checkKeysFresh()
}

// send sends the request to a's upstream and checks the head of the response.
// Its error is a *failedAttempt.
func (g *Gateway) send(q *request, a *attempt, o Outbound) error {
	req, err := g.build(q, a, o)
	if err != nil {
		return &failedAttempt{notRun: true, err: err}
	}
	ctx, err := g.watchWeights(q, a)
	if err != nil {
		return &failedAttempt{notRun: true, err: err}
	}
	ctx = upstream.WithRoom(ctx, q.w.Room)
	res, err := upstream.RoundTripAs(g.opts.Transport, req.WithContext(ctx), q.ID) //nolint:bodyclose // closed when relayed or refused
	if err != nil {
		sent := upstream.Sent(err)
		if sent {
			g.countSent(q, a)
			q.runs++
		}
		return &failedAttempt{notRun: !sent, sent: sent, err: err}
	}
	g.countSent(q, a)
	a.response = res
	a.head = g.opts.Dialect.Inbound(res.StatusCode, res.Header)
	err = g.checkHead(q, a)
	if err == nil {
		err = q.checkBegun(a)
	}
	if err != nil {
		_ = res.Body.Close()
	}
	return err
}

// isEventStream reports whether a's response is relayed event by event.
func (q *request) isEventStream(a *attempt) bool {
	return q.route.Kind == catalog.Stream && a.response.StatusCode == http.StatusOK
}

// checkBegun ends the watch of a's weights if the head shows that the answer
// began. An event stream begins with its first event. checkBegun returns a
// *failedAttempt if the attempt was cancelled before.
func (q *request) checkBegun(a *attempt) error {
	if q.isEventStream(a) {
		return nil
	}
	if err := a.watch.stop(); err != nil {
		return &failedAttempt{sent: true, err: err}
	}
	return nil
}

// build returns the HTTP request for a's upstream.
func (g *Gateway) build(q *request, a *attempt, o Outbound) (*http.Request, error) {
	u := *q.r.URL
	u.Scheme = "http"
	u.Host = a.pick.Upstream.Address
	req := &http.Request{
		Method: q.r.Method, URL: &u, Host: q.r.Host,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: hop.EndToEnd(q.r.Header),
		Body:   http.NoBody,
	}
	if len(q.body) > 0 {
		req.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(q.body)), nil }
		req.Body = io.NopCloser(bytes.NewReader(q.body))
		req.ContentLength = int64(len(q.body))
	}
	if req.Header.Get("User-Agent") == "" {
		req.Header.Set("User-Agent", "") // keeps net/http from adding its own
	}
	if _, err := url.ParseRequestURI(u.RequestURI()); err != nil {
		return nil, fmt.Errorf("path: %w", err)
	}
	o.Upstream = a.pick.Upstream
	o.Remaining = time.Until(q.deadline)
	o.Urgency = -1
	o.Workspace = q.workspaceName()
	if q.service.Engine != nil {
		o.Version = a.pick.Version
		o.Salt = cacheSalt(q, a.pick.Version)
		o.Urgency = q.urgency
		o.FetchFrom = a.pick.Fetch
		o.SaveTo = a.pick.Save
	}
	g.opts.Dialect.Outbound(req.Header, o)
	return req, nil
}

// checkHead takes the load and the weights version from the head of the
// response. It rejects a response that belongs to another request, of which nothing
// is believed, a refusal, a status that promises "not run" without a statement of the
// upstream, an unsigned response below status 400, an encoded one, and a server error
// that may be retried.
func (g *Gateway) checkHead(q *request, a *attempt) error {
	if q.ID == "" || a.head.ID != q.ID { // without an id nothing tells whose a response is
		q.runs++
		a.response.Discard()
		return &failedAttempt{sent: true, err: fmt.Errorf("%w: %q instead of %q", upstream.ErrWrongRequestID, a.head.ID, q.ID)}
	}
	g.recordHead(q, a)
	status := a.response.StatusCode
	if a.head.NotRun {
		a.response.NoteRefused()
		return &failedAttempt{notRun: true, refused: true, sent: true, err: fmt.Errorf("the upstream refused the request with status %d", status)}
	}
	q.runs++
	if refusal.PromisesNotRun(status) {
		return &failedAttempt{sent: true, err: fmt.Errorf("%w: status %d without the statement that the request did not run", upstream.ErrMalformed, status)}
	}
	if !a.head.Signed && status < http.StatusBadRequest {
		return &failedAttempt{sent: true, err: fmt.Errorf("%w: the response is not signed", upstream.ErrMalformed)}
	}
	if a.response.Header.Get("Content-Encoding") != "" {
		return &failedAttempt{sent: true, err: fmt.Errorf("%w: the response has a content encoding that was not asked for", upstream.ErrMalformed)}
	}
	if status >= http.StatusInternalServerError && q.route.MayRepeat() && q.runs < q.route.MaxAttempts && g.allowRepeat(q) {
		return &failedAttempt{sent: true, budgeted: true, err: fmt.Errorf("the upstream answered with status %d", status)}
	}
	return nil
}

// fail reports the outcome of a failed attempt to the balancer and records an
// event.
func (g *Gateway) fail(q *request, a *attempt, err error) {
	outcome := balance.Failed
	var f *failedAttempt
	if errors.As(err, &f) && f.refused {
		outcome = balance.Busy
	}
	if q.ctx.Err() != nil || a.watch.stop() != nil || errors.Is(err, memory.ErrNoRoom) {
		outcome = balance.Cancelled
	}
	if outcome == balance.Failed {
		g.recordCrash(q, a, err)
	}
	g.end(a, outcome)
	g.opts.Recorder.Record(event.Event{
		ID: event.AttemptFailed, Request: q.ID, Upstream: a.pick.Upstream.ID,
		Step: "send", Detail: q.evidence(a, err), Err: failure.At("send", a.pick.Upstream.Address, err),
	})
}

// evidence describes for the log what an attempt that failed with err shows: whether a
// byte of the request was sent, what the response says about whose it is and whether
// the request ran, how much of it came, and what the request holds.
func (q *request) evidence(a *attempt, err error) string {
	request := fmt.Sprintf("route %s, identity %016x", q.route.Name, uint64(q.identity(q.Prompt != nil)))
	if a.response == nil {
		var f *failedAttempt
		sent := errors.As(err, &f) && f.sent
		return fmt.Sprintf("%s, no response, sent %t, connection reused %t, parts %s", request, sent, upstream.Reused(err), q.partIDs())
	}
	owner := "this request"
	if a.head.ID != q.ID {
		owner = fmt.Sprintf("%q", a.head.ID)
	}
	return fmt.Sprintf("%s, status %d, response to %s, signed %t, states not run %t, connection reused %t, events %d, parts %s",
		request, a.response.StatusCode, owner, a.head.Signed, a.head.NotRun, a.response.Reused, a.events, q.partIDs()) + a.stated()
}

// maxLoggedParts is the number of parts of a prompt that a log line names.
const maxLoggedParts = 8

// partIDs returns the ids of the prompt's parts for the log.
func (q *request) partIDs() string {
	if q.Prompt == nil || len(q.Prompt.Parts) == 0 {
		return "none"
	}
	var ids []string
	for _, p := range q.Prompt.Parts[:min(maxLoggedParts, len(q.Prompt.Parts))] {
		ids = append(ids, fmt.Sprintf("%.16s", p.ID))
	}
	return strings.Join(ids, " ")
}

// end reports the outcome of an attempt to the balancer and the metrics.
func (g *Gateway) end(a *attempt, o balance.Outcome) {
	_ = a.watch.stop()
	g.opts.Balancer.Done(a.pick, o, freshness.Time())
	g.opts.Metrics.Attempt(o.String())
}

// cacheSalt returns the salt that separates the cache entries of cache groups
// and weights versions. A request without an expected version shares no entries.
func cacheSalt(q *request, version uint64) string {
	if version == 0 {
		return "request " + q.ID
	}
	return balance.Salt(q.cacheGroup(), version)
}

// cacheGroup returns the group of workspaces that share cache entries with the
// request's, by the configuration at the present attempt.
func (q *request) cacheGroup() string { return q.snap.Config.CacheGroup(q.workspace) }

// Engines know the ranks 0 to maxUrgency, the least urgent. Each rank of a
// workspace spans routeRanks of them, one for each rank of a route.
const (
	maxUrgency = balance.Urgencies - 1
	routeRanks = 3
)

// urgency returns the rank for engines. Requests are ordered by the workspace's
// rank first, or the route's where the workspace has none, then by the route's.
func urgency(r *catalog.Route, w *catalog.Workspace) int {
	rank := r.Rank
	if w != nil && w.Rank != catalog.RankUnset {
		rank = w.Rank
	}
	return min(max(rank, 0)*routeRanks+min(max(r.Rank, 0), routeRanks-1), maxUrgency)
}
