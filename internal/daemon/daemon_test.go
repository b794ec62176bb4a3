package daemon

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"currantpulley/internal/config"
	"currantpulley/internal/settings"
)

const testKey = "test-key"

// testConfig returns a configuration with the model "m" on the given engines and the
// service "ledger" on the given services, by address.
func testConfig(engines []string, services []string) *config.Config {
	sum := sha256.Sum256([]byte(testKey))
	c := &config.Config{
		Site:   "s",
		Models: map[string]*config.Model{"m": {Name: "m", Weights: "w1", PieceTokens: 16}},
		Workspaces: map[string]*config.Workspace{
			"depot": {Name: "depot", KeySHA256: []string{hex.EncodeToString(sum[:])}, RequestsPerSecond: 1000, TokensPerMinute: 1e9, Weight: 1},
		},
		Upstreams: map[string]*config.Upstream{},
		Routes: map[string]*config.Route{
			"stock": {Name: "stock", Path: "/stock", Service: "ledger", Repeatable: true, Timeout: config.Duration(5 * time.Second)},
			"once":  {Name: "once", Path: "/credit", Service: "ledger", Timeout: config.Duration(5 * time.Second)},
		},
		Caller: config.CallerLimits{MaxBody: 1 << 20, MaxHeader: 16 << 10, MaxConnections: 100,
			ReadTimeout: config.Duration(2 * time.Second), WriteTimeout: config.Duration(30 * time.Second),
			Deadline: config.Duration(10 * time.Second), DeadlineMax: config.Duration(time.Minute)},
		Placement: config.Placement{Owners: 2, OwnersMax: 4, EventSampling: 64, LoadBound: 1.5},
		Admission: config.Admission{QueueMax: 100, LongTokens: 8000, LongShare: 0.5, SlowShare: 0.2, WindowStart: 16},
		Retry:     config.Retry{Budget: 0.2, HedgeBudget: 0.05, AttemptsMax: 3, HedgeAfter: config.Duration(time.Second)},
	}
	for i, a := range engines {
		n := fmt.Sprintf("engine-%d", i)
		c.Upstreams[n] = &config.Upstream{Name: n, Kind: config.KindEngine, Address: a, Models: []string{"m"}, Concurrency: 16}
	}
	for i, a := range services {
		n := fmt.Sprintf("ledger-%d", i)
		c.Upstreams[n] = &config.Upstream{Name: n, Kind: config.KindService, Address: a, Service: "ledger", Concurrency: 16}
	}
	return c
}

// testSettings returns settings whose listeners use any free port.
func testSettings() settings.Settings {
	s := settings.Defaults()
	s.VM, s.DataCentre, s.Site = "vm-1", "dc-1", "s"
	s.Listen, s.PeerListen, s.AdminListen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	s.Drain.Delay = config.Duration(50 * time.Millisecond)
	return s
}

// startDaemon starts a daemon with a fixed configuration and kills it after the test.
func startDaemon(t *testing.T, c *config.Config) *Daemon {
	t.Helper()
	d, err := Start(context.Background(), testSettings(), WithConfig(7, c))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Kill)
	return d
}

// streamEngine starts an engine that answers with n events and returns its address.
// It breaks a stream off before the event breakAt, if that is positive, and sends the
// rest when the stream is resumed.
func streamEngine(t *testing.T, n, breakAt int) string {
	t.Helper()
	send := func(w http.ResponseWriter, id string, from int, broken bool) {
		h := w.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("X-Request-Id", id)
		h.Set("X-Incarnation", "i1")
		h.Set("X-Weights", "w1")
		for i := from; i <= n; i++ {
			if broken && i == breakAt {
				w.(http.Flusher).Flush()
				panic(http.ErrAbortHandler)
			}
			data := fmt.Sprintf(`{"choices":[{"text":"t%d "}]}`, i)
			if i == n {
				data = "[DONE]"
			}
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, data)
		}
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) {
		send(w, r.Header.Get("X-Request-Id"), 1, breakAt > 0)
	})
	mux.HandleFunc("GET /v1/streams/{id}", func(w http.ResponseWriter, r *http.Request) {
		var after int
		fmt.Sscan(r.Header.Get("Last-Event-ID"), &after)
		send(w, r.PathValue("id"), after+1, false)
	})
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// post sends a request with the test's key and the request ID "mine".
func post(t *testing.T, d *Daemon, path, body string) *http.Response {
	t.Helper()
	r, err := http.NewRequest("POST", "http://"+d.Address()+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+testKey)
	r.Header.Set("X-Request-Id", "mine")
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { res.Body.Close() })
	return res
}

// eventIDs returns the event IDs of a stream and whether it has the final event.
func eventIDs(t *testing.T, body io.Reader) (ids []string, complete bool) {
	t.Helper()
	s := bufio.NewScanner(body)
	for s.Scan() {
		if id, ok := strings.CutPrefix(s.Text(), "id: "); ok {
			ids = append(ids, id)
		}
		complete = complete || s.Text() == "data: [DONE]"
	}
	return ids, complete
}

// A stream that breaks off must be resumed at its next event, without a gap or a
// repeated event.
func TestResumedStreamIsCompleteAndInOrder(t *testing.T) {
	for _, breakAt := range []int{0, 2, 5, 10} {
		t.Run(fmt.Sprint(breakAt), func(t *testing.T) {
			d := startDaemon(t, testConfig([]string{streamEngine(t, 10, breakAt)}, nil))
			res := post(t, d, "/v1/completions", `{"model":"m","prompt":"hello","stream":true}`)
			if res.StatusCode != 200 || res.Header.Get("X-Request-Id") != "mine" {
				t.Fatalf("status %d, id %q", res.StatusCode, res.Header.Get("X-Request-Id"))
			}
			ids, complete := eventIDs(t, res.Body)
			if got := strings.Join(ids, " "); got != "1 2 3 4 5 6 7 8 9 10" || !complete {
				t.Fatalf("events %q, complete %v", got, complete)
			}
		})
	}
}

// Requests that are malformed, too large, too slow or not authorised must be refused
// with the right status and X-Effect: not-run.
func TestRequestLimits(t *testing.T) {
	d := startDaemon(t, testConfig([]string{streamEngine(t, 3, 0)}, nil))
	auth := "Authorization: Bearer " + testKey + "\r\n"
	for name, c := range map[string]struct {
		raw  string
		want string
	}{
		"header":   {"GET / HTTP/1.1\r\nHost: x\r\nA: " + strings.Repeat("a", 20<<10) + "\r\n\r\n", "431"},
		"body":     {"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 2000000\r\n\r\n", "413"},
		"chunked":  {"POST /v1/completions HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n1f4000\r\n" + strings.Repeat("a", 2_000_000), "413"},
		"slow":     {"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nab", "408"},
		"garbage":  {"GET / \x00\x01 HTTP/9\r\n\r\n", "400"},
		"no key":   {"GET /v1/models HTTP/1.1\r\nHost: x\r\n\r\n", "401"},
		"no route": {"GET /nowhere HTTP/1.1\r\nHost: x\r\n" + auth + "\r\n", "404"},
		"models":   {"GET /v1/models HTTP/1.1\r\nHost: x\r\n" + auth + "\r\n", "200"},
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", d.Address())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			go io.WriteString(conn, c.raw)
			conn.SetReadDeadline(time.Now().Add(20 * time.Second))
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			if !strings.HasPrefix(res.Status, c.want) {
				t.Fatalf("status %s, want %s", res.Status, c.want)
			}
			if c.want != "200" && res.Header.Get("X-Effect") != "not-run" {
				t.Fatalf("effect %q", res.Header.Get("X-Effect"))
			}
		})
	}
}

// When a caller disconnects, the daemon must cancel the stream at the engine, which
// would else go on decoding.
func TestCallerDisconnectCancelsTheEngine(t *testing.T) {
	cancelled := make(chan string, 1)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		fmt.Fprint(w, "id: 1\ndata: {}\n\n")
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	})
	mux.HandleFunc("DELETE /v1/streams/{id}", func(_ http.ResponseWriter, r *http.Request) { cancelled <- r.PathValue("id") })
	engine := httptest.NewServer(mux)
	defer engine.Close()
	d := startDaemon(t, testConfig([]string{engine.Listener.Addr().String()}, nil))
	res := post(t, d, "/v1/completions", `{"model":"m","prompt":"hello","stream":true}`)
	if _, err := res.Body.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	res.Body.Close()
	select {
	case <-cancelled:
	case <-time.After(20 * time.Second):
		t.Fatal("the stream was not cancelled at the engine")
	}
}

// Stop must let a stream in progress finish while it refuses new requests.
func TestStopFinishesStreams(t *testing.T) {
	release := make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		fmt.Fprint(w, "id: 1\ndata: {}\n\n")
		w.(http.Flusher).Flush()
		<-release
		fmt.Fprint(w, "id: 2\ndata: [DONE]\n\n")
	})
	engine := httptest.NewServer(mux)
	defer engine.Close()
	d := startDaemon(t, testConfig([]string{engine.Listener.Addr().String()}, nil))
	res := post(t, d, "/v1/completions", `{"model":"m","prompt":"hello","stream":true}`)
	stopped := make(chan error, 1)
	go func() { stopped <- d.Stop(context.Background()) }()
	for snap := d.holder.Load(); snap.Admitting; snap = d.holder.Load() {
		time.Sleep(time.Millisecond)
	}
	refused := post(t, d, "/v1/completions", `{"model":"m","prompt":"late"}`)
	if refused.StatusCode != 503 || refused.Header.Get("X-Request-Id") != "mine" || refused.Header.Get("X-Effect") != "not-run" || refused.Header.Get("Retry-After") == "" {
		t.Fatalf("status %d, header %v", refused.StatusCode, refused.Header)
	}
	close(release)
	if ids, complete := eventIDs(t, res.Body); len(ids) != 2 || !complete {
		t.Fatalf("events %v, complete %v", ids, complete)
	}
	if err := <-stopped; err != nil {
		t.Fatal(err)
	}
}
