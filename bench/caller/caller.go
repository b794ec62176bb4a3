// Package caller is an open-loop load generator: it sends each request at its
// due time and verifies the response.
package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"time"

	"currantpulley/bench/workload"
	"currantpulley/internal/fake/fakeengine"
)

// Outcome is how a request ended.
type Outcome uint8

// Outcomes of requests.
const (
	Unfinished Outcome = iota // in progress when the run ended
	OK
	Refused // rejected, with the effect "not-run"
	Failed  // an error, or an effect other than "not-run"
	Severed // its connection broke because the daemon was killed
)

// Result is the outcome of one request as its caller saw it.
type Result struct {
	Request   *workload.Request
	Outcome   Outcome
	Sent      time.Duration // time of the first attempt since the start of the run
	TTFT      time.Duration // from due time to first token; without a token, to the end of the request or run
	Done      time.Duration // from due time to the end of the response
	Code      string        // error code of a refusal or failure
	Violation string        // violated guarantee; empty if none
}

// InDeadline reports whether the first token arrived within the deadline.
func (r *Result) InDeadline() bool { return r.Outcome == OK && r.TTFT <= r.Request.Deadline }

const (
	retryDelay      = 20 * time.Millisecond // before another daemon is tried after a failed dial
	idlePerDaemon   = 1024
	maxEventBytes   = 1 << 20
	effectNotRun    = "not-run"
	doneEvent       = "[DONE]"
	headerRequestID = "X-Request-Id"
	codeConnection  = "connection"
)

// Caller sends each request to a random daemon, as a load balancer would.
type Caller struct {
	addresses []string
	restarts  func() int64
	client    *http.Client
	start     time.Time
	wait      sync.WaitGroup
}

// New returns a Caller that sends to the daemons at addresses. restarts returns
// a counter that increases by one before the daemons are killed and by one
// after, so that it is odd while they are being killed.
func New(addresses []string, restarts func() int64) *Caller {
	c := &Caller{addresses: addresses, restarts: restarts}
	c.client = &http.Client{Transport: &http.Transport{
		DialContext:         c.dial,
		MaxIdleConnsPerHost: idlePerDaemon,
		DisableCompression:  true,
	}}
	return c
}

// connection is a net.Conn with the value of the restart counter from before it
// was dialled.
type connection struct {
	net.Conn
	restarts int64
}

func (c *Caller) dial(ctx context.Context, network, address string) (net.Conn, error) {
	restarts := c.restarts()
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &connection{conn, restarts}, nil
}

// Run sends requests, which are ordered by due time, and waits for the
// responses. Requests that are still in progress when grace has passed after
// length are cancelled. Results are in the order of the requests.
func (c *Caller) Run(ctx context.Context, requests []*workload.Request, length, grace time.Duration) []*Result {
	c.start = time.Now()
	ctx, cancel := context.WithDeadline(ctx, c.start.Add(length+grace))
	defer cancel()
	defer c.client.CloseIdleConnections()
	results := make([]*Result, len(requests))
	for i, r := range requests {
		results[i] = &Result{Request: r}
		if !sleepUntil(ctx, c.start.Add(r.Due)) {
			break
		}
		c.wait.Go(func() { c.send(ctx, results[i]) })
	}
	c.wait.Wait()
	sleepUntil(ctx, c.start.Add(length))
	return results
}

// sleepUntil reports false if ctx ends first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// sinceDue returns the time since the request was due.
func (c *Caller) sinceDue(r *Result) time.Duration { return time.Since(c.start) - r.Request.Due }

// send sends a request until a daemon accepts the connection, then reads the
// response. Failed dials are safe to retry: nothing was sent.
func (c *Caller) send(ctx context.Context, r *Result) {
	r.Sent = time.Since(c.start)
	for {
		var used *connection
		resp, err := c.try(ctx, r, &used)
		if err == nil {
			c.readResponse(resp, r)
			_ = resp.Body.Close()
			c.finish(ctx, r, used)
			return
		}
		if ctx.Err() != nil {
			r.TTFT = c.sinceDue(r)
			return
		}
		if !notConnected(err) {
			r.Outcome, r.Code = Failed, codeConnection
			c.finish(ctx, r, used)
			return
		}
		if !sleepUntil(ctx, time.Now().Add(retryDelay)) {
			r.TTFT = c.sinceDue(r)
			return
		}
	}
}

// finish sets the end time of r. A failure that the benchmark caused itself, by
// cancelling the request or killing the daemon, becomes Unfinished or Severed.
func (c *Caller) finish(ctx context.Context, r *Result, used *connection) {
	r.Done = c.sinceDue(r)
	if r.Outcome != Failed {
		return
	}
	if r.TTFT == 0 {
		r.TTFT = r.Done
	}
	switch {
	case ctx.Err() != nil:
		r.Outcome, r.Violation = Unfinished, ""
	case r.Code == codeConnection && c.killed(used):
		r.Outcome, r.Violation = Severed, ""
	}
}

// killed reports whether the daemon at the other end of conn was killed. A nil
// conn counts as not killed.
func (c *Caller) killed(conn *connection) bool {
	now := c.restarts()
	inProgress := now%2 == 1
	return conn != nil && (now != conn.restarts || inProgress)
}

// notConnected reports whether err is a failed dial, so that another daemon can
// be tried.
func notConnected(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// requestID returns the unique id at the end of the prompt.
func requestID(r *workload.Request) string {
	_, id, _ := bytes.Cut(r.Text, []byte("request "))
	return string(id)
}

// try sends r once and sets used to the connection that carried it.
func (c *Caller) try(ctx context.Context, r *Result, used **connection) (*http.Response, error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		*used, _ = info.Conn.(*connection)
	}})
	url := "http://" + c.addresses[rand.IntN(len(c.addresses))] + "/v1/completions"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(r.Request.Body))
	if err != nil {
		return nil, err
	}
	h := req.Header
	h.Set("Authorization", "Bearer "+workload.Key(r.Request.Workspace))
	h.Set("Content-Type", "application/json")
	h.Set(headerRequestID, requestID(r.Request))
	left := r.Request.Deadline - c.sinceDue(r)
	h.Set("X-Deadline-Ms", strconv.FormatInt(max(1, left.Milliseconds()), 10))
	return c.client.Do(req)
}

// readResponse reads and verifies the response and sets the outcome.
func (c *Caller) readResponse(resp *http.Response, r *Result) {
	if got := resp.Header.Get(headerRequestID); got != requestID(r.Request) {
		r.Violation = fmt.Sprintf("response with status %d belongs to request %q", resp.StatusCode, got)
	}
	if resp.StatusCode != http.StatusOK {
		readRefusal(resp, r)
		return
	}
	answer, err := c.readEvents(resp.Body, r)
	if err != nil {
		r.Outcome = Failed
		return
	}
	r.Outcome = OK
	if err := fakeengine.Verify(r.Request.Text, r.Request.Output, answer); err != nil {
		r.Violation = err.Error()
	}
}

type errorBody struct {
	Error struct {
		Code   string `json:"code"`
		Effect string `json:"effect"`
	} `json:"error"`
}

// readRefusal reads an error body. The effect in the body must match the header.
func readRefusal(resp *http.Response, r *Result) {
	var body errorBody
	_ = json.NewDecoder(io.LimitReader(resp.Body, maxEventBytes)).Decode(&body)
	r.Outcome, r.Code = Failed, body.Error.Code
	if body.Error.Effect != resp.Header.Get("X-Effect") {
		r.Violation = "effects in header and body differ"
	}
	if body.Error.Effect == effectNotRun {
		r.Outcome = Refused
	}
}

var errEvent = errors.New("error event")

// readEvents reads a stream of server-sent events up to [DONE] and returns its
// text. Event ids must count up from 1.
func (c *Caller) readEvents(body io.Reader, r *Result) (string, error) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEventBytes)
	var answer strings.Builder
	next := 1
	for lines.Scan() {
		line := lines.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			if id != strconv.Itoa(next) {
				r.Violation = fmt.Sprintf("got event id %s, want %d", id, next)
			}
			next++
		}
		if line == "event: error" {
			r.Code = "error event"
			return "", errEvent
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == doneEvent {
			return answer.String(), nil
		}
		if r.TTFT == 0 {
			r.TTFT = c.sinceDue(r)
		}
		if err := appendText(&answer, data); err != nil {
			r.Violation = err.Error()
		}
	}
	r.Code = codeConnection
	if lines.Err() == nil {
		r.Violation = "stream ended without [DONE] and without an error"
	}
	return "", io.ErrUnexpectedEOF
}

// appendText adds the text of one event to answer.
func appendText(answer *strings.Builder, data string) error {
	var event struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if err := json.Unmarshal([]byte(data), &event); err != nil {
		return fmt.Errorf("malformed event: %w", err)
	}
	for _, choice := range event.Choices {
		answer.WriteString(choice.Text)
	}
	return nil
}
