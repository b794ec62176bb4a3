package orders

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"currantpulley/internal/backing"
	"currantpulley/internal/config"
	"currantpulley/internal/control/lease"
	"currantpulley/internal/fake/memlog"
	"currantpulley/internal/logrecord"
	"currantpulley/internal/upstream"
)

const (
	worldDaemons  = 3
	worldEngines  = 4
	worldLoads    = 2
	worldLease    = 10 * time.Second
	worldDelivery = 2 * time.Second
	worldLoadTime = time.Second
	leaseVersion  = 1 // of the records of package lease
)

// engine is a model engine that checks fencing numbers or does not.
type engine struct {
	checks   bool
	state    upstream.State
	loadsTo  time.Time
	next     upstream.Order // being loaded
	tenure   uint64         // newest holder's tenure that an order was sent under
	arriving []arrival
}

// arrival is an order that is still under way after its sender gave up.
type arrival struct {
	order  upstream.Order
	at     time.Time
	tenure uint64
}

// daemon is one daemon's leases and planner, and the orders that it has
// cleared but not sent.
type daemon struct {
	table   *lease.Table
	planner *planner
	cleared []*dispatch
	version uint64
	tenures map[time.Time]uint64
}

// world is a deterministic simulation of daemons, log and engines.
type world struct {
	ignoreLapse bool // planted: orders are sent without a last look at the lease
	now         time.Time
	log         *memlog.Log
	daemons     [worldDaemons]*daemon
	engines     map[string]*engine
	version     uint64
	tenures     uint64
	sent        int
	problem     string
}

func newWorld() *world {
	w := &world{now: time.UnixMilli(1_700_000_000_000), engines: make(map[string]*engine), version: 1}
	w.log = memlog.New(func() time.Time { return w.now })
	for i := range worldEngines {
		w.engines[engineName(i)] = &engine{checks: i%2 == 0, state: upstream.State{Weights: map[string]string{}}}
	}
	for i := range w.daemons {
		w.start(i)
	}
	return w
}

func engineName(i int) string { return fmt.Sprintf("engine-%d", i) }

func (w *world) start(i int) {
	d := &daemon{table: lease.NewTable(fmt.Sprint(i)), version: w.version, tenures: make(map[time.Time]uint64)}
	first, _, _ := w.log.Bounds(context.Background(), backing.StreamLeases)
	d.table.Start(max(first, 1))
	d.planner = newPlanner(d.table, func(Status) {})
	w.daemons[i] = d
}

func (w *world) config(version uint64) *config.Config {
	c := &config.Config{Site: "s", Upstreams: make(map[string]*config.Upstream)}
	c.Models = map[string]*config.Model{"m": {Name: "m", Weights: fmt.Sprint("v", version), Adapters: []string{"a"}}}
	c.Orders = config.Orders{LoadsAtOnce: worldLoads, KeepShare: 0.5, Lease: config.Duration(worldLease), Delivery: config.Duration(worldDelivery)}
	for i := range worldEngines {
		u := &config.Upstream{Name: engineName(i), Kind: config.KindEngine, Address: engineName(i), Models: []string{"m"}, Role: "mixed"}
		u.ChecksFencing, u.Group = w.engines[u.Name].checks, fmt.Sprint("group-", i/2)
		c.Upstreams[u.Name] = u
	}
	return c
}

// step carries out one operation of a history.
func (w *world) step(op uint32) {
	const kinds = 32
	arg := int(op / kinds)
	d := w.daemons[arg%worldDaemons]
	fault := arg / worldDaemons % 12
	switch kind := op % kinds; {
	case kind < 8:
		w.plan(arg%worldDaemons, fault == 0)
	case kind < 14:
		w.claim(d, fault)
	case kind < 20:
		w.read(d)
	case kind < 26:
		w.send(d, fault)
	case kind < 29:
		steps := []time.Duration{10 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second, worldLease}
		w.pass(steps[arg%len(steps)])
	default:
		w.disturb(arg%worldDaemons, fault)
	}
}

func (w *world) disturb(i, kind int) {
	switch kind {
	case 0:
		w.start(i)
	case 1:
		w.version++
	case 2, 3:
		w.daemons[i].version = w.version
	case 4:
		w.log.SetDown(true)
	case 5, 6, 7:
		w.log.SetDown(false)
	case 8:
		e := w.engines[engineName(i)]
		e.state, e.loadsTo = upstream.State{Weights: map[string]string{}}, time.Time{}
	case 9:
		w.trim()
	}
}

// trim drops the records that are older than any lease can be.
func (w *world) trim() {
	first, _, err := w.log.Bounds(context.Background(), backing.StreamLeases)
	if err != nil {
		return
	}
	records, _ := w.log.Read(context.Background(), backing.StreamLeases, first, 1000, 0)
	for _, r := range records {
		if w.now.Sub(r.At) > 2*worldLease {
			w.log.Trim(backing.StreamLeases, r.Offset+1)
		}
	}
}

// plan lets a daemon look after all groups, as if each took itself for the
// first choice, and read the engines; lost drops the answers.
func (w *world) plan(i int, lost bool) {
	d := w.daemons[i]
	d.planner.configure(w.now, d.version, w.config(d.version), map[string]bool{"group-0": true, "group-1": true})
	d.cleared = append(d.cleared, d.planner.plan(w.now, w.serving)...)
	for _, t := range d.planner.polls(w.now) {
		if lost {
			d.planner.read(w.now, t, nil, context.DeadlineExceeded)
			continue
		}
		d.planner.read(w.now, t, w.engines[t.name].read(), nil)
	}
}

func (w *world) serving(name, model string) bool {
	e := w.engines[name]
	return !e.state.Loading && e.state.Weights[model] == fmt.Sprint("v", w.version)
}

func (w *world) claim(d *daemon, fault int) {
	r := d.table.Due(w.now)
	if r == nil {
		return
	}
	if fault < 3 {
		w.log.Inject([]memlog.Fault{memlog.Refused, memlog.LostBefore, memlog.LostAfter}[fault])
	}
	data, err := logrecord.Encode(leaseVersion, r)
	if err == nil {
		_, err = w.log.Append(context.Background(), backing.StreamLeases, data)
	}
	d.table.Appended(r, errors.Is(err, backing.ErrUnavailable))
}

func (w *world) read(d *daemon) {
	d.table.Lapse(w.now)
	records, err := w.log.Read(context.Background(), backing.StreamLeases, d.table.Next(), 100, 0)
	if errors.Is(err, backing.ErrTrimmed) {
		first, _, _ := w.log.Bounds(context.Background(), backing.StreamLeases)
		d.table.Start(first)
		return
	}
	if err := d.table.Read(w.now, records); err != nil {
		w.fail("read: %v", err)
	}
}

// send sends the oldest cleared order; what it meets depends on choice.
func (w *world) send(d *daemon, choice int) {
	if len(d.cleared) == 0 {
		return
	}
	c := d.cleared[0]
	d.cleared = d.cleared[1:]
	if !c.valid(w.now) && !w.ignoreLapse {
		d.planner.ordered(w.now, c.target, nil, errLapsed)
		return
	}
	w.sent++
	w.checkHolders(d, c)
	e := w.engines[c.target.name]
	a := arrival{order: c.order, tenure: w.tenure(d, c.tokens[0]), at: w.now.Add(worldDelivery * time.Duration(choice%3) / 2)}
	e.tenure = max(e.tenure, a.tenure)
	switch {
	case choice < 3: // the reply is lost, the order arrives now or later
		e.arriving = append(e.arriving, a)
		d.planner.ordered(w.now, c.target, nil, context.DeadlineExceeded)
	case choice == 3:
		d.planner.ordered(w.now, c.target, nil, context.DeadlineExceeded)
	default:
		err := w.arrive(e, a)
		d.planner.ordered(w.now, c.target, e.read(), err)
	}
	w.pass(0)
}

// checkHolders fails when an order is sent while another daemon holds the
// lease of the group.
func (w *world) checkHolders(sender *daemon, c *dispatch) {
	name := sender.planner.groupLease(c.target.group)
	for _, other := range w.daemons {
		if _, held := other.table.Held(w.now, name); held && other != sender {
			w.fail("an order was sent to %s while another daemon held %s", c.target.name, name)
		}
	}
}

// tenure numbers the tenures in the order of their first order.
func (w *world) tenure(d *daemon, t lease.Token) uint64 {
	if n, ok := d.tenures[t.Since]; ok {
		return n
	}
	w.tenures++
	d.tenures[t.Since] = w.tenures
	return w.tenures
}

// arrive is an engine taking an order, checked against newer holders' orders.
func (w *world) arrive(e *engine, a arrival) error {
	if e.checks && a.order.Fencing < e.state.Fencing {
		return &upstream.StatusError{Status: http.StatusConflict, Message: "stale fencing"}
	}
	if a.tenure < e.tenure {
		w.fail("an order of an earlier holder was taken after a newer one's")
	}
	e.state.Fencing = max(e.state.Fencing, a.order.Fencing)
	switch a.order.Action {
	case actionRole:
		e.state.Role = a.order.Role
	case actionAdapter:
		e.state.Adapters = append(e.state.Adapters, a.order.Adapter)
	case actionLoad:
		if e.state.Loading {
			return &upstream.StatusError{Status: http.StatusServiceUnavailable, Message: "loading already"}
		}
		e.state.Loading, e.next, e.loadsTo = true, a.order, w.now.Add(worldLoadTime)
	}
	return nil
}

func (e *engine) read() *upstream.State {
	s := e.state
	s.Weights = map[string]string{"m": s.Weights["m"]}
	s.Adapters = slices.Clone(s.Adapters)
	return &s
}

// pass moves the clock; orders arrive and loads end on the way.
func (w *world) pass(step time.Duration) {
	const grain = 100 * time.Millisecond
	end := w.now.Add(step)
	for {
		loading := 0
		for _, e := range w.engines {
			if e.state.Loading && !w.now.Before(e.loadsTo) {
				e.state.Loading, e.state.Weights["m"] = false, e.next.Weights
			}
			for len(e.arriving) > 0 && !w.now.Before(e.arriving[0].at) {
				a := e.arriving[0]
				e.arriving = e.arriving[1:]
				_ = w.arrive(e, a)
			}
			if e.state.Loading {
				loading++
			}
		}
		if loading > worldLoads {
			w.fail("%d engines load at once", loading)
		}
		if !w.now.Before(end) {
			return
		}
		w.now = w.now.Add(min(grain, end.Sub(w.now)))
	}
}

// converge ends all faults and lets the daemons work until every engine is in
// the state that the configuration names.
func (w *world) converge() {
	w.log.SetDown(false)
	for range 600 {
		done := true
		for i, d := range w.daemons {
			d.version = w.version
			w.plan(i, false)
			w.claim(d, 11)
			for len(d.cleared) > 0 {
				w.send(d, 11)
			}
		}
		for _, d := range w.daemons {
			w.read(d)
		}
		for _, e := range w.engines {
			done = done && !e.state.Loading && e.state.Weights["m"] == fmt.Sprint("v", w.version) && e.state.Role == "mixed" && len(e.arriving) == 0
		}
		if done || w.problem != "" {
			return
		}
		w.pass(300 * time.Millisecond)
	}
	w.fail("the engines did not converge")
}

func (w *world) fail(format string, args ...any) {
	if w.problem == "" {
		w.problem = fmt.Sprintf(format, args...)
	}
}
