package daemon

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"currantpulley/internal/fake/fakeengine"
	"currantpulley/internal/fake/fakeservice"
)

// startEngine starts a fake engine that serves model "m", and returns it and its
// address. fault, which may be nil, chooses the fault of each request.
func startEngine(t *testing.T, name string, fault func(*http.Request) fakeengine.Fault) (*fakeengine.Engine, string) {
	t.Helper()
	e := fakeengine.New(fakeengine.Options{Name: name, Weights: map[string]string{"m": "w1"}, PieceTokens: 16,
		DecodeStep: time.Millisecond, Fault: fault})
	s := httptest.NewServer(e)
	t.Cleanup(s.Close)
	return e, s.Listener.Addr().String()
}

// firstCompletions returns a function that gives fault f to the first n completions,
// to all of them if n is negative, and no fault to other requests.
func firstCompletions(f fakeengine.Fault, n int) func(*http.Request) fakeengine.Fault {
	return func(r *http.Request) fakeengine.Fault {
		if r.Method != http.MethodPost || n == 0 {
			return fakeengine.Fault{}
		}
		n--
		return f
	}
}

const (
	contractPrompt = "a shared template, a site and a document"
	contractOutput = 8
)

func contractBody(stream bool) string {
	return fmt.Sprintf(`{"model":"m","prompt":%q,"max_tokens":%d,"stream":%v}`, contractPrompt, contractOutput, stream)
}

// chunk is one event of a streamed completion, or a completion that is not streamed.
type chunk struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

// streamText returns the text of a stream, whether it has an error event and whether
// it has the final event.
func streamText(t *testing.T, body io.Reader) (text string, failed, done bool) {
	t.Helper()
	all, err := io.ReadAll(body)
	if err != nil {
		t.Fatalf("the connection broke during the stream: %v", err)
	}
	for line := range strings.SplitSeq(string(all), "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		failed = failed || line == "event: error"
		done = done || data == "[DONE]"
		var c chunk
		if ok && json.Unmarshal([]byte(data), &c) == nil && len(c.Choices) > 0 {
			text += c.Choices[0].Text
		}
	}
	return text, failed, done
}

// A fault of one engine must not reach the caller: the request is retried at the other
// engine or the stream is resumed, so that the caller gets the whole correct text.
func TestEngineFaults(t *testing.T) {
	for name, c := range map[string]struct {
		fault  fakeengine.Fault
		faulty int // number of completions with the fault; the next ones have none
	}{
		"none":                        {},
		"refused":                     {fakeengine.Fault{Kind: fakeengine.Refuse}, 1},
		"reset before the first byte": {fakeengine.Fault{Kind: fakeengine.ResetBefore}, 1},
		"reset after the first event": {fakeengine.Fault{Kind: fakeengine.ResetAfter, At: 1}, 1},
		"reset later":                 {fakeengine.Fault{Kind: fakeengine.ResetAfter, At: 4}, 1},
		"slow":                        {fakeengine.Fault{Kind: fakeengine.Slow, Delay: 50 * time.Millisecond}, 1},
		"truncated":                   {fakeengine.Fault{Kind: fakeengine.Truncate, At: 4}, 1},
		"duplicated event":            {fakeengine.Fault{Kind: fakeengine.Duplicate, At: 3}, 1},
		"events out of order":         {fakeengine.Fault{Kind: fakeengine.Reorder, At: 3}, 1},
		"malformed event":             {fakeengine.Fault{Kind: fakeengine.Malformed, At: 3}, 1},
		"crossed answer":              {fakeengine.Fault{Kind: fakeengine.WrongRequestID}, 1},
		"wrong incarnation, broken":   {fakeengine.Fault{Kind: fakeengine.WrongIncarnation}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			_, a := startEngine(t, "a", firstCompletions(c.fault, c.faulty))
			_, b := startEngine(t, "b", nil)
			d := startDaemon(t, testConfig([]string{a, b}, nil))
			for i := range 4 {
				res := post(t, d, "/v1/completions", contractBody(true))
				text, failed, done := streamText(t, res.Body)
				if res.StatusCode != 200 || failed || !done {
					t.Fatalf("request %d: status %d, error event %v, done %v", i, res.StatusCode, failed, done)
				}
				if err := fakeengine.Verify([]byte(contractPrompt), contractOutput, text); err != nil {
					t.Fatalf("request %d: %v", i, err)
				}
			}
		})
	}
}

// When every attempt fails, the caller must get a 502 that says whether the request
// may have run.
func TestEveryEngineFaulty(t *testing.T) {
	for name, c := range map[string]struct {
		fault  fakeengine.Fault
		status int
		effect string
	}{
		"refused":  {fakeengine.Fault{Kind: fakeengine.Refuse}, 502, "not-run"},
		"reset":    {fakeengine.Fault{Kind: fakeengine.ResetBefore}, 502, "unknown"},
		"crossed":  {fakeengine.Fault{Kind: fakeengine.WrongRequestID}, 502, "unknown"},
		"too long": {fakeengine.Fault{Kind: fakeengine.Oversized, At: 1}, 502, "unknown"},
	} {
		t.Run(name, func(t *testing.T) {
			_, a := startEngine(t, "a", firstCompletions(c.fault, -1))
			d := startDaemon(t, testConfig([]string{a}, nil))
			res := post(t, d, "/v1/completions", contractBody(true))
			if res.StatusCode != c.status || res.Header.Get("X-Effect") != c.effect {
				body, _ := io.ReadAll(res.Body)
				t.Fatalf("status %d, effect %q, %s", res.StatusCode, res.Header.Get("X-Effect"), body)
			}
		})
	}
}

// An engine that restarts during a stream has lost the stream's state. The stream
// must end with an error event, never with tokens of the new incarnation.
func TestStreamIsNotResumedAtAnotherIncarnation(t *testing.T) {
	var e *fakeengine.Engine
	e, a := startEngine(t, "a", func(r *http.Request) fakeengine.Fault {
		if r.Method == http.MethodPost {
			return fakeengine.Fault{Kind: fakeengine.ResetAfter, At: 3}
		}
		e.Crash(0)
		return fakeengine.Fault{}
	})
	d := startDaemon(t, testConfig([]string{a}, nil))
	res := post(t, d, "/v1/completions", contractBody(true))
	if _, failed, done := streamText(t, res.Body); !failed || done {
		t.Fatalf("error event %v, done %v", failed, done)
	}
}

// A faulty answer that is not streamed must be retried, since nothing of it was
// relayed to the caller yet.
func TestNonStreamedAnswerFaults(t *testing.T) {
	for _, kind := range []fakeengine.FaultKind{fakeengine.NoFault, fakeengine.Truncate, fakeengine.ResetBefore, fakeengine.WrongRequestID} {
		_, a := startEngine(t, "a", firstCompletions(fakeengine.Fault{Kind: kind}, 1))
		_, b := startEngine(t, "b", nil)
		d := startDaemon(t, testConfig([]string{a, b}, nil))
		for range 2 {
			res := post(t, d, "/v1/completions", contractBody(false))
			body, err := io.ReadAll(res.Body)
			var c chunk
			if err != nil || res.StatusCode != 200 || json.Unmarshal(body, &c) != nil {
				t.Fatalf("fault %d: status %d, %v, %s", kind, res.StatusCode, err, body)
			}
			if err := fakeengine.Verify([]byte(contractPrompt), contractOutput, c.Choices[0].Text); err != nil {
				t.Fatalf("fault %d: %v", kind, err)
			}
		}
	}
}

// A request to a repeatable route may be retried after a lost connection. On any other
// route it must run at most once, and the refusal must say that the effect is unknown.
func TestPlainServiceFaults(t *testing.T) {
	for name, c := range map[string]struct {
		path   string
		faults fakeservice.Faults
		status int
		effect string
		runs   int
	}{
		"repeatable":             {"/stock", fakeservice.Faults{}, 200, "", 1},
		"repeatable, reset":      {"/stock", fakeservice.Faults{ResetBefore: 1}, 200, "", 1},
		"once":                   {"/credit", fakeservice.Faults{}, 200, "", 1},
		"once, reset before run": {"/credit", fakeservice.Faults{ResetBefore: 1}, 502, "unknown", 0},
		"once, reset after run":  {"/credit", fakeservice.Faults{ResetAfter: 1}, 502, "unknown", 1},
		"once, service is slow":  {"/credit", fakeservice.Faults{SlowMS: 1}, 200, "", 1},
		"repeatable, refused":    {"/stock", fakeservice.Faults{Refuse: 1}, 200, "", 1},
		"repeatable, overloaded": {"/stock", fakeservice.Faults{Overload: 1}, 503, "unknown", 1},
		"repeatable, crossed":    {"/stock", fakeservice.Faults{Cross: 1}, 200, "", 2},
		"once, refused":          {"/credit", fakeservice.Faults{Refuse: 1}, 200, "", 1},
		"once, always refused":   {"/credit", fakeservice.Faults{Refuse: 9}, 502, "not-run", 0},
		"once, overloaded":       {"/credit", fakeservice.Faults{Overload: 1}, 502, "unknown", 1},
		"once, crossed":          {"/credit", fakeservice.Faults{Cross: 1}, 502, "unknown", 1},
	} {
		t.Run(name, func(t *testing.T) {
			ledger := fakeservice.New("ledger")
			ledger.SetFaults(c.faults)
			s := httptest.NewServer(ledger)
			defer s.Close()
			addr := s.Listener.Addr().String()
			d := startDaemon(t, testConfig(nil, []string{addr, addr}))
			res := post(t, d, c.path, `{}`)
			if res.StatusCode != c.status || res.Header.Get("X-Effect") != c.effect {
				body, _ := io.ReadAll(res.Body)
				t.Fatalf("status %d, effect %q, %s", res.StatusCode, res.Header.Get("X-Effect"), body)
			}
			if got := ledger.Runs()[""]; got != c.runs {
				t.Fatalf("%d runs, want %d", got, c.runs)
			}
		})
	}
}

// When no connection to the service can be made, nothing was sent, so the refusal must
// say not-run.
func TestUnreachableServiceDidNotRun(t *testing.T) {
	s := httptest.NewServer(nil)
	addr := s.Listener.Addr().String()
	s.Close()
	d := startDaemon(t, testConfig(nil, []string{addr}))
	res := post(t, d, "/credit", `{}`)
	if res.StatusCode != 502 || res.Header.Get("X-Effect") != "not-run" {
		t.Fatalf("status %d, effect %q", res.StatusCode, res.Header.Get("X-Effect"))
	}
}

// A caller that reads slowly must slow the engine down by backpressure instead of
// filling the daemon's memory, and must get every byte in order.
func TestSlowCallerGetsTheWholeStream(t *testing.T) {
	const events, size = 2000, 10 << 10
	var sent atomic.Int64
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		for i := 1; i <= events; i++ {
			fmt.Fprintf(w, "id: %d\ndata: {\"n\":%d,\"pad\":%q}\n\n", i, i, strings.Repeat("x", size))
			sent.Store(int64(i))
		}
		fmt.Fprintf(w, "id: %d\ndata: [DONE]\n\n", events+1)
	}))
	defer engine.Close()
	d := startDaemon(t, testConfig([]string{engine.Listener.Addr().String()}, nil))
	var before, during runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	res := post(t, d, "/v1/completions", contractBody(true))
	head := make([]byte, 4<<10)
	for i := 0; i < len(head); i += 1 << 10 {
		if _, err := io.ReadFull(res.Body, head[i:i+1<<10]); err != nil {
			t.Fatal(err)
		}
		time.Sleep(200 * time.Millisecond)
	}
	// The test's engine allocates garbage while it still sends. What the daemon
	// retains is part of every sample, so the smallest sample is compared.
	runtime.GC()
	runtime.ReadMemStats(&during)
	for range 10 {
		var again runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&again)
		during.HeapAlloc = min(during.HeapAlloc, again.HeapAlloc)
	}
	if grown := int64(during.HeapAlloc) - int64(before.HeapAlloc); grown > 8<<20 {
		t.Fatalf("heap grew by %d bytes while the caller read slowly", grown)
	}
	if sent.Load() == events {
		t.Fatal("the engine sent the whole answer although the caller had read only 4 KiB")
	}
	rest, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	all := append(head, rest...)
	if n := bytes.Count(all, []byte("\nid: ")) + 1; n != events+1 {
		t.Fatalf("%d events, want %d", n, events+1)
	}
	if !bytes.HasSuffix(all, []byte("data: [DONE]\n\n")) {
		t.Fatal("the answer is not complete")
	}
}
