package gateway_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"currantpulley/internal/balance"
	"currantpulley/internal/catalog"
	"currantpulley/internal/freshness"
	"currantpulley/internal/gateway"
	"currantpulley/internal/metrics"
	"currantpulley/internal/observe"
	"currantpulley/internal/quarantine"
	"currantpulley/internal/retry"
	"currantpulley/internal/server"
	"currantpulley/internal/upstream"
)

// dialect is a minimal gateway.Dialect for tests.
type dialect struct{}

func (dialect) Call(h http.Header) (gateway.Call, error) {
	c := gateway.Call{ID: h.Get("Id"), Key: h.Get("Key"), FirstAttempt: h.Get("First-Attempt")}
	if last, err := strconv.ParseUint(h.Get("Last"), 10, 64); err == nil {
		c.LastEvent, c.HasLastEvent = last, true
	}
	if ms, err := strconv.Atoi(h.Get("Budget")); err == nil {
		c.MaxWait = time.Duration(ms) * time.Millisecond
	}
	if model := h.Get("Model"); model != "" {
		c.Prompt = &balance.Prompt{Model: model, Tokens: 100}
		c.Prompt.Output, _ = strconv.Atoi(h.Get("Output"))
		for part := range strings.FieldsSeq(h.Get("Parts")) {
			c.Prompt.Parts = append(c.Prompt.Parts, balance.Part{ID: part, Tokens: 10})
		}
	}
	return c, nil
}

func (dialect) Outbound(h http.Header, o gateway.Outbound) {
	h.Del("Key")
	h.Set("Workspace", o.Workspace)
	if o.Resume {
		h.Set("After", strconv.FormatUint(o.LastEvent, 10))
	}
}

func (dialect) Inbound(_ int, h http.Header) gateway.Inbound {
	in := gateway.Inbound{ID: h.Get("Id"), Signed: h.Get("Signed") != "", NotRun: h.Get("Not-Run") != "", Leaving: h.Get("Leaving") != ""}
	if pause := h.Get("Pause"); pause != "" {
		in.Pause, in.PauseErr = time.ParseDuration(pause)
	}
	if limit, err := strconv.ParseFloat(h.Get("Limit"), 64); err == nil {
		in.Limit = &limit
	}
	if rejections, err := strconv.ParseFloat(h.Get("Brittle"), 64); err == nil {
		in.Brittle = &rejections
	}
	return in
}

// replica is an upstream with a handler set by the test.
type replica struct {
	*httptest.Server
	runs atomic.Int64
}

// isStreamPath reports whether the route of req has event streams for answers.
func isStreamPath(req *http.Request) bool {
	return strings.HasPrefix(req.URL.Path, "/stream/") || strings.HasPrefix(req.URL.Path, "/resumable/")
}

func newReplica(t *testing.T, h http.HandlerFunc) *replica {
	t.Helper()
	r := &replica{}
	r.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		r.runs.Add(1)
		w.Header().Set("Id", req.Header.Get("Id"))
		w.Header().Set("Signed", "yes")
		if isStreamPath(req) {
			w.Header().Set("Content-Type", "text/event-stream")
		}
		h(w, req)
	}))
	t.Cleanup(r.Close)
	return r
}

type fixture struct {
	logs    *bytes.Buffer // complete after record.Close
	metrics *prometheus.Registry
	record  *observe.Logs
	watcher *catalog.Watcher
	proof   *freshness.Proof
	gateway *gateway.Gateway
	address string

	staleWeightsCut time.Duration   // gateway.Options.StaleWeightsCut
	origins         gateway.Origins // gateway.Options.Origins

	quarantine *quarantine.Table // gateway.Options.Quarantine
	quotas     gateway.Quotas    // gateway.Options.Quotas
}

// start runs a gateway in front of the replicas, with a route of each kind.
func start(t *testing.T, replicas ...*replica) *fixture {
	t.Helper()
	return startProvedAt(t, freshness.Now(), replicas...)
}

// startProvedAt is start with a configuration last proved to be the newest at
// the given instant.
func startProvedAt(t *testing.T, at freshness.Instant, replicas ...*replica) *fixture {
	t.Helper()
	f := &fixture{watcher: catalog.NewWatcher(), proof: &freshness.Proof{}}
	f.proof.RecordRead(0, at)
	c := &catalog.Config{
		Version: 1, Routes: make(map[string][]*catalog.Route), NeedsKey: true,
		Services:   map[string]*catalog.Service{"s": {Name: "s"}},
		Workspaces: map[string]*catalog.Workspace{"k": {Name: "w", Rank: catalog.RankUnset}},
	}
	for prefix, r := range map[string]catalog.Route{
		"/once/":       {Kind: catalog.Once, MaxAttempts: 1},
		"/idempotent/": {Kind: catalog.Idempotent, MaxAttempts: 2},
		"/stream/":     {Kind: catalog.Stream, MaxAttempts: 1},
		"/resumable/":  {Kind: catalog.Stream, Resumable: true, MaxAttempts: 2},
		"/public/":     {Kind: catalog.Idempotent, MaxAttempts: 2, Public: true},
	} {
		r.Name, r.Host, r.Prefix, r.Timeout = prefix, "127.0.0.1", prefix, time.Second
		r.Shares = []catalog.Share{{Service: "s", Weight: 1}}
		c.AddRoute(&r)
	}
	f.watcher.SetConfig(c)
	for i, r := range replicas {
		f.watcher.PutUpstream(&catalog.Upstream{
			ID: fmt.Sprint("r", i), Service: "s", Address: strings.TrimPrefix(r.URL, "http://"), Slots: 8,
		})
	}
	f.logs = &bytes.Buffer{}
	f.serve(t, f.logs)
	return f
}

// serve runs the gateway with its log written to out.
func (f *fixture) serve(t *testing.T, out io.Writer) {
	t.Helper()
	f.metrics, f.record = prometheus.NewRegistry(), observe.NewLogs(out, "vm-1", "debug")
	t.Cleanup(func() { _ = f.record.Close() })
	f.gateway = gateway.New(gateway.Options{
		Metrics: metrics.NewGateway(f.metrics),
		Dialect: dialect{}, Watcher: f.watcher, Balancer: balance.New(balance.Options{}),
		Transport: upstream.NewTransport(), Recorder: f.record, Proof: f.proof, MaxProofAge: time.Minute,
		StaleWeightsCut: f.staleWeightsCut, Origins: f.origins, Quarantine: f.quarantine, Quotas: f.quotas,
		Retries: retry.NewWindows(retry.Options{
			Clock: freshness.Time, Span: 10 * time.Second, Ratio: 0.2, Extra: 100, Part: func() float64 { return 1 }, Stale: func() bool { return false },
		}),
	})
	s, err := server.Start(server.Options{Address: "127.0.0.1:0", Handler: f.gateway, Limits: func() server.Limits {
		return server.Limits{MaxBody: 1 << 20, MaxHeader: 1 << 14, MaxConnections: 100, ReadTimeout: time.Second, WriteTimeout: time.Second}
	}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	f.address = s.Address()
}

// post sends a request and returns the response with its body. header lists names
// and values of header fields in turn.
func (f *fixture) post(t *testing.T, path string, header ...string) (*http.Response, string, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+f.address+path, strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Id", "id-1")
	req.Header.Set("Key", "k")
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	res, err := client.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	return res, string(body), err
}

func TestResponseIsRelayedUnchanged(t *testing.T) {
	r := newReplica(t, func(w http.ResponseWriter, req *http.Request) {
		body, _ := io.ReadAll(req.Body)
		if req.Header.Get("Key") != "" || req.Header.Get("Workspace") != "w" || req.URL.RequestURI() != "/once/a%20b?q=1" {
			w.WriteHeader(http.StatusBadRequest)
		}
		w.WriteHeader(http.StatusCreated)
		_, _ = w.Write(append([]byte("got "), body...))
	})
	res, body, err := start(t, r).post(t, "/once/a%20b?q=1")
	if err != nil || res.StatusCode != http.StatusCreated || body != "got body" || res.Header.Get("Signed") != "yes" {
		t.Fatalf("%v %q %v", res, body, err)
	}
}

// A request that a failed replica may have run must be repeated only if the
// route allows it, and must not get a status that says it did not run.
func TestFailuresOfReplicas(t *testing.T) {
	abort := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	cut := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte("half"))
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}
	crossed := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Id", "id-of-another")
		_, _ = w.Write([]byte("secret of another"))
	}
	unsigned := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Del("Signed")
		_, _ = w.Write([]byte("not the replica's"))
	}
	encoded := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Encoding", "x")
		_, _ = w.Write([]byte("coded"))
	}
	internalError := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
	busy := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	unavailable := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }
	for _, tc := range []struct {
		name  string
		path  string
		fault http.HandlerFunc
		want  int
		runs  int64
	}{
		{"once, reset", "/once/", abort, http.StatusBadGateway, 1},
		{"once, cut", "/once/", cut, http.StatusBadGateway, 1},
		{"once, crossed", "/once/", crossed, http.StatusBadGateway, 1},
		{"once, unsigned", "/once/", unsigned, http.StatusBadGateway, 1},
		{"once, encoded", "/once/", encoded, http.StatusBadGateway, 1},
		{"once, failed", "/once/", internalError, http.StatusInternalServerError, 1},
		{"once, refused", "/once/", busy, http.StatusServiceUnavailable, 2},
		{"once, refused without stating not-run", "/once/", unavailable, http.StatusBadGateway, 1},
		{"idempotent, reset", "/idempotent/", abort, http.StatusBadGateway, 2},
		{"idempotent, cut", "/idempotent/", cut, http.StatusBadGateway, 2},
		{"idempotent, crossed", "/idempotent/", crossed, http.StatusBadGateway, 2},
		{"idempotent, failed", "/idempotent/", internalError, http.StatusInternalServerError, 2},
		{"stream, reset", "/stream/", abort, http.StatusBadGateway, 1},
		{"resumable, reset", "/resumable/", abort, http.StatusBadGateway, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			a, b := newReplica(t, tc.fault), newReplica(t, tc.fault)
			res, body, err := start(t, a, b).post(t, tc.path)
			if err != nil || res.StatusCode != tc.want {
				t.Fatalf("%v %q %v, want %d", res, body, err, tc.want)
			}
			if strings.Contains(body, "secret") || strings.Contains(body, "half") {
				t.Errorf("body %q", body)
			}
			if runs := a.runs.Load() + b.runs.Load(); runs != tc.runs {
				t.Errorf("%d runs, want %d", runs, tc.runs)
			}
		})
	}
}

// The first replica fails; the retry must be served by the second one.
func TestIdempotentRequestIsRetriedElsewhere(t *testing.T) {
	var first sync.Once
	h := func(w http.ResponseWriter, _ *http.Request) {
		failed := false
		first.Do(func() { failed = true })
		if failed {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		_, _ = w.Write([]byte("ok"))
	}
	res, body, err := start(t, newReplica(t, h), newReplica(t, h)).post(t, "/idempotent/")
	if err != nil || res.StatusCode != http.StatusOK || body != "ok" {
		t.Fatalf("%v %q %v", res, body, err)
	}
}

// writeEvents writes the stream events numbered from to to.
func writeEvents(w http.ResponseWriter, from, to int) {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := from; i <= to; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
		w.(http.Flusher).Flush()
	}
}

func TestStreamIsRelayedUnchanged(t *testing.T) {
	r := newReplica(t, func(w http.ResponseWriter, _ *http.Request) { writeEvents(w, 1, 3) })
	_, body, err := start(t, r).post(t, "/stream/")
	if want := "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\n"; err != nil || body != want {
		t.Fatalf("%q %v", body, err)
	}
}

// A stream that ends early within an event must be resumed at another replica if
// the route is resumable, and must be seen as incomplete by the caller if not.
func TestBrokenStream(t *testing.T) {
	var first sync.Once
	h := func(w http.ResponseWriter, req *http.Request) {
		broken := false
		first.Do(func() { broken = true })
		if !broken {
			after, _ := strconv.Atoi(req.Header.Get("After"))
			writeEvents(w, after+1, 4)
			return
		}
		writeEvents(w, 1, 2)
		_, _ = w.Write([]byte("id: 3\ndata: pie"))
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}
	_, body, err := start(t, newReplica(t, h), newReplica(t, h)).post(t, "/resumable/")
	var want bytes.Buffer
	for i := 1; i <= 4; i++ {
		_, _ = fmt.Fprintf(&want, "id: %d\ndata: piece %d\n\n", i, i)
	}
	if err != nil || body != want.String() {
		t.Fatalf("%q %v", body, err)
	}
	first = sync.Once{}
	if _, body, err := start(t, newReplica(t, h), newReplica(t, h)).post(t, "/stream/"); err == nil {
		t.Fatalf("a broken stream looks complete: %q", body)
	}
}

// Keys must not be accepted when they may have been revoked: when the last proof
// that the configuration is the newest is too old.
func TestKeysAreRefusedWithoutFreshProof(t *testing.T) {
	r := newReplica(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) })
	f := startProvedAt(t, freshness.Now().Add(-2*time.Minute), r)
	for path, want := range map[string]int{
		"/once/": http.StatusServiceUnavailable, "/public/": http.StatusOK, "/unknown/": http.StatusServiceUnavailable,
	} {
		if res, body, err := f.post(t, path); err != nil || res.StatusCode != want {
			t.Errorf("%s: %v %q %v, want %d", path, res, body, err, want)
		}
	}
	if f.gateway.Ready() {
		t.Error("the daemon is ready though it accepts no key")
	}
	f.proof.RecordRead(0, freshness.Now())
	for path, want := range map[string]int{"/once/": http.StatusOK, "/unknown/": http.StatusNotFound} {
		if res, _, err := f.post(t, path); err != nil || res.StatusCode != want {
			t.Errorf("%s: %v %v, want %d", path, res, err, want)
		}
	}
	if res, _, err := f.post(t, "/once/", "Key", "unknown"); err != nil || res.StatusCode != http.StatusUnauthorized {
		t.Errorf("%v %v", res, err)
	}
}

// Before its first configuration a daemon can't check requests; it must refuse
// them as not run, with a retry delay.
func TestWithoutConfigurationRequestsAreRefusedAsNotRun(t *testing.T) {
	f := start(t)
	*f.watcher = *catalog.NewWatcher()
	res, _, err := f.post(t, "/once/")
	if err != nil || res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Retry-After") == "" {
		t.Fatalf("%v %v", res, err)
	}
}

// A stopping daemon must refuse late requests instead of dropping them, and must
// close each connection after a response.
func TestStoppingDaemonRefuses(t *testing.T) {
	r := newReplica(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) })
	f := start(t, r)
	f.gateway.Drain(time.Now().Add(time.Minute))
	c, err := net.Dial("tcp", f.address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_, _ = fmt.Fprintf(c, "GET /public/ HTTP/1.1\r\nHost: 127.0.0.1\r\nId: x\r\n\r\n")
	in := bufio.NewReader(c)
	res, err := http.ReadResponse(in, nil)
	if err != nil || res.StatusCode != http.StatusOK || !res.Close {
		t.Fatalf("%v %v", res, err)
	}
	_, _ = io.Copy(io.Discard, res.Body)
	if _, err := in.ReadByte(); err == nil {
		t.Error("the connection stays open")
	}
	f.gateway.Refuse()
	if res, _, err := f.post(t, "/public/"); err != nil || res.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("%v %v", res, err)
	}
}

// When a caller disconnects, its request must be cancelled at the upstream.
func TestCallerGoneEndsTheRun(t *testing.T) {
	began, ended := make(chan struct{}), make(chan struct{})
	r := newReplica(t, func(_ http.ResponseWriter, req *http.Request) {
		close(began)
		<-req.Context().Done()
		close(ended)
	})
	f := start(t, r)
	ctx, cancel := context.WithCancel(t.Context())
	go func() { <-began; cancel() }()
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.address+"/public/", http.NoBody)
	if res, err := http.DefaultClient.Do(req); err == nil {
		_ = res.Body.Close()
		t.Fatal("a response arrived")
	}
	select {
	case <-ended:
	case <-time.After(time.Second):
		t.Fatal("the request still runs")
	}
}

// A request must be refused with status 504 as soon as its deadline passes.
func TestDeadline(t *testing.T) {
	r := newReplica(t, func(_ http.ResponseWriter, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body) // net/http detects a disconnect only after the body was read
		<-req.Context().Done()
	})
	f := start(t, r)
	began := time.Now()
	res, _, err := f.post(t, "/once/", "Budget", "100")
	if err != nil || res.StatusCode != http.StatusGatewayTimeout {
		t.Fatalf("%v %v", res, err)
	}
	if took := time.Since(began); took > 300*time.Millisecond {
		t.Errorf("answered after %v", took)
	}
}
