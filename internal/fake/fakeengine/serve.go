package fakeengine

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"currantpulley/internal/fake/fakehttp"
	"currantpulley/internal/prompt"
)

const (
	defaultOutput = 16       // tokens, if the request sets no limit
	maxBody       = 64 << 20 // bytes
)

// writeRefusal responds with an error and states that the request did not run.
func writeRefusal(w http.ResponseWriter, status int, text string) {
	w.Header().Set("X-Effect", "not-run")
	fakehttp.WriteJSON(w, status, map[string]any{"error": map[string]string{"message": text, "effect": "not-run"}})
}

// generate handles a completion request, streamed or not.
func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	fault := e.faultFor(r)
	if !fault.applyBefore(w) {
		return
	}
	g, err := readRequest(w, r)
	if err != nil {
		writeRefusal(w, http.StatusBadRequest, err.Error())
		return
	}
	s := newStream(r, g)
	if status, reason := e.admit(r.Header.Get("X-Expect-Weights"), s, g.Text); status != 0 {
		writeRefusal(w, status, reason)
		return
	}
	if e.opts.OnAdmit != nil {
		e.opts.OnAdmit(r, g.Text)
	}
	if g.Stream {
		e.serveEvents(w, r, s, 0, fault)
		return
	}
	e.serveComplete(w, r, s, fault)
}

func readRequest(w http.ResponseWriter, r *http.Request) (*prompt.Request, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		return nil, err
	}
	return prompt.ParseRequest(r.URL.Path, body)
}

func (e *Engine) faultFor(r *http.Request) Fault {
	if e.opts.Fault == nil {
		return Fault{}
	}
	return e.opts.Fault(r)
}

// newStream returns the stream for a request.
func newStream(r *http.Request, g *prompt.Request) *stream {
	priority, _ := strconv.Atoi(r.Header.Get("X-Priority"))
	output := g.MaxOutput
	setDefault(&output, defaultOutput)
	s := &stream{
		id:           r.Header.Get("X-Request-Id"),
		salt:         r.Header.Get("X-Cache-Salt"),
		model:        g.Model,
		adapter:      g.Adapter,
		chat:         strings.HasSuffix(r.URL.Path, "/chat/completions"),
		digest:       Digest(g.Text),
		priority:     priority,
		promptTokens: max(1, prompt.EstimateTokens(len(g.Text))),
		output:       output,
		readers:      1,
		changed:      make(chan struct{}),
	}
	setDefault(&s.id, s.digest)
	return s
}

// admit enqueues s, or returns the status and reason to refuse it with.
func (e *Engine) admit(expected string, s *stream, text []byte) (status int, reason string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	version, ok := e.weights[s.model]
	switch {
	case e.loading:
		return http.StatusServiceUnavailable, "loading weights"
	case !ok || s.adapter != "" && !slices.Contains(e.adapters, s.adapter):
		return http.StatusNotFound, "the model is not served by this engine"
	case expected != "" && expected != version:
		return http.StatusPreconditionFailed, "the engine serves another weights version"
	}
	s.weights, s.incarnation = version, e.incarnation
	scope := prompt.Scope{Workspace: s.salt, Model: s.model, Adapter: s.adapter, Weights: version}
	s.pieces = prompt.Hashes(scope, text, e.opts.PieceTokens)
	e.streams[s.id] = s
	e.enqueue(s)
	return 0, ""
}

// releaseReader removes a reader of s. A stream without readers is dropped after
// the retention.
func (e *Engine) releaseReader(s *stream, retention time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.readers--
	if s.readers > 0 {
		return
	}
	if retention == 0 {
		e.dropStream(s)
		return
	}
	time.AfterFunc(retention, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if s.readers == 0 {
			e.dropStream(s)
		}
	})
}

// dropStream removes s and aborts it if it is not complete. The caller holds the
// lock.
func (e *Engine) dropStream(s *stream) {
	if e.streams[s.id] == s {
		delete(e.streams, s.id)
	}
	e.advance(time.Now())
	e.remove(s)
	e.resetTimer()
	if !s.done() {
		s.abort()
	}
}

// setHeaders sets the response headers, with the fault applied.
func (e *Engine) setHeaders(w http.ResponseWriter, s *stream, fault Fault) {
	e.mu.Lock()
	l := e.laggedLoad(time.Now())
	e.mu.Unlock()
	h := w.Header()
	h.Set("X-Request-Id", s.id)
	h.Set("X-Incarnation", s.incarnation)
	h.Set("X-Weights", s.weights)
	h.Set("X-Load", fmt.Sprintf("running=%d queued=%d queued_tokens=%d", l.Running, l.Queued, l.QueuedTokens))
	fault.applyHeaders(h)
}

// awaitOutput waits until s has produced more than have output tokens and returns
// their number. It returns false if the client has disconnected.
func (e *Engine) awaitOutput(r *http.Request, s *stream, have int) (produced int, ok bool) {
	for {
		e.mu.Lock()
		produced, aborted, changed := s.produced, s.aborted, s.changed
		e.mu.Unlock()
		if aborted {
			fakehttp.Abort()
		}
		if produced > have {
			return produced, true
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return produced, false
		}
	}
}

// serveEvents streams the events of s that follow the event with number after.
func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request, s *stream, after int, fault Fault) {
	defer e.releaseReader(s, e.opts.StreamRetention)
	e.setHeaders(w, s, fault)
	w.Header().Set("Content-Type", "text/event-stream")
	out := eventWriter{w: w, fault: fault}
	out.flush()
	total := s.eventCount(s.output, e.opts.EventTokens)
	for next := after + 1; next <= total; {
		produced, ok := e.awaitOutput(r, s, s.tokenCount(next-1, e.opts.EventTokens))
		if !ok {
			return
		}
		for ready := s.eventCount(produced, e.opts.EventTokens); next <= ready; next++ {
			text := fault.applyText(s.eventText(next, e.opts.EventTokens), next)
			if !out.writeEvent(next, s.render(text, true, next == 1, next == total, e.opts.PieceTokens)) {
				return
			}
		}
		if next <= total {
			out.flush()
		}
	}
	out.writeEvent(total+1, []byte("[DONE]"))
	out.flush()
}

// serveComplete responds with the complete answer once it is generated.
func (e *Engine) serveComplete(w http.ResponseWriter, r *http.Request, s *stream, fault Fault) {
	defer e.releaseReader(s, 0)
	if _, ok := e.awaitOutput(r, s, s.output-1); !ok {
		return
	}
	var text strings.Builder
	for i := 1; i <= s.eventCount(s.output, e.opts.EventTokens); i++ {
		text.WriteString(s.eventText(i, e.opts.EventTokens))
	}
	e.setHeaders(w, s, fault)
	w.Header().Set("Content-Type", "application/json")
	fault.writeComplete(w, s.render(fault.applyText(text.String(), fault.At), false, true, true, e.opts.PieceTokens))
}

// resume handles a request to continue a stream after the event in Last-Event-ID.
func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	fault := e.faultFor(r)
	if !fault.applyBefore(w) {
		return
	}
	after, err := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	if err != nil || after < 0 {
		after = 0
	}
	e.mu.Lock()
	s, ok := e.streams[r.PathValue("id")]
	if ok {
		s.readers++
	}
	e.mu.Unlock()
	if !ok {
		w.Header().Set("X-Incarnation", e.Incarnation())
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	e.serveEvents(w, r, s, after, fault)
}

// cancel handles a request to abort a stream.
func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	if s, ok := e.streams[r.PathValue("id")]; ok {
		e.dropStream(s)
	}
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) models(w http.ResponseWriter, _ *http.Request) {
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	models := []model{}
	e.mu.Lock()
	for name := range e.weights {
		models = append(models, model{name, "model"})
	}
	e.mu.Unlock()
	slices.SortFunc(models, func(a, b model) int { return strings.Compare(a.ID, b.ID) })
	fakehttp.WriteJSON(w, http.StatusOK, map[string]any{"object": "list", "data": models})
}
