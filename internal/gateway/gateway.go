package gateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/singleflight"

	"currantpulley/internal/balance"
	"currantpulley/internal/catalog"
	"currantpulley/internal/event"
	"currantpulley/internal/fairness"
	"currantpulley/internal/freshness"
	"currantpulley/internal/holdoff"
	"currantpulley/internal/metrics"
	"currantpulley/internal/quarantine"
	"currantpulley/internal/quota"
	"currantpulley/internal/refusal"
	"currantpulley/internal/rendezvous"
	"currantpulley/internal/retry"
	"currantpulley/internal/server"
	"currantpulley/internal/upstream"
)

// Options configure a Gateway.
type Options struct {
	Dialect     Dialect
	Watcher     *catalog.Watcher
	Balancer    *balance.Balancer
	Transport   http.RoundTripper
	Retries     *retry.Windows
	Recorder    event.Recorder
	Metrics     *metrics.Gateway                               // nil: metrics are discarded
	Proof       *freshness.Proof                               // when the configuration was last proved to be the newest
	MaxProofAge time.Duration                                  // maximum age of Proof at which keys are accepted
	Origins     Origins                                        // nil: callers resume streams at any build
	HasEnded    func(ctx context.Context, address string) bool // whether an upstream's process has ended; nil: as own connections show
	TellCarrier func(conn net.Conn, n holdoff.Notice)          // tells a daemon that carried a request over conn what the upstream asked for; nil: none does
	Quarantine  *quarantine.Table                              // requests and parts of prompts that crash upstreams; nil: shared with no other daemon
	Shares      *fairness.Table                                // work in progress by workspace; nil: shared with no other daemon
	Quotas      Quotas                                         // of workspaces, for all daemons together; nil: none are kept
	// StaleWeightsCut is the time after the announcement of a newer weights version
	// from which a request that still waits in an engine with older weights is taken
	// back; 0: never.
	StaleWeightsCut time.Duration
}

// Gateway is the HTTP handler for callers' requests. It must be served by a
// server.Server.
type Gateway struct {
	opts        Options
	endsAt      atomic.Pointer[time.Time] // at which EndRequests is called; nil: not draining
	stopped     atomic.Bool
	ending      context.Context // ends with EndRequests
	endRequests context.CancelFunc
	endedChecks singleflight.Group // of upstreams, by id
}

// New returns a Gateway with the given options.
func New(o Options) *Gateway {
	if o.Metrics == nil {
		o.Metrics = metrics.NewGateway(prometheus.NewRegistry())
	}
	if o.HasEnded == nil {
		dial := upstream.NewDial()
		o.HasEnded = func(ctx context.Context, address string) bool { return upstream.HasEnded(ctx, dial, address) }
	}
	if o.Quarantine == nil {
		o.Quarantine = quarantine.New(quarantine.Options{})
	}
	if o.Shares == nil {
		o.Shares = fairness.New(func(uint32) float64 { return 0 })
	}
	g := &Gateway{opts: o}
	g.ending, g.endRequests = context.WithCancel(context.Background())
	return g
}

// Drain makes the gateway not ready and closes each connection after its next
// response. Requests that may not be repeated, and may not be answered by end, are
// refused from now on.
func (g *Gateway) Drain(end time.Time) { g.endsAt.Store(&end) }

// Refuse makes the gateway refuse all new requests. It is called before the
// process ends.
func (g *Gateway) Refuse() { g.stopped.Store(true) }

// EndRequests ends the requests that are in progress. Their callers are told whether they
// may have run, unless a part of the response was relayed.
func (g *Gateway) EndRequests() { g.endRequests() }

// Ready reports whether the load balancer in front of the daemon should send
// requests to it.
func (g *Gateway) Ready() bool {
	return g.endsAt.Load() == nil && g.opts.Watcher.Load().Config != nil && g.configFresh()
}

// configFresh reports whether the configuration was proved to be the newest
// within MaxProofAge.
func (g *Gateway) configFresh() bool { return g.opts.Proof.Within(g.opts.MaxProofAge, freshness.Now()) }

// request holds the state of one request.
type request struct {
	Call
	ctx       context.Context // ends when the caller disconnects or at the deadline
	callerCtx context.Context // ends when the caller disconnects
	w         *server.Writer
	r         *http.Request
	body      []byte
	arrived   time.Time
	deadline  time.Time
	snap      *catalog.Snapshot
	route     *catalog.Route
	service   *catalog.Service
	workspace *catalog.Workspace // nil on a public route without a key
	headSent  bool               // the status line was sent to the caller

	watched []quarantine.Part // see watchedParts

	tried   []catalog.Key
	permit  retry.Permit // of the latest repeat
	reached []string     // addresses of the attempts that may have reached an upstream
	runs    int          // of these, attempts that may have run

	urgency  int           // of the latest attempt, see setUrgency
	expected time.Duration // wait for the first byte of the latest attempt

	lastRelayed uint64    // id of the last stream event that the caller has
	numbering   numbering // of the events that were relayed
	software    string    // version of the upstream that sent the first event of this response

	charge quota.Charge // of the workspace's quota

	build catalog.Build // that began the stream and must go on with it; 0: none did yet

	// Times since the arrival of the request, except maxPause.
	firstByte time.Duration // of the first write to the caller
	lastWrite time.Duration // of the latest write to the caller
	maxPause  time.Duration // longest time between two writes
}

// Errors after which no refusal can be written.
var (
	errCallerGone     = errors.New("the caller disconnected")
	errTruncatedRelay = errors.New("the response ended early after part of it was relayed")
)

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	sw, ok := w.(*server.Writer)
	if !ok {
		http.Error(w, "unexpected response writer type", http.StatusInternalServerError)
		return
	}
	q := &request{callerCtx: r.Context(), w: sw, r: r, arrived: time.Now()}
	if g.endsAt.Load() != nil {
		sw.CloseAfter()
	}
	g.opts.Metrics.RequestStarted()
	outcome, reason := outcomeServed, ""
	if err := g.serve(q); err != nil {
		outcome, reason = g.finish(q, err)
	}
	g.opts.Metrics.RequestEnded(q.routeName(), outcome, reason)
}

// Outcomes of requests in the metrics. The reason label of a refused request
// is the refusal's code.
const (
	outcomeServed    = "served"
	outcomeRefused   = "refused"
	outcomeCancelled = "cancelled"
	outcomeBroken    = "broken"
)

// routeName returns the name of the request's route, or "" before one was
// matched.
func (q *request) routeName() string {
	if q.route == nil {
		return ""
	}
	return q.route.Name
}

// serve resolves a request, reads its body, sends it and relays the response.
func (g *Gateway) serve(q *request) error {
	if err := g.resolve(q); err != nil {
		return err
	}
	if q.callerCtx.Err() != nil {
		return errCallerGone
	}
	var cancel context.CancelFunc
	q.ctx, cancel = context.WithDeadline(q.callerCtx, q.deadline)
	defer cancel()
	defer context.AfterFunc(g.ending, cancel)()
	body, err := server.ReadBody(q.r)
	if err != nil {
		return refusal.New(refusal.BadRequest, "the body could not be read").WithCause(err)
	}
	q.body = body
	if err := g.bindToOrigin(q); err != nil {
		return err
	}
	if err := g.checkQuota(q); err != nil {
		return err
	}
	g.opts.Retries.Request(q.service.Name)
	defer g.beginShare(q)()
	defer g.settleQuota(q)
	return g.sendWithRetries(q)
}

// stoppedRetryAfter is the retry delay given by a daemon that is stopping. The
// retry should reach another daemon.
const stoppedRetryAfter = 20 * time.Millisecond

// noConfigRetryAfter is the retry delay given by a daemon that is starting and
// has no complete configuration yet. Another daemon may have one; where all start at
// once, they have read it by then.
const noConfigRetryAfter = 300 * time.Millisecond

// resolve finds the request's route, workspace and service and sets its
// deadline.
func (g *Gateway) resolve(q *request) error {
	q.snap = g.opts.Watcher.Load()
	if g.stopped.Load() {
		return errStopping()
	}
	if q.snap.Config == nil {
		return refusal.New(refusal.NoConfiguration, "no configuration is in force here yet").WithRetryAfter(noConfigRetryAfter)
	}
	call, err := g.opts.Dialect.Call(q.r.Header)
	if err != nil {
		return refusal.New(refusal.BadRequest, "%v", err)
	}
	q.Call = call
	return g.resolveCall(q, hostOf(q.r), q.r.URL.Path)
}

// resolveCall finds the route, workspace and service of a request whose headers are known
// and sets its deadline.
func (g *Gateway) resolveCall(q *request, host, path string) error {
	config := q.snap.Config
	q.route = config.Match(host, path)
	if q.route == nil {
		return g.staleOr(refusal.New(refusal.NoRoute, "no route matches the host and path"))
	}
	if err := g.authenticate(q); err != nil {
		return err
	}
	q.service = config.Services[q.route.PickService(rendezvous.Hash(q.ID))]
	if q.service == nil {
		return refusal.New(refusal.NoUpstream, "the route's service is not configured").WithRetryAfter(noConfigRetryAfter)
	}
	q.deadline = q.arrived.Add(q.route.Timeout)
	if q.MaxWait > 0 && (q.route.Timeout == 0 || q.MaxWait < q.route.Timeout) {
		q.deadline = q.arrived.Add(q.MaxWait)
	}
	if end := g.endsAt.Load(); end != nil && q.deadline.After(*end) && !q.route.MayRepeat() {
		return errStopping()
	}
	return nil
}

// errStopping returns the refusal of a request that did not run because this daemon is
// stopping.
func errStopping() *refusal.Error {
	return refusal.New(refusal.Draining, "this router is stopping").WithRetryAfter(stoppedRetryAfter)
}

// authenticate finds the workspace of the request's key. It refuses a request
// whose route needs a key when the key is unknown or can't be checked.
func (g *Gateway) authenticate(q *request) error {
	config := q.snap.Config
	if q.Key != "" {
		q.workspace = config.Workspaces[q.Key]
	}
	if q.route.Public || !config.NeedsKey {
		return nil
	}
	if q.workspace == nil {
		return g.staleOr(refusal.New(refusal.Unauthorised, "the key is not known"))
	}
	return g.checkKeysFresh()
}

// staleRetryAfter is the retry delay given when a key can't be checked. The
// retry should reach another daemon; where none can check keys, the next proof may come
// at any moment.
const staleRetryAfter = 200 * time.Millisecond

// checkKeysFresh returns a refusal while the configuration is not proved to be
// the newest: a key that is still known here may have been revoked.
func (g *Gateway) checkKeysFresh() error {
	if g.configFresh() {
		return nil
	}
	return refusal.New(refusal.Detached, "this router can't tell whether its keys are still valid").WithRetryAfter(staleRetryAfter)
}

// staleOr returns err, or the refusal of checkKeysFresh when a newer
// configuration may have the key or route that was not found.
func (g *Gateway) staleOr(err error) error {
	if stale := g.checkKeysFresh(); stale != nil {
		return stale
	}
	return err
}

// hostOf returns the request's host in lower case, without its port.
func hostOf(r *http.Request) string {
	host := r.Host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(host)
}

// finish writes the refusal of a failed request, or closes its connection when
// no refusal can be written, and records an event. It returns the outcome and
// the reason for the metrics.
func (g *Gateway) finish(q *request, err error) (outcome, reason string) {
	e := event.Event{Request: q.ID, Step: "gateway", Err: err}
	if q.snap != nil && q.snap.Config != nil {
		e.Version = q.snap.Config.Version
	}
	if q.workspace != nil {
		e.Workspace = q.workspace.Name
	}
	switch {
	case q.callerCtx.Err() != nil || errors.Is(err, errCallerGone):
		e.ID, outcome, e.Detail = event.RequestCancelled, outcomeCancelled, q.progress()
		q.w.Abort()
	case q.headSent:
		e.ID, outcome = event.StreamBroken, outcomeBroken
		q.w.Abort()
	default:
		r := refusal.From(err)
		e.ID, outcome, reason = event.RequestRefused, outcomeRefused, string(r.Code)
		e.Detail = string(r.Code) + " " + string(r.Effect)
		writeRefusal(q.w, r)
	}
	g.opts.Recorder.Record(e)
	return outcome, reason
}

// progress describes for the log how far a request had come when it was given up.
func (q *request) progress() string {
	last := "none"
	if n := len(q.reached); n > 0 {
		last = q.reached[n-1]
	}
	return fmt.Sprintf("route %s, after %v, sends %d, latest address %s, expected %v, last event %d",
		q.routeName(), time.Since(q.arrived).Round(time.Millisecond), len(q.reached), last, q.expected.Round(time.Millisecond), q.lastRelayed)
}

// jitter returns a random delay from d to 1.5 d, so that refused callers don't
// all retry at once.
func jitter(d time.Duration) time.Duration {
	return d + rand.N(d/2+1)
}
