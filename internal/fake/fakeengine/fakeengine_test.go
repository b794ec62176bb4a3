package fakeengine

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

const testPieceTokens = 4

// fastOptions returns options with which requests take little time.
func fastOptions() Options {
	return Options{
		Name: "e", Weights: map[string]string{"m": "w1"}, PieceTokens: testPieceTokens, CachePieces: 64,
		PrefillRate: 1e6, DecodeStep: 100 * time.Microsecond, EventTokens: 3, StreamRetention: time.Minute, LoadTime: time.Millisecond,
	}
}

type client struct {
	t   *testing.T
	url string
}

func serve(t *testing.T, opts Options) (*Engine, *client) {
	e := New(opts)
	s := httptest.NewServer(e)
	t.Cleanup(s.Close)
	return e, &client{t, s.URL}
}

func (c *client) do(method, path, body string, headers ...string) *http.Response {
	c.t.Helper()
	req, err := http.NewRequest(method, c.url+path, strings.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() { resp.Body.Close() })
	return resp
}

func body(text string, output int, stream bool) string {
	return fmt.Sprintf(`{"model":"m","prompt":%q,"max_tokens":%d,"stream":%v}`, text, output, stream)
}

// events parses a stream of server-sent events into their IDs and data.
func events(r io.Reader) (ids, data []string, err error) {
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		if id, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			ids = append(ids, id)
		}
		if d, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			data = append(data, d)
		}
	}
	return ids, data, lines.Err()
}

// joinText returns the joined text of the events and the last of them.
func joinText(t *testing.T, data []string) (text string, last completion) {
	t.Helper()
	for _, d := range data {
		if d == "[DONE]" {
			continue
		}
		last = completion{}
		if err := json.Unmarshal([]byte(d), &last); err != nil {
			t.Fatalf("%s: %v", d, err)
		}
		text += *last.Choices[0].Text
	}
	return text, last
}

func TestStreamIsCompleteAndReportsCachedTokens(t *testing.T) {
	_, c := serve(t, fastOptions())
	text := strings.Repeat("prefix..", 10) // 5 pieces
	for i, want := range []int{0, 5*testPieceTokens - 1} {
		resp := c.do("POST", "/v1/completions", body(text, 8, true), "X-Request-Id", "r", "X-Cache-Salt", "a")
		ids, data, err := events(resp.Body)
		if err != nil || data[len(data)-1] != "[DONE]" {
			t.Fatalf("%v, %v", data, err)
		}
		for n, id := range ids {
			if id != fmt.Sprint(n+1) {
				t.Fatalf("ids %v", ids)
			}
		}
		answer, last := joinText(t, data)
		if err := Verify([]byte(text), 8, answer); err != nil {
			t.Fatal(err)
		}
		if last.Usage.Details.Cached != want {
			t.Fatalf("request %d: %d cached tokens, want %d", i, last.Usage.Details.Cached, want)
		}
	}
}

func TestCacheIsBoundToSaltAndWeights(t *testing.T) {
	_, c := serve(t, fastOptions())
	cached := func(salt string) int {
		resp := c.do("POST", "/v1/completions", body(strings.Repeat("x", 160), 1, false), "X-Cache-Salt", salt)
		var out completion
		if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
			t.Fatal(err)
		}
		return out.Usage.Details.Cached
	}
	if n := cached("a"); n != 0 {
		t.Fatalf("%d tokens cached at first", n)
	}
	if n := cached("b"); n != 0 {
		t.Fatalf("%d tokens cached with another salt", n)
	}
	if n := cached("a"); n == 0 {
		t.Fatal("nothing cached with the same salt")
	}
	c.do("POST", "/engine/orders", `{"fencing":1,"action":"load","model":"m","weights":"w2"}`)
	for c.do("POST", "/v1/completions", body("x", 1, false), "X-Expect-Weights", "w2").StatusCode != http.StatusOK {
		time.Sleep(time.Millisecond)
	}
	if n := cached("a"); n != 0 {
		t.Fatalf("%d tokens cached with older weights", n)
	}
	resp := c.do("POST", "/v1/completions", body("x", 1, false), "X-Expect-Weights", "w1")
	if resp.StatusCode != http.StatusPreconditionFailed || resp.Header.Get("X-Effect") != "not-run" {
		t.Fatalf("status %d for older weights", resp.StatusCode)
	}
}

func TestIgnoredCacheNeverHits(t *testing.T) {
	opts := fastOptions()
	opts.IgnoreCache = true
	e, c := serve(t, opts)
	for range 3 {
		io.Copy(io.Discard, c.do("POST", "/v1/completions", body(strings.Repeat("x", 160), 1, false)).Body)
	}
	if s := e.Stats(); s.CachedTokens != 0 || s.Requests != 3 || s.PrefilledTokens != s.PromptTokens {
		t.Fatalf("%+v", s)
	}
}

func TestResumeContinuesAfterLastEvent(t *testing.T) {
	opts := fastOptions()
	opts.Fault = func(r *http.Request) Fault {
		if r.Method == http.MethodPost {
			return Fault{Kind: ResetAfter, At: 2}
		}
		return Fault{}
	}
	_, c := serve(t, opts)
	_, first, err := events(c.do("POST", "/v1/completions", body("x", 9, true), "X-Request-Id", "r").Body)
	if err == nil || len(first) != 2 {
		t.Fatalf("%v, %v", first, err)
	}
	ids, rest, err := events(c.do("GET", "/v1/streams/r", "", "Last-Event-ID", "2").Body)
	if err != nil || ids[0] != "3" {
		t.Fatalf("%v, %v", ids, err)
	}
	answer, _ := joinText(t, append(first, rest...))
	if err := Verify([]byte("x"), 9, answer); err != nil {
		t.Fatal(err)
	}
	c.do("DELETE", "/v1/streams/r", "")
	if resp := c.do("GET", "/v1/streams/r", ""); resp.StatusCode != http.StatusNotFound {
		t.Fatalf("status %d after cancel", resp.StatusCode)
	}
}

func TestFaults(t *testing.T) {
	for name, c := range map[string]struct {
		fault Fault
		check func(resp *http.Response, ids, data []string, err error) bool
	}{
		"refuse": {Fault{Kind: Refuse}, func(resp *http.Response, _, _ []string, _ error) bool {
			return resp.StatusCode == 503 && resp.Header.Get("X-Effect") == "not-run"
		}},
		"truncate": {Fault{Kind: Truncate, At: 2}, func(_ *http.Response, ids, _ []string, err error) bool {
			return err == nil && strings.Join(ids, "") == "12"
		}},
		"duplicate": {Fault{Kind: Duplicate, At: 2}, func(_ *http.Response, ids, _ []string, _ error) bool {
			return strings.HasPrefix(strings.Join(ids, ""), "1223")
		}},
		"reorder": {Fault{Kind: Reorder, At: 2}, func(_ *http.Response, ids, _ []string, _ error) bool {
			return strings.HasPrefix(strings.Join(ids, ""), "1324")
		}},
		"crossed": {Fault{Kind: WrongRequestID}, func(resp *http.Response, _, _ []string, _ error) bool {
			return resp.Header.Get("X-Request-Id") != "r"
		}},
		"incarnation": {Fault{Kind: WrongIncarnation}, func(resp *http.Response, _, _ []string, _ error) bool {
			return resp.Header.Get("X-Incarnation") == "gone"
		}},
		"malformed": {Fault{Kind: Malformed, At: 1}, func(_ *http.Response, _, data []string, _ error) bool {
			return !json.Valid([]byte(data[0]))
		}},
		"oversized": {Fault{Kind: Oversized, At: 1, Bytes: 30000}, func(_ *http.Response, _, data []string, _ error) bool {
			return len(data[0]) > 30000
		}},
	} {
		t.Run(name, func(t *testing.T) {
			opts := fastOptions()
			opts.Fault = func(*http.Request) Fault { return c.fault }
			_, client := serve(t, opts)
			resp := client.do("POST", "/v1/completions", body("x", 9, true), "X-Request-Id", "r")
			ids, data, err := events(resp.Body)
			if !c.check(resp, ids, data, err) {
				t.Fatalf("%v %v %v %v", resp.Header, ids, data, err)
			}
		})
	}
}

func TestLowerPriorityNumberRunsFirst(t *testing.T) {
	e := New(fastOptions())
	add := func(id string, priority int) *stream {
		s := &stream{id: id, priority: priority, promptTokens: 1, output: 1, changed: make(chan struct{})}
		e.batch.waiting = append(e.batch.waiting, s)
		return s
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	low, high := add("low", 5), add("high", 1)
	e.startChunk(e.batch.last)
	if e.batch.current != high {
		t.Fatalf("%s runs first", e.batch.current.id)
	}
	e.advance(e.batch.chunkEnd)
	if !high.done() || low.done() || e.batch.current != low {
		t.Fatal("the stream with the higher number did not follow")
	}
}

func TestEvictionTakesLeavesFirst(t *testing.T) {
	var evicted []uint64
	c := newCache(3, func(op Op, p entry) {
		if op == Evict {
			evicted = append(evicted, p.piece)
		}
	})
	for n := 1; n <= 3; n++ {
		c.store([]uint64{1, 2, 3}[:n], "a", "m")
	}
	c.store([]uint64{9}, "a", "m")
	if len(evicted) != 1 || evicted[0] != 3 || c.prefix([]uint64{1, 2, 3}) != 2 {
		t.Fatalf("evicted %v", evicted)
	}
}

func TestCrashStartsNewIncarnationWithEmptyCache(t *testing.T) {
	e, c := serve(t, fastOptions())
	before := e.Incarnation()
	io.Copy(io.Discard, c.do("POST", "/v1/completions", body(strings.Repeat("x", 160), 1, false)).Body)
	e.Crash(0)
	if e.Incarnation() == before || e.cache.lru.Len() != 0 {
		t.Fatal("the incarnation or the cache survived the crash")
	}
}

func TestOrdersCheckFencing(t *testing.T) {
	for _, checks := range []bool{true, false} {
		opts := fastOptions()
		opts.ChecksFencing = checks
		_, c := serve(t, opts)
		c.do("POST", "/engine/orders", `{"fencing":7,"action":"role","role":"decode"}`)
		resp := c.do("POST", "/engine/orders", `{"fencing":6,"action":"role","role":"prefill"}`)
		if refused := resp.StatusCode == http.StatusConflict; refused != checks {
			t.Fatalf("checks %v: status %d", checks, resp.StatusCode)
		}
	}
}

func TestCacheEventsAreSampledAndGapsReported(t *testing.T) {
	f := newFeed(0, 0)
	for i := range uint64(3 * retainedEvents) {
		f.add(Store, entry{piece: i})
	}
	events, next, gap := f.since(1, 4, time.Now().Add(time.Second))
	if !gap || len(events) == 0 || next <= events[len(events)-1].Seq {
		t.Fatalf("%d events, next %d, gap %v", len(events), next, gap)
	}
	for _, ev := range events {
		if ev.hash%4 != 0 {
			t.Fatalf("piece %x does not belong to the sample", ev.hash)
		}
	}
	if events, _, _ := newFeed(time.Hour, 0).since(1, 1, time.Now()); len(events) != 0 {
		t.Fatal("events were returned before the lag")
	}
}
