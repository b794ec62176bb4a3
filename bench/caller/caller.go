// Package caller sends requests as callers do, each at its due time, and
// checks what comes back.
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
	Unfinished Outcome = iota // still under way when the run ended
	OK
	Refused // with the statement that it did not run
	Failed  // an error, or an unknown effect
	Severed // its connection ended with the daemon's process
)

// Result is what a caller saw of one request.
type Result struct {
	Request   *workload.Request
	Outcome   Outcome
	Sent      time.Duration // since the start of the run; the first try
	TTFT      time.Duration // since the request was due; without a token the time so far
	Done      time.Duration // since the request was due
	Code      string        // of a refusal or failure
	Violation string        // a broken promise; empty: none
}

// InDeadline reports whether the first token came in time.
func (r *Result) InDeadline() bool { return r.Outcome == OK && r.TTFT <= r.Request.Deadline }

const (
	retryDelay      = 20 * time.Millisecond // before another daemon is tried
	idlePerDaemon   = 1024
	maxEventBytes   = 1 << 20
	effectNotRun    = "not-run"
	doneEvent       = "[DONE]"
	headerRequestID = "X-Request-Id"
	codeConnection  = "connection"
)

// Caller sends requests to random daemons, as a balancer would.
type Caller struct {
	addresses []string
	restarts  func() int64
	client    *http.Client
	start     time.Time
	wait      sync.WaitGroup
}

// New returns a Caller of the daemons at addresses. restarts is a count that
// grows by one before the daemons are killed and by one after.
func New(addresses []string, restarts func() int64) *Caller {
	c := &Caller{addresses: addresses, restarts: restarts}
	c.client = &http.Client{Transport: &http.Transport{
		DialContext:         c.dial,
		MaxIdleConnsPerHost: idlePerDaemon,
		DisableCompression:  true,
	}}
	return c
}

// connection remembers the daemons' restarts before it was made.
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

// Run sends all requests, in order of their due times, and waits for the
// answers until grace after the last one was due.
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

func (c *Caller) sinceDue(r *Result) time.Duration { return time.Since(c.start) - r.Request.Due }

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

// end tells a request that failed from one that the bench itself ended.
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

// killed reports whether the daemon at the other end of conn was killed.
func (c *Caller) killed(conn *connection) bool {
	now := c.restarts()
	inProgress := now%2 == 1
	return conn != nil && (now != conn.restarts || inProgress)
}

// notConnected reports whether no connection was made, so that another daemon
// can be tried.
func notConnected(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func requestID(r *workload.Request) string {
	_, id, _ := bytes.Cut(r.Text, []byte("request "))
	return string(id)
}

// try sends r once and sets used to the connection that it got.
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

func (c *Caller) readResponse(resp *http.Response, r *Result) {
	if got := resp.Header.Get(headerRequestID); got != requestID(r.Request) {
		r.Violation = fmt.Sprintf("answer %d to request %q", resp.StatusCode, got)
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

func readRefusal(resp *http.Response, r *Result) {
	var body errorBody
	_ = json.NewDecoder(io.LimitReader(resp.Body, maxEventBytes)).Decode(&body)
	r.Outcome, r.Code = Failed, body.Error.Code
	if body.Error.Effect != resp.Header.Get("X-Effect") {
		r.Violation = "header and body state different effects"
	}
	if body.Error.Effect == effectNotRun {
		r.Outcome = Refused
	}
}

var errEvent = errors.New("error event")

// readEvents returns the text of a whole stream.
func (c *Caller) readEvents(body io.Reader, r *Result) (string, error) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEventBytes)
	var answer strings.Builder
	next := 1
	for lines.Scan() {
		line := lines.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			if id != strconv.Itoa(next) {
				r.Violation = fmt.Sprintf("event %s where %d was due", id, next)
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
