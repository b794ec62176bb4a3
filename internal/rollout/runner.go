package rollout

import (
	"context"
	"errors"
	"maps"
	"time"

	"currantpulley/internal/catalog"
	"currantpulley/internal/event"
)

// Errors of Control.Order, for use with errors.Is.
var (
	// ErrFenced: the engine has seen an order with a higher fencing token.
	ErrFenced = errors.New("a later lease holder has given an order")
	// ErrConflict: the engine has another order in progress, or its revision
	// differs from the order's.
	ErrConflict = errors.New("the engine is at another revision")
	// ErrRejected: the engine will never accept this order.
	ErrRejected = errors.New("the engine rejects the order")
)

// Report holds the state that an engine reports.
type Report struct {
	Versions map[string]uint64 // weights versions served, by model
	Busy     bool              // an order is in progress
	Revision uint64            // number of orders accepted
	Running  int               // requests that run
	Waiting  int               // requests that wait
}

// Order tells an engine to load a weights version.
type Order struct {
	Model    string
	Version  uint64
	Holder   string // VM that holds the lease
	Token    uint64 // fencing token of the lease
	Revision uint64 // expected revision of the engine
	Preempt  bool   // ends requests in progress instead of waiting for them
}

// Control sends control calls to engines.
type Control interface {
	// Report reads an engine's state.
	Report(ctx context.Context, u *catalog.Upstream) (Report, error)
	// Order sends an order. After an error other than ErrFenced, ErrConflict
	// and ErrRejected, it is unknown whether the engine accepted the order.
	Order(ctx context.Context, u *catalog.Upstream, o Order) error
}

// Lease tells whether this daemon may give orders.
type Lease interface {
	// Token returns the fencing token and whether the lease is held now.
	Token() (uint64, bool)
	// Refused reports that an engine refused a token as outdated. Token does not
	// return it any more.
	Refused(token uint64)
}

// Options configure a Runner.
type Options struct {
	Self          string        // name of this VM
	HandoverDelay time.Duration // minimum time between orders of two lease holders to one engine
	Watcher       *catalog.Watcher
	Control       Control
	Lease         Lease
	Recorder      event.Recorder
	// Version returns the newest version of a model that u is known to serve.
	Version func(u *catalog.Upstream, model string) uint64
	// Requests returns the number of requests of all daemons in u, and how many
	// of them can't be resumed at another engine.
	Requests func(u *catalog.Upstream) (requests, notResumable int)
	// ShortLane returns the ids of a service's engines that are reserved for
	// short work. They are updated independently of the others.
	ShortLane func(service string, all []*catalog.Upstream) map[string]bool
	// AnnounceClosed tells all daemons to send no new work to an engine for d.
	AnnounceClosed func(k catalog.Key, d time.Duration, token uint64)
	// AnnounceOpened tells all daemons that an engine accepts work again.
	// version is the weights version that it serves, 0 if it is not known.
	AnnounceOpened func(k catalog.Key, model string, version, token uint64)
	// OnStage is called with the duration of each stage of an order, also when the
	// stage failed; nil: not called. It must be safe for concurrent use.
	OnStage func(s Stage, took time.Duration)
}

const (
	tickPeriod        = 50 * time.Millisecond
	callTimeout       = 600 * time.Millisecond
	pollPeriod        = 80 * time.Millisecond // between polls of an engine that loads weights
	conflictBackoff   = 150 * time.Millisecond
	failureBackoff    = 250 * time.Millisecond // doubles with each failure in a row
	maxFailureBackoff = 4 * time.Second
	rejectedBackoff   = 3 * time.Second

	// closeDuration is how long an engine stays closed unless it is opened before.
	closeDuration = 3 * time.Second
	// drainMin is the time that all daemons need to learn that an engine is closed.
	drainMin = 40 * time.Millisecond
	// drainMax limits the wait for requests that can't be resumed elsewhere.
	drainMax  = 500 * time.Millisecond
	drainPoll = 20 * time.Millisecond
)

// Runner plans and gives orders while its daemon holds the lease. Its state is
// owned by the goroutine of Run.
type Runner struct {
	opts     Options
	engines  map[key]*engineState
	results  chan result
	notices  chan orderNotice
	holdoffs map[catalog.Key]holdoff
}

// key identifies the state of one model at one engine.
type key struct {
	engine catalog.Key
	model  string
}

// engineState is the state of one model at one engine.
type engineState struct {
	Engine
	inFlight bool // a goroutine carries out an order or a probe
	failures int  // failed reports in a row
}

// orderNotice is another daemon's notice that it closed an engine for an order,
// or opened it again.
type orderNotice struct {
	engine catalog.Key
	token  uint64
	open   bool
}

// result is the outcome of an order or a probe.
type result struct {
	key     key
	version uint64 // version that the engine serves now; 0: not known
	token   uint64
	err     error
}

// New returns a Runner. It does nothing until Run is called.
func New(o Options) *Runner {
	return &Runner{opts: o, engines: make(map[key]*engineState), results: make(chan result, 64), notices: make(chan orderNotice, 64),
		holdoffs: make(map[catalog.Key]holdoff)}
}

// HandleNotice takes another daemon's notice that it closed an engine for an
// order with the given fencing token, or opened it again. It never blocks.
func (r *Runner) HandleNotice(k catalog.Key, token uint64, open bool) {
	select {
	case r.notices <- orderNotice{k, token, open}:
	default: // dropped: notices are sent repeatedly
	}
}

// Run plans and gives orders until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	t := time.NewTicker(tickPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case res := <-r.results:
			r.handleResult(res, time.Now())
		case h := <-r.notices:
			r.delayOrders(h, time.Now())
		case <-t.C:
			r.step(ctx, time.Now())
		}
	}
}

// holdoff delays orders to an engine that another holder has given an order.
type holdoff struct {
	orderNotice
	until time.Time // earliest time of this daemon's next order
}

// delayOrders delays orders to an engine by Options.HandoverDelay after another
// holder's order. While the engine is still closed, the time that the other
// holder may take to drain it and send the order is added.
func (r *Runner) delayOrders(h orderNotice, now time.Time) {
	if r.holdoffs[h.engine].orderNotice == h {
		return // a repeated notice
	}
	until := now.Add(r.opts.HandoverDelay)
	if !h.open {
		until = until.Add(drainMax + callTimeout)
	}
	r.holdoffs[h.engine] = holdoff{h, until}
}

// step plans and starts the orders for all models and services, if the lease is
// held.
func (r *Runner) step(ctx context.Context, now time.Time) {
	token, held := r.opts.Lease.Token()
	if !held {
		return
	}
	snap := r.opts.Watcher.Load()
	if snap.Config == nil {
		return
	}
	for model, target := range snap.Weights {
		for _, s := range snap.Config.Services {
			if s.Engine != nil {
				r.plan(ctx, snap, s, model, target.Version, token, now)
			}
		}
	}
	r.dropRemoved(snap)
}

// plan updates the state of a service's engines for one model and starts the
// orders that Plan returns.
func (r *Runner) plan(ctx context.Context, snap *catalog.Snapshot, s *catalog.Service, model string, target, token uint64, now time.Time) {
	var engines []Engine
	all := snap.UpstreamsOf(s.Name)
	shortLane := r.opts.ShortLane(s.Name, all)
	for _, u := range all {
		if u.Leaving {
			continue
		}
		st := r.state(key{u.Key(), model})
		st.Version = max(st.Version, r.opts.Version(u, model))
		requests, _ := r.opts.Requests(u)
		st.Load = float64(requests)
		st.ShortLane = shortLane[u.ID]
		if t := r.holdoffs[u.Key()]; t.until.After(st.RetryAt) {
			st.RetryAt = t.until
		}
		if st.failures > 0 {
			r.probe(ctx, u, st, model, now)
			continue
		}
		engines = append(engines, st.Engine)
	}
	for _, k := range Plan(engines, target, now) {
		u := snap.Upstreams[k.ID]
		st := r.state(key{k, model})
		if u == nil || u.Key() != k || st.inFlight {
			continue
		}
		st.inFlight, st.OrderedVersion, st.OrderedAt = true, target, now
		go r.update(ctx, u, Order{Model: model, Version: target, Holder: r.opts.Self, Token: token})
	}
}

// probe polls an engine whose last report failed. Until a report succeeds the
// engine is left out of the plan, so that it doesn't block orders to others.
func (r *Runner) probe(ctx context.Context, u *catalog.Upstream, st *engineState, model string, now time.Time) {
	if st.inFlight || now.Before(st.RetryAt) {
		return
	}
	st.inFlight = true
	go func() {
		report, err := r.report(ctx, u)
		r.sendResult(ctx, result{key: key{u.Key(), model}, version: report.Versions[model], err: err})
	}()
}

// sendResult hands a result to the goroutine of Run.
func (r *Runner) sendResult(ctx context.Context, res result) {
	select {
	case r.results <- res:
	case <-ctx.Done():
	}
}

// state returns the state for k, creating it if needed.
func (r *Runner) state(k key) *engineState {
	st, ok := r.engines[k]
	if !ok {
		st = &engineState{Engine: Engine{Key: k.engine}}
		r.engines[k] = st
	}
	return st
}

// dropRemoved deletes the state of engines that are no longer in the snapshot.
func (r *Runner) dropRemoved(snap *catalog.Snapshot) {
	maps.DeleteFunc(r.engines, func(k key, st *engineState) bool {
		u := snap.Upstreams[k.engine.ID]
		return !st.inFlight && (u == nil || u.Key() != k.engine)
	})
	maps.DeleteFunc(r.holdoffs, func(k catalog.Key, _ holdoff) bool {
		u := snap.Upstreams[k.ID]
		return u == nil || u.Key() != k
	})
}

// update carries out an order and hands its result to the goroutine of Run.
func (r *Runner) update(ctx context.Context, u *catalog.Upstream, o Order) {
	version, err := r.order(ctx, u, o)
	r.sendResult(ctx, result{key{u.Key(), o.Model}, version, o.Token, err})
}

// handleResult applies the outcome of an order or a probe and sets the backoff.
func (r *Runner) handleResult(res result, now time.Time) {
	st := r.state(res.key)
	st.inFlight, st.OrderedVersion = false, 0
	st.Version = max(st.Version, res.version)
	if !errors.Is(res.err, errUnreachable) {
		st.failures = 0
	}
	switch {
	case res.err == nil:
	case errors.Is(res.err, errUnreachable):
		st.failures++
		st.RetryAt = now.Add(min(maxFailureBackoff, failureBackoff<<min(st.failures, 8)))
	case errors.Is(res.err, ErrFenced):
		r.opts.Lease.Refused(res.token)
	case errors.Is(res.err, ErrConflict):
		st.RetryAt = now.Add(conflictBackoff)
	case errors.Is(res.err, ErrRejected):
		st.RetryAt = now.Add(rejectedBackoff)
	default:
		st.RetryAt = now.Add(failureBackoff)
	}
	if res.err != nil {
		r.opts.Recorder.Record(event.Event{ID: event.OrderUnfinished, Upstream: res.key.engine.ID, Step: "roll out", Err: res.err})
	}
}
