// Package upstream is a stand-in of a plain service or an engine. It writes its
// answers byte by byte, so that it can misbehave, and records each request.
package upstream

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"currantpulley/bench/soak/check"
	"currantpulley/bench/soak/plan"
	"currantpulley/bench/soak/record"
	"currantpulley/bench/soak/site"
	"currantpulley/internal/hangup"
	"currantpulley/platform/standin/names"
)

// Options configure an upstream.
type Options struct {
	Plan       *plan.Plan
	Number     int
	Generation int    // number of starts before this one
	Listen     string // address at which it listens
	Announce   string // address in its entry: that of its proxy
	Records    *record.Log
	Log        zerolog.Logger
}

// Upstream is a running stand-in.
type Upstream struct {
	opts    Options
	id      string
	service string
	slots   int
	born    time.Time

	listener net.Listener
	crashing atomic.Bool // the process is about to end, and its port is closed

	mu      sync.Mutex
	leaving bool // it says so
	running int
	seals   int

	rejections []time.Time // for want of room, of the last second
	random     *rand.Rand
}

// Run serves until ctx ends.
func Run(ctx context.Context, o Options) error {
	u := &Upstream{
		opts: o, id: InstanceID(o.Number, o.Generation), service: site.ServiceOf(o.Number), slots: site.PlainSlots, born: time.Now(),
		random: rand.New(rand.NewPCG(o.Plan.Seed, uint64(100+o.Number+1000*o.Generation))), //nolint:gosec // random faults need no secure source
	}
	if u.service == site.Engine {
		u.slots = site.EngineSlots
	}
	l, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return err
	}
	u.listener = l
	served := make(chan struct{})
	go func() {
		u.heartbeat(ctx)
		u.leave()
		close(served)
		_ = l.Close()
	}()
	for {
		c, err := l.Accept()
		select {
		case <-served:
			return nil
		default:
		}
		if err != nil && u.crashing.Load() {
			select {} // until the process ends
		}
		if err != nil {
			return err
		}
		go u.serve(c)
	}
}

// InstanceID returns the id of an upstream's start.
func InstanceID(number, generation int) string { return fmt.Sprintf("i-%d-%d", number, generation) }

// heartbeat writes the upstream's entry again and again.
func (u *Upstream) heartbeat(ctx context.Context) {
	w := names.NewStoreWriter(u.opts.Plan.Store)
	for n := 1; ctx.Err() == nil; n++ {
		ids := []string{u.id}
		if u.draws(plan.TwinEntry) {
			ids = append(ids, u.id+twinSuffix)
		}
		for _, id := range ids {
			if err := w.PutEntry(ctx, id, u.entry(names.StateReady, n)); err != nil {
				u.opts.Log.Debug().Err(err).Msg("entry not written")
			}
		}
		select {
		case <-time.After(site.Heartbeat):
		case <-ctx.Done():
		}
	}
}

// twinSuffix follows the upstream's id in that of a second entry with its address.
const twinSuffix = "-twin"

// entry returns the upstream's registration.
func (u *Upstream) entry(state string, sequence int) names.Entry {
	e := names.Entry{
		Service: u.service, Address: u.opts.Announce, Zone: "a", Software: site.SoftwareOf(u.opts.Number), Slots: u.slots,
		State: state, Born: u.born.UnixMilli(), Sequence: sequence,
	}
	if u.service == site.Engine {
		e.Models = []names.EngineModel{{Name: site.Model, Version: site.Weights}}
	}
	return e
}

// leave says in all answers that the upstream leaves, announces it some time later, or
// not at all, and returns when the upstream may end.
func (u *Upstream) leave() {
	u.mu.Lock()
	u.leaving = true
	u.mu.Unlock()
	if u.chance(0.5) {
		time.Sleep(site.LeaveTime)
		return
	}
	time.Sleep(u.between(0, site.LeaveTime-site.Drain))
	w := names.NewStoreWriter(u.opts.Plan.Store)
	ctx, cancel := context.WithTimeout(context.Background(), site.Drain)
	defer cancel()
	for w.PutEntry(ctx, u.id, u.entry(names.StateDraining, 0)) != nil && ctx.Err() == nil {
		time.Sleep(leavePause)
	}
	time.Sleep(site.Drain + leavePause)
}

// leavePause is the pause between two calls to the store of an upstream that leaves.
const leavePause = 100 * time.Millisecond

// connection is a connection of a daemon.
type connection struct {
	net.Conn
	refused string // id of the last request that was refused on it; "": none was
}

// serve serves the requests of one connection.
func (u *Upstream) serve(conn net.Conn) {
	c := &connection{Conn: conn}
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for number := 1; ; number++ {
		if number > 1 && !u.awaitNext(c, in) {
			return
		}
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if !u.respond(c, r, string(body)) {
			return
		}
	}
}

// awaitNext waits for the next request on a kept connection. It returns false if the
// connection is to be closed instead.
func (u *Upstream) awaitNext(c *connection, in *bufio.Reader) bool {
	if u.draws(plan.CloseIdle) {
		_ = c.SetReadDeadline(time.Now().Add(u.between(0, 60*time.Millisecond)))
		if _, err := in.Peek(1); err != nil {
			return false
		}
		_ = c.SetReadDeadline(time.Time{})
	}
	_, err := in.Peek(1)
	return err == nil && !u.draws(plan.CloseAtReuse)
}

// respond answers one request and reports whether the connection can be kept.
func (u *Upstream) respond(c *connection, r *http.Request, body string) bool {
	if r.Header.Get(names.AttemptID) == "" {
		return u.respondToControl(c, r)
	}
	a := record.Arrival{
		Attempt: r.Header.Get(names.AttemptID), Service: u.service, Upstream: u.id, Software: site.SoftwareOf(u.opts.Number),
		At: time.Now(), Method: r.Method, Digest: digest(r, body), Address: u.opts.Listen, Leaving: u.isLeaving(),
	}
	expected := r.Header.Get(names.ExpectInstance)
	version := r.Header.Get(names.ExpectVersion)
	if expected != "" && expected != u.id || version != "" && version != strconv.Itoa(site.Weights) {
		return u.refuse(c, r, a, http.StatusMisdirectedRequest)
	}
	a.Limit = u.statedLimit()
	if u.plants(check.RuleRefused, r) {
		a.Ran = true
		return u.refuse(c, r, a, http.StatusServiceUnavailable)
	}
	if u.draws(plan.Refusing) || u.plants(check.RuleRecover, r) {
		return u.refuse(c, r, a, http.StatusServiceUnavailable)
	}
	if pause := u.wantedPause(); pause > 0 {
		a.Pause = pause
		return u.refuse(c, r, a, http.StatusServiceUnavailable)
	}
	if !u.take() {
		u.rejectForRoom(a)
		return u.refuse(c, r, a, http.StatusServiceUnavailable)
	}
	defer u.release()
	a.Ran = true
	if u.plants(check.RuleUnasked, r) {
		a.Digest = digest(r, body+"changed")
	}
	return u.run(c, r, a)
}

// digest returns the digest of a request.
func digest(r *http.Request, body string) string {
	h := r.Header
	return record.Digest(r.Method, r.RequestURI, body, h.Get(names.Model), h.Get(names.TokenUsage), h.Get(names.PromptParts))
}

// refuse answers that the request did not run.
func (u *Upstream) refuse(c *connection, r *http.Request, a record.Arrival, status int) bool {
	a.Status = status
	c.refused = a.Attempt
	u.record(a)
	return u.write(c, r, response{status: status, attempt: a.Attempt, notRun: true, pause: a.Pause}) == nil
}

// respondToControl answers a health check or a call to an engine itself.
func (u *Upstream) respondToControl(c *connection, r *http.Request) bool {
	switch r.URL.Path {
	case names.PathHealth:
		return u.write(c, r, response{status: http.StatusOK}) == nil
	case names.PathReport:
		u.mu.Lock()
		report := names.Report{Models: []names.EngineModel{{Name: site.Model, Version: site.Weights}}, Running: u.running}
		u.mu.Unlock()
		data, err := json.Marshal(report)
		return err == nil && u.write(c, r, response{status: http.StatusOK, contentType: "application/json", body: string(data)}) == nil
	case names.PathOrder:
		return u.write(c, r, response{status: http.StatusOK}) == nil
	}
	return u.write(c, r, response{status: http.StatusBadRequest, notRun: true}) == nil
}

// Times of work.
const (
	minWork     = 5 * time.Millisecond
	maxWork     = 40 * time.Millisecond
	minHeldWork = 500 * time.Millisecond
	maxHeldWork = 2 * time.Second
)

// run runs a request that has a slot and answers it, with a trouble if one is drawn.
func (u *Upstream) run(c *connection, r *http.Request, a record.Arrival) bool {
	if u.noteCrash(r, &a) {
		u.record(a)
		u.crash(c, a)
	}
	a.Trouble = u.drawTrouble()
	a.Seal = u.nextSeal()
	a.Status = statusOf(a.Trouble)
	u.record(a)
	u.recordPlanted(a, r)
	if a.Trouble == plan.SlotsHeld {
		u.holdSlot(c, a)
	}
	time.Sleep(u.between(minWork, maxWork))
	if u.service == site.Engine {
		return u.answerStream(c, r, a)
	}
	return u.answerPlain(c, r, a)
}

// holdSlot works on a request for a long time, or until its connection is closed.
func (u *Upstream) holdSlot(c *connection, a record.Arrival) {
	w := record.Work{Attempt: a.Attempt, Upstream: u.id, Until: time.Now().Add(u.between(minHeldWork, maxHeldWork))}
	_ = c.SetReadDeadline(w.Until)
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = hangup.Await(tcp) // fails at the deadline
	}
	_ = c.SetReadDeadline(time.Time{})
	w.Ended = time.Now()
	u.writeRecord(record.Line{Work: &w})
}

func (u *Upstream) record(a record.Arrival) { u.writeRecord(record.Line{Arrival: &a}) }

// writeRecord writes one line of records.
func (u *Upstream) writeRecord(l record.Line) {
	if err := u.opts.Records.Write(l); err != nil {
		u.opts.Log.Error().Err(err).Msg("not recorded")
	}
}

// take takes a slot if one is free.
func (u *Upstream) take() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.running >= u.slots {
		return false
	}
	u.running++
	return true
}

func (u *Upstream) release() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running--
}

func (u *Upstream) nextSeal() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.seals++
	return fmt.Sprintf("%s.%d", u.id, u.seals)
}

// between draws a duration.
func (u *Upstream) between(from, to time.Duration) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return from + time.Duration(u.random.Int64N(int64(to-from)))
}

// draws reports whether a fault of a kind is in force and affects this request.
func (u *Upstream) draws(kind string) bool {
	for _, f := range u.opts.Plan.Active(time.Now(), u.opts.Number, func(k string) bool { return k == kind }) {
		if u.chance(f.Share) {
			return true
		}
	}
	return false
}

// drawTrouble draws the trouble of an answer, "" for none.
func (u *Upstream) drawTrouble() string {
	for _, f := range u.opts.Plan.Active(time.Now(), u.opts.Number, isTroubleOfAnswer) {
		if u.chance(f.Share) {
			return f.Kind
		}
	}
	return ""
}

// isTroubleOfAnswer reports whether a fault of a kind shows in the answer to a
// request that ran.
func isTroubleOfAnswer(kind string) bool {
	return plan.IsUpstream(kind) && kind != plan.Refusing && kind != plan.CloseAtReuse && kind != plan.CloseIdle && kind != plan.TwinEntry
}

// below draws a number from 0 to n-1.
func (u *Upstream) below(n int) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.random.IntN(n)
}

func (u *Upstream) chance(p float64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.random.Float64() < p
}
