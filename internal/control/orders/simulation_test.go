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
	simDaemons   = 3
	simEngines   = 4
	simLoads     = 2
	simLease     = 10 * time.Second
	simDelivery  = 2 * time.Second
	simLoadTime  = time.Second
	leaseVersion = 1 // record version of package lease
)

// engine simulates an engine, with or without a check of fencing tokens.
type engine struct {
	checks       bool
	state        upstream.State
	loadingUntil time.Time
	next         upstream.Order // order whose weights are being loaded
	tenure       uint64         // latest tenure in which an order was sent
	arriving     []arrival
}

// arrival is an order on its way to an engine.
type arrival struct {
	order  upstream.Order
	at     time.Time
	tenure uint64
}

// daemon simulates a daemon: its leases, its planner and the planned orders that
// it has not sent yet. It numbers its tenures as a lease holder by their start.
type daemon struct {
	table   *lease.Table
	planner *planner
	ready   []*dispatch
	version uint64
	tenures map[time.Time]uint64
}

// simulation is a deterministic simulation of daemons, the log and engines.
type simulation struct {
	ignoreExpiry bool // planted bug: the lease is not checked before an order is sent
	now          time.Time
	log          *memlog.Log
	daemons      [simDaemons]*daemon
	engines      map[string]*engine
	version      uint64
	tenures      uint64
	sent         int
	violation    string
}

func newSimulation() *simulation {
	s := &simulation{now: time.UnixMilli(1_700_000_000_000), engines: make(map[string]*engine), version: 1}
	s.log = memlog.New(func() time.Time { return s.now })
	for i := range simEngines {
		s.engines[engineName(i)] = &engine{checks: i%2 == 0, state: upstream.State{Weights: map[string]string{}}}
	}
	for i := range s.daemons {
		s.start(i)
	}
	return s
}

func engineName(i int) string { return fmt.Sprintf("engine-%d", i) }

// start starts or restarts daemon i.
func (s *simulation) start(i int) {
	d := &daemon{table: lease.NewTable(fmt.Sprint(i)), version: s.version, tenures: make(map[time.Time]uint64)}
	first, _, _ := s.log.Bounds(context.Background(), backing.StreamLeases)
	d.table.Start(max(first, 1))
	d.planner = newPlanner(d.table, func(Status) {})
	s.daemons[i] = d
}

// config returns the configuration with the given version.
func (s *simulation) config(version uint64) *config.Config {
	c := &config.Config{Site: "s", Upstreams: make(map[string]*config.Upstream)}
	c.Models = map[string]*config.Model{"m": {Name: "m", Weights: fmt.Sprint("v", version), Adapters: []string{"a"}}}
	c.Orders = config.Orders{ConcurrentLoads: simLoads, KeepShare: 0.5, Lease: config.Duration(simLease), Delivery: config.Duration(simDelivery)}
	for i := range simEngines {
		u := &config.Upstream{Name: engineName(i), Kind: config.KindEngine, Address: engineName(i), Models: []string{"m"}, Role: "mixed"}
		u.ChecksFencing, u.Group = s.engines[u.Name].checks, fmt.Sprint("group-", i/2)
		c.Upstreams[u.Name] = u
	}
	return c
}

// step executes one operation of a history.
func (s *simulation) step(op uint32) {
	const kinds = 32
	arg := int(op / kinds)
	d := s.daemons[arg%simDaemons]
	fault := arg / simDaemons % 12
	switch kind := op % kinds; {
	case kind < 8:
		s.plan(arg%simDaemons, fault == 0)
	case kind < 14:
		s.claim(d, fault)
	case kind < 20:
		s.read(d)
	case kind < 26:
		s.send(d, fault)
	case kind < 29:
		steps := []time.Duration{10 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second, simLease}
		s.advance(steps[arg%len(steps)])
	default:
		s.injectFault(arg%simDaemons, fault)
	}
}

func (s *simulation) injectFault(i, kind int) {
	switch kind {
	case 0:
		s.start(i)
	case 1:
		s.version++
	case 2, 3:
		s.daemons[i].version = s.version
	case 4:
		s.log.SetDown(true)
	case 5, 6, 7:
		s.log.SetDown(false)
	case 8:
		e := s.engines[engineName(i)]
		e.state, e.loadingUntil = upstream.State{Weights: map[string]string{}}, time.Time{}
	case 9:
		s.trim()
	}
}

// trim deletes the records that are older than any lease can last.
func (s *simulation) trim() {
	first, _, err := s.log.Bounds(context.Background(), backing.StreamLeases)
	if err != nil {
		return
	}
	records, _ := s.log.Read(context.Background(), backing.StreamLeases, first, 1000, 0)
	for _, r := range records {
		if s.now.Sub(r.At) > 2*simLease {
			s.log.Trim(backing.StreamLeases, r.Offset+1)
		}
	}
}

// plan lets a daemon plan for all groups, as if every daemon regarded itself as
// the owner, and poll the engines. With lost set, the answers are lost.
func (s *simulation) plan(i int, lost bool) {
	d := s.daemons[i]
	d.planner.configure(s.now, d.version, s.config(d.version), map[string]bool{"group-0": true, "group-1": true})
	d.ready = append(d.ready, d.planner.plan(s.now, s.serving)...)
	for _, t := range d.planner.duePolls(s.now) {
		if lost {
			d.planner.recordState(s.now, t, nil, context.DeadlineExceeded)
			continue
		}
		d.planner.recordState(s.now, t, s.engines[t.name].read(), nil)
	}
}

// serving is the servingFunc of all daemons.
func (s *simulation) serving(name, model string) bool {
	e := s.engines[name]
	return !e.state.Loading && e.state.Weights[model] == fmt.Sprint("v", s.version)
}

// claim appends the lease record that a daemon has to write, if any.
func (s *simulation) claim(d *daemon, fault int) {
	r := d.table.NextRecord(s.now)
	if r == nil {
		return
	}
	if fault < 3 {
		s.log.Inject([]memlog.Fault{memlog.Refused, memlog.LostBefore, memlog.LostAfter}[fault])
	}
	data, err := logrecord.Encode(leaseVersion, r)
	if err == nil {
		_, err = s.log.Append(context.Background(), backing.StreamLeases, data)
	}
	d.table.AppendDone(r, errors.Is(err, backing.ErrUnavailable))
}

// read lets a daemon read new lease records.
func (s *simulation) read(d *daemon) {
	d.table.Expire(s.now)
	records, err := s.log.Read(context.Background(), backing.StreamLeases, d.table.Next(), 100, 0)
	if errors.Is(err, backing.ErrTrimmed) {
		first, _, _ := s.log.Bounds(context.Background(), backing.StreamLeases)
		d.table.Start(first)
		return
	}
	if err := d.table.Read(s.now, records); err != nil {
		s.fail("read: %v", err)
	}
}

// send sends the oldest planned order. The choice selects a fault, or none.
func (s *simulation) send(d *daemon, choice int) {
	if len(d.ready) == 0 {
		return
	}
	c := d.ready[0]
	d.ready = d.ready[1:]
	if !c.valid(s.now) && !s.ignoreExpiry {
		d.planner.recordOrder(s.now, c.target, nil, errLeaseExpired)
		return
	}
	s.sent++
	s.checkHolders(d, c)
	e := s.engines[c.target.name]
	a := arrival{order: c.order, tenure: s.tenure(d, c.tokens[0]), at: s.now.Add(simDelivery * time.Duration(choice%3) / 2)}
	e.tenure = max(e.tenure, a.tenure)
	switch {
	case choice < 3: // the reply is lost; the order arrives now or later
		e.arriving = append(e.arriving, a)
		d.planner.recordOrder(s.now, c.target, nil, context.DeadlineExceeded)
	case choice == 3: // the order is lost
		d.planner.recordOrder(s.now, c.target, nil, context.DeadlineExceeded)
	default:
		err := s.arrive(e, a)
		d.planner.recordOrder(s.now, c.target, e.read(), err)
	}
	s.advance(0)
}

// checkHolders records a violation if an order is sent while another daemon holds
// the lease of the group.
func (s *simulation) checkHolders(sender *daemon, c *dispatch) {
	name := sender.planner.groupLease(c.target.group)
	for _, other := range s.daemons {
		if _, held := other.table.Held(s.now, name); held && other != sender {
			s.fail("an order was sent to %s while another daemon held %s", c.target.name, name)
		}
	}
}

// tenure returns the number of a daemon's tenure as lease holder. Tenures are
// numbered in the sequence of their first orders.
func (s *simulation) tenure(d *daemon, t lease.Token) uint64 {
	if n, ok := d.tenures[t.Since]; ok {
		return n
	}
	s.tenures++
	d.tenures[t.Since] = s.tenures
	return s.tenures
}

// arrive delivers an order to an engine. Accepting it after an order of a later
// holder is a violation.
func (s *simulation) arrive(e *engine, a arrival) error {
	if e.checks && a.order.Fencing < e.state.Fencing {
		return &upstream.StatusError{Status: http.StatusConflict, Message: "stale fencing"}
	}
	if a.tenure < e.tenure {
		s.fail("an order of an earlier holder was accepted after one of a later holder")
	}
	e.state.Fencing = max(e.state.Fencing, a.order.Fencing)
	switch a.order.Action {
	case actionRole:
		e.state.Role = a.order.Role
	case actionAdapter:
		e.state.Adapters = append(e.state.Adapters, a.order.Adapter)
	case actionLoad:
		if e.state.Loading {
			return &upstream.StatusError{Status: http.StatusServiceUnavailable, Message: "already loading"}
		}
		e.state.Loading, e.next, e.loadingUntil = true, a.order, s.now.Add(simLoadTime)
	}
	return nil
}

func (e *engine) read() *upstream.State {
	s := e.state
	s.Weights = map[string]string{"m": s.Weights["m"]}
	s.Adapters = slices.Clone(s.Adapters)
	return &s
}

// advance moves the clock forward. Orders arrive and loads finish meanwhile.
func (s *simulation) advance(step time.Duration) {
	const grain = 100 * time.Millisecond
	end := s.now.Add(step)
	for {
		loading := 0
		for _, e := range s.engines {
			if e.state.Loading && !s.now.Before(e.loadingUntil) {
				e.state.Loading, e.state.Weights["m"] = false, e.next.Weights
			}
			for len(e.arriving) > 0 && !s.now.Before(e.arriving[0].at) {
				a := e.arriving[0]
				e.arriving = e.arriving[1:]
				_ = s.arrive(e, a)
			}
			if e.state.Loading {
				loading++
			}
		}
		if loading > simLoads {
			s.fail("%d engines load concurrently", loading)
		}
		if !s.now.Before(end) {
			return
		}
		s.now = s.now.Add(min(grain, end.Sub(s.now)))
	}
}

// converge ends all faults and runs the daemons until every engine is in the
// state that the configuration specifies.
func (s *simulation) converge() {
	s.log.SetDown(false)
	for range 600 {
		done := true
		for i, d := range s.daemons {
			d.version = s.version
			s.plan(i, false)
			s.claim(d, 11)
			for len(d.ready) > 0 {
				s.send(d, 11)
			}
		}
		for _, d := range s.daemons {
			s.read(d)
		}
		for _, e := range s.engines {
			done = done && !e.state.Loading && e.state.Weights["m"] == fmt.Sprint("v", s.version) && e.state.Role == "mixed" && len(e.arriving) == 0
		}
		if done || s.violation != "" {
			return
		}
		s.advance(300 * time.Millisecond)
	}
	s.fail("the engines did not converge")
}

// fail records a violation; only the first is kept.
func (s *simulation) fail(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf(format, args...)
	}
}
