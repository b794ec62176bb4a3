package caller

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"currantpulley/bench/soak/plan"
	"currantpulley/bench/soak/record"
	"currantpulley/bench/soak/site"
	"currantpulley/platform/standin/names"
)

// request is what a caller wants, over all its attempts.
type request struct {
	id       string
	route    site.Route
	method   string
	path     string
	header   []string // further names and values
	body     string
	chunked  bool
	digest   string
	events   int // of the whole stream
	deadline time.Time
}

// attempt is one attempt to get a request answered.
type attempt struct {
	*request
	call         record.Call
	retryAfter   time.Duration
	firstAttempt string // that brought the first event of the stream
	lastEvent    int
}

// Methods by kind of route. Callers use the first most of the time.
var (
	onceMethods = []string{http.MethodPost, http.MethodPost, http.MethodPost, http.MethodPut, http.MethodDelete, http.MethodGet}
	safeMethods = []string{http.MethodGet, http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPost}
)

// Sizes of requests.
const (
	minEvents   = 2
	maxEvents   = 40
	maxBody     = 6000 // bytes
	bodyShare   = 0.6  // of the requests whose method may have a body
	chunkShare  = 0.3  // of the bodies
	largeShare  = 0.04 // of the bodies
	largeFactor = 40
	keyShare    = 0.4 // of the requests, with a header that calls them idempotent
	hurryShare  = 0.2 // of the requests, with a deadline shorter than the route's timeout
	promptToken = 200
)

// newRequest draws a request.
func (c *caller) newRequest() *request {
	route := site.Routes[[]int{0, 0, 0, 1, 1, 2, 2, 3}[c.random.IntN(8)]]
	q := &request{id: fmt.Sprintf("q%d-%d", c.number, c.requests+1), route: route, method: http.MethodPost, path: route.Prefix + "x"}
	switch {
	case route.Stream():
		q.events = minEvents + c.random.IntN(maxEvents-minEvents)
		q.path = fmt.Sprint(route.Prefix, q.events)
		q.header = []string{names.Model, site.Model, names.TokenUsage, fmt.Sprintf("%d,%d", promptToken, q.events),
			names.PromptParts, c.promptParts(q.id)}
	case route.Once():
		q.method = onceMethods[c.random.IntN(len(onceMethods))]
	default:
		q.method = safeMethods[c.random.IntN(len(safeMethods))]
		if id := c.harmfulID(plan.CrashingRequest); id != "" {
			q.method, q.path = http.MethodGet, route.Prefix+id
		}
	}
	if site.HasQuota(c.number) {
		q.header = append(q.header, names.APIKey, site.Workspace.Keys[0])
	}
	if c.chance(keyShare) {
		name := []string{"Idempotency-Key", "X-Idempotency-Key"}[c.random.IntN(2)]
		q.header = append(q.header, name, q.id)
	}
	if (q.method == http.MethodPost || q.method == http.MethodPut) && c.chance(bodyShare) {
		size := 1 + c.random.IntN(maxBody)
		if c.chance(largeShare) {
			size *= largeFactor
		}
		q.body = strings.Repeat("b", size)
		q.chunked = c.chance(chunkShare)
	}
	q.digest = record.Digest(q.method, q.path, q.body, q.headerValue(names.Model), q.headerValue(names.TokenUsage), q.headerValue(names.PromptParts))
	wait := route.Timeout
	if c.chance(hurryShare) {
		wait /= 2
	}
	q.deadline = time.Now().Add(wait)
	return q
}

// harmfulShare is the share of the streams that have the part which crashes engines,
// and of the safe requests that are the one which crashes plain upstreams, while there
// is one.
const harmfulShare = 0.03

// harmfulID returns the id of what crashes upstreams during a fault of a kind, for a
// share of the requests, else "".
func (c *caller) harmfulID(kind string) string {
	for _, f := range c.opts.Plan.Active(time.Now(), plan.Everywhere, func(k string) bool { return k == kind }) {
		if c.chance(harmfulShare) {
			return f.HarmfulID()
		}
	}
	return ""
}

// promptParts returns the parts of the prompt of a request: one of a few, at times one
// that crashes engines, and its own.
func (c *caller) promptParts(id string) string {
	shared := fmt.Sprintf("%x:%d", c.random.IntN(20), promptToken-100)
	middle := fmt.Sprintf("%x:50", 100+c.random.IntN(100))
	if id := c.harmfulID(plan.CrashingPart); id != "" {
		middle = id + ":50"
	}
	return fmt.Sprintf("%s,%s,%s:50", shared, middle, id)
}

// headerValue returns the value of a further header, "" if it isn't sent.
func (q *request) headerValue(name string) string {
	for i := 0; i+1 < len(q.header); i += 2 {
		if q.header[i] == name {
			return q.header[i+1]
		}
	}
	return ""
}

// newAttempt returns the first attempt of a request on the kept connection.
func (c *caller) newAttempt(q *request) *attempt {
	return &attempt{request: q, call: c.newCall(q)}
}

func (c *caller) newCall(q *request) record.Call {
	workspace := ""
	if site.HasQuota(c.number) {
		workspace = site.Workspace.Name
	}
	return record.Call{
		Workspace: workspace,
		Attempt:   c.newID(), Request: q.id, Service: q.route.Service, Route: q.route.Name, Once: q.route.Once(), Method: q.method,
		Limit: min(time.Until(q.deadline), q.route.Timeout), Total: q.events, Chunked: q.chunked, Digest: q.digest,
	}
}

// nextAttempt returns the attempt after a. It resumes the stream if a brought events.
func (c *caller) nextAttempt(a *attempt) *attempt {
	next := &attempt{request: a.request, call: c.newCall(a.request), firstAttempt: a.firstAttempt, lastEvent: a.lastEvent}
	if n := len(a.call.Events); n > 0 {
		next.lastEvent = a.call.Events[n-1].ID
		if next.firstAttempt == "" {
			next.firstAttempt = a.call.Attempt
		}
	}
	next.call.LastEvent = next.lastEvent
	return next
}

// end records how the attempt ended.
func (a *attempt) end(o record.Outcome) {
	a.call.Outcome, a.call.Done = o, time.Now()
	if a.call.Sent.IsZero() {
		a.call.Sent = a.call.Done
	}
}

// mayRetry reports whether the request may be sent again after this attempt.
func (a *attempt) mayRetry() bool {
	switch a.call.Status {
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusNotFound, http.StatusRequestEntityTooLarge, http.StatusRequestHeaderFieldsTooLarge:
		return false
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	if a.call.Outcome == record.Answered && a.call.Status/100 == 2 {
		return false
	}
	return !a.route.Once()
}

// text returns the bytes of the request.
func (a *attempt) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", a.method, a.path, site.Host,
		names.AttemptID, a.call.Attempt, names.Deadline, max(1, time.Until(a.deadline).Milliseconds()))
	for i := 0; i+1 < len(a.header); i += 2 {
		fmt.Fprintf(&b, "%s: %s\r\n", a.header[i], a.header[i+1])
	}
	if a.lastEvent > 0 {
		fmt.Fprintf(&b, "%s: %d\r\n%s: %s\r\n", names.LastEvent, a.lastEvent, names.FirstAttempt, a.firstAttempt)
	}
	switch {
	case a.chunked:
		half := len(a.body) / 2
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		for _, part := range []string{a.body[:half], a.body[half:]} {
			if part != "" {
				fmt.Fprintf(&b, "%x\r\n%s\r\n", len(part), part)
			}
		}
		b.WriteString("0\r\n\r\n")
	case a.body != "" || a.method == http.MethodPost || a.method == http.MethodPut:
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(a.body), a.body)
	default:
		b.WriteString("\r\n")
	}
	return b.String()
}
