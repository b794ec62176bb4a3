// Package orders brings engines into the state that the configuration specifies:
// weights, adapters and role. For each group of engines one daemon holds a lease.
// It reads each engine's state, orders the next change and reads again until the
// state matches. Orders are declarative, so that a duplicate does no harm, and
// carry the fencing token of the lease.
package orders

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strings"
	"time"

	"currantpulley/internal/config"
	"currantpulley/internal/control/loop"
	"currantpulley/internal/event"
	"currantpulley/internal/failure"
	"currantpulley/internal/fleet"
	"currantpulley/internal/snapshot"
	"currantpulley/internal/upstream"
)

const (
	tickPeriod   = 100 * time.Millisecond
	stateTimeout = 2 * time.Second
)

// Engine is the part of the engine protocol that this package needs.
type Engine interface {
	// State reads the state of the engine at address.
	State(ctx context.Context, address string) (*upstream.State, error)
	// Order sends an order to the engine at address. An *upstream.StatusError
	// means that the engine refused the order; after any other error the engine
	// may have accepted it.
	Order(ctx context.Context, address string, o upstream.Order) (*upstream.State, error)
}

// Options configures Orders. All fields are required.
type Options struct {
	Loop     *loop.Loop
	Leases   Leases
	Engine   Engine
	Snapshot func() *snapshot.Snapshot
	Self     string // name of this VM
	Recorder event.Recorder
}

// Orders sends orders to the engines for which this daemon is responsible. Its
// state is owned by the control goroutine.
type Orders struct {
	Options
	planner    *planner
	ctx        context.Context
	configured planInputs
}

// planInputs identifies the configuration and the view that the planner was last
// configured with. Both are immutable, so comparing their addresses is enough.
type planInputs struct {
	config *config.Config
	vms    *fleet.VM
	count  int
}

func planInputsOf(snap *snapshot.Snapshot) planInputs {
	s := planInputs{config: snap.Config, count: len(snap.View.VMs)}
	if s.count > 0 {
		s.vms = &snap.View.VMs[0]
	}
	return s
}

// New returns Orders. Nothing is ordered until Run is called.
func New(o Options) *Orders {
	out := &Orders{Options: o}
	out.planner = newPlanner(o.Leases, out.changed)
	return out
}

// Run reads engines and sends orders until ctx ends.
func (o *Orders) Run(ctx context.Context) {
	o.Loop.Post(func(time.Time) { o.ctx = ctx })
	o.Loop.Every(ctx, tickPeriod, o.tick)
	<-ctx.Done()
}

// Status returns the progress of the engines that this daemon manages, sorted by
// name. It must be called on the control goroutine.
func (o *Orders) Status() []Status { return o.planner.status() }

// tick starts the orders and polls that are due.
func (o *Orders) tick(now time.Time) {
	snap := o.Snapshot()
	if o.ctx == nil || snap == nil || snap.Config == nil {
		return
	}
	if inputs := planInputsOf(snap); inputs != o.configured {
		o.planner.configure(now, snap.Version, snap.Config, o.ownGroups(snap))
		o.configured = inputs
	}
	for _, d := range o.planner.plan(now, serving(snap)) {
		go o.order(d)
	}
	for _, t := range o.planner.duePolls(now) {
		go o.poll(t)
	}
}

// ownGroups reports for each group whether this daemon manages it: whether it is
// the group's first owner among the live daemons of the site.
func (o *Orders) ownGroups(snap *snapshot.Snapshot) map[string]bool {
	var live []fleet.VM
	for _, vm := range snap.View.Live() {
		if vm.Site == snap.Config.Site {
			live = append(live, vm)
		}
	}
	ownGroups := make(map[string]bool)
	for _, u := range snap.Config.Upstreams {
		group := groupOf(u)
		if _, done := ownGroups[group]; done {
			continue
		}
		first := fleet.Owners(live, "orders/"+group, 1)
		ownGroups[group] = len(first) > 0 && first[0].Name == o.Self
	}
	return ownGroups
}

// serving returns a servingFunc for snap, whose upstreams are sorted by name.
func serving(snap *snapshot.Snapshot) servingFunc {
	return func(name, model string) bool {
		i, ok := slices.BinarySearchFunc(snap.Upstreams, name, func(u *snapshot.Upstream, name string) int {
			return strings.Compare(u.Name, name)
		})
		m := snap.Config.Models[model]
		return ok && m != nil && snap.Upstreams[i].AcceptsRequests() && snap.Upstreams[i].Serves(m)
	}
}

// poll reads the state of one engine.
func (o *Orders) poll(t *target) {
	ctx, cancel := context.WithTimeout(o.ctx, stateTimeout)
	defer cancel()
	state, err := o.Engine.State(ctx, t.address)
	o.Loop.Post(func(now time.Time) { o.planner.recordState(now, t, state, err) })
}

// order sends an order if its leases are still valid. The safety margin of the
// lease covers the time between the check and the first byte sent.
func (o *Orders) order(d *dispatch) {
	ctx, cancel := context.WithTimeout(o.ctx, d.timeout)
	defer cancel()
	if !d.valid(time.Now()) {
		o.Loop.Post(func(now time.Time) { o.planner.recordOrder(now, d.target, nil, errLeaseExpired) })
		return
	}
	o.record(event.OrderSent, d, nil)
	state, err := o.Engine.Order(ctx, d.target.address, d.order)
	o.record(outcome(err), d, failure.At("order", d.target.name, err))
	o.Loop.Post(func(now time.Time) { o.planner.recordOrder(now, d.target, state, err) })
}

// errLeaseExpired is the result of an order that was not sent, since one of its
// leases had expired.
var errLeaseExpired = &upstream.StatusError{Status: http.StatusPreconditionFailed, Message: "the lease expired before the order was sent"}

// outcome returns the event for the result of an order.
func outcome(err error) event.ID {
	var status *upstream.StatusError
	switch {
	case err == nil:
		return event.OrderAccepted
	case errors.As(err, &status):
		return event.OrderRefused
	}
	return event.OrderOutcomeUnknown
}

func (o *Orders) record(id event.ID, d *dispatch, err error) {
	o.Recorder.Record(event.Event{ID: id, Upstream: d.target.name, Version: d.order.Fencing, Step: d.order.Action, Detail: d.order.Weights, Err: err})
}

// changed records the events for a new phase or reason.
func (o *Orders) changed(s Status) {
	switch s.Phase {
	case Converged:
		o.Recorder.Record(event.Event{ID: event.UpstreamConverged, Upstream: s.Upstream})
	case Waiting:
		o.Recorder.Record(event.Event{ID: event.OrderWaits, Upstream: s.Upstream, Detail: s.Reason})
	}
}
