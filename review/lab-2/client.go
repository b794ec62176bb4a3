//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// call is one attempt of a client.
type call struct {
	method, path, host, key, body string
	model                         string // header X-Model; empty: a plain request
	parts                         string
	usage                         string // header X-Token-Usage; empty: that of a short prompt
	lastEvent                     int    // of a stream that is taken up; 0: none
	resumes                       string // the attempt that began it
	wait                          time.Duration
}

// answer is what the client got.
type answer struct {
	id       string
	status   int
	sealed   bool
	events   []int
	software []string // versions that made them
	complete bool
	retry    time.Duration
	err      error
	sentAt   time.Time
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends an attempt to a machine on a new connection. Once stopAfter events came, the
// client breaks the connection; 0: never.
func send(rec *recorder, m *machine, c call, stopAfter int) answer {
	return sendAs(rec, m, c, stopAfter, newID())
}

// sendNoted is send of a request whose id note gets before it is sent.
func sendNoted(rec *recorder, m *machine, c call, note func(id string)) answer {
	id := newID()
	note(id)
	return sendAs(rec, m, c, 0, id)
}

func sendAs(rec *recorder, m *machine, c call, stopAfter int, id string) answer {
	a := answer{id: id, sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), c.wait)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, c.method, "http://"+m.front+c.path, strings.NewReader(c.body))
	must(err)
	r.Host = c.host
	h := r.Header
	h["X-Attempt-Id"] = []string{a.id}
	h.Set("X-Deadline-Ms", strconv.FormatInt(c.wait.Milliseconds(), 10))
	h.Set("X-Api-Key", c.key)
	if c.model != "" {
		h.Set("X-Model", c.model)
		h.Set("X-Token-Usage", "826,73")
		if c.usage != "" {
			h.Set("X-Token-Usage", c.usage)
		}
		h.Set("X-Prompt-Prefix", c.parts)
	}
	if c.lastEvent > 0 {
		h.Set("Last-Event-Id", strconv.Itoa(c.lastEvent))
		h.Set("Resumes", c.resumes)
	}
	rec.write("sent", "machine", m.name, "attempt", a.id, "method", c.method, "path", c.path, "last_event", c.lastEvent, "resumes", c.resumes, "in_touch", m.inTouch(a.sentAt))
	t := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer t.CloseIdleConnections()
	res, err := t.RoundTrip(r)
	if err != nil {
		a.err = err
		rec.write("answered", "attempt", a.id, "error", err.Error())
		return a
	}
	defer func() { _ = res.Body.Close() }()
	a.status, a.sealed = res.StatusCode, res.Header.Get("X-Server-Seal") != ""
	if s, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64); err == nil {
		a.retry = time.Duration(s * float64(time.Second))
	}
	text := ""
	if strings.HasPrefix(res.Header.Get("Content-Type"), "text/event-stream") {
		a.err = a.readEvents(res.Body, stopAfter)
	} else {
		var data []byte
		data, a.err = io.ReadAll(res.Body)
		text = string(data)
	}
	a.complete = a.err == nil
	first, last := 0, 0
	if n := len(a.events); n > 0 {
		first, last = a.events[0], a.events[n-1]
	}
	rec.write("answered", "attempt", a.id, "status", a.status, "sealed", a.sealed, "first_event", first, "last_event", last, "complete", a.complete, "error", fmt.Sprint(a.err), "body", strings.TrimSpace(text))
	return a
}

// errLeft: the client's connection broke, as the case wanted.
var errLeft = fmt.Errorf("the client's connection broke")

func (a *answer) readEvents(body io.Reader, stopAfter int) error {
	in := bufio.NewReader(body)
	for {
		line, err := in.ReadString('\n')
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		a.addSoftware(line)
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), "id: "); ok {
			n, _ := strconv.Atoi(value)
			a.events = append(a.events, n)
			if stopAfter > 0 && len(a.events) >= stopAfter {
				return errLeft
			}
		}
	}
}
