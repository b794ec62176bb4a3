package calls

import (
	"context"
	"errors"
	"fmt"
	"time"

	"currantpulley/internal/backing"
	"currantpulley/internal/control/calls/callspb"
	"currantpulley/internal/event"
	"currantpulley/internal/fake/memlog"
	"currantpulley/internal/refusal"
)

const (
	worldNodes   = 3
	worldKeys    = 2
	worldHorizon = 10 * time.Minute
	worldStream  = backing.StreamCalls + "0"
)

// pauses are the steps of the world's clock.
var pauses = []time.Duration{
	time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond, 20 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond,
	time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond, 20 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond,
	hungAfter, 3 * time.Second, 20 * time.Second, worldHorizon / 2, 2 * worldHorizon,
}

// bug is a fault planted into the world to see that the checker finds it.
type bug uint8

const (
	noBug           bug = iota
	winUnread           // an intent wins when its append ends, not when it is read back
	resendAfterRest     // a call whose connection broke is sent again
	voidSent            // a call whose connection broke is voided
	claimNotRun         // not-run is claimed whenever the log is down
)

// run is one call that reached the ledger.
type run struct {
	at      time.Time
	request int
	body    string
}

// node is one daemon: the stream that it reads and the flights that the log
// has not answered yet.
type node struct {
	stream  *stream
	calls   *Calls
	flights []ended
}

type ended struct {
	flight *flight
	err    error
}

// request is a caller's try to make a call.
type request struct {
	id, node  int
	key, body string
	arrived   time.Time
	attempt   *attempt
	reply     *callspb.SubmitReply
	waiting   bool
	tries     int // replies of older tries are dropped
	call      *Call
	sent      bool
	done      bool
}

// world is a deterministic simulation of daemons, log, callers and ledger.
type world struct {
	bug      bug
	now      time.Time
	log      *memlog.Log
	late     [][]byte
	nodes    [worldNodes]*node
	requests []*request
	active   []*request
	ledger   map[string][]run
	problem  string
	tally    tally
}

// tally counts what histories reached, so that a test can tell that they
// reached anything.
type tally struct{ runs, replays, notRun, unknown int }

func newWorld(b bug) *world {
	w := &world{bug: b, now: time.UnixMilli(1_700_000_000_000), ledger: make(map[string][]run)}
	w.log = memlog.New(func() time.Time { return w.now })
	for i := range w.nodes {
		w.start(i)
	}
	return w
}

func (w *world) start(i int) {
	w.nodes[i] = &node{
		stream: newStream(0, 1, w.now),
		calls:  &Calls{Options: Options{Recorder: event.Discard{}}, unsaved: make(chan *unrecorded, unrecordedMax)},
	}
}

// step carries out one operation of a history.
func (w *world) step(op uint32) {
	const kinds = 32
	arg := int(op / kinds)
	switch kind := op % kinds; {
	case kind < 2:
		w.arrive(arg%worldNodes, arg/worldNodes%worldKeys, arg/worldNodes/worldKeys%8 == 0)
	case kind < 14:
		if len(w.active) > 0 {
			w.advance(w.active[arg%len(w.active)], arg/len(w.active)%24)
		}
	case kind < 21:
		w.read(arg % worldNodes)
	case kind < 27:
		w.drive(arg%worldNodes, arg/worldNodes%16)
	case kind < 29:
		w.now = w.now.Add(pauses[arg%len(pauses)])
	case kind < 31:
		w.background(arg%worldNodes, arg/worldNodes%8)
	default:
		w.disturb(arg%8, arg/8)
	}
}

func (w *world) arrive(at, key int, other bool) {
	body := "body"
	if other {
		body = "other"
	}
	r := &request{id: len(w.requests), node: at, key: fmt.Sprintf("key-%d", key), body: body, arrived: w.now}
	c := w.nodes[at].calls
	r.attempt = &attempt{
		entry:      c.intent(digest("w", r.key), bodyHash([]byte(body)), worldHorizon),
		candidates: []string{"0", "1", "2"}, waitUntil: w.now.Add(5 * time.Second),
	}
	r.call = &Call{calls: c, startedAt: w.now, window: sendWindow(worldHorizon)}
	w.requests, w.active = append(w.requests, r), append(w.active, r)
}

// advance moves one request on: its attempt, or its call once it may be sent.
func (w *world) advance(r *request, choice int) {
	switch {
	case r.call.entry != nil:
		w.send(r, choice)
	case r.waiting:
		w.answer(r, choice)
	default:
		w.ask(r, choice)
	}
}

// ask carries out the attempt's next step; choice 0 loses it on the way.
func (w *world) ask(r *request, choice int) {
	kind, _ := r.attempt.step(w.now)
	if kind == stepEnd {
		w.conclude(r)
		return
	}
	r.waiting, r.reply = true, nil
	r.tries++
	if choice == 0 {
		return
	}
	try := r.tries
	reply := func(s *callspb.SubmitReply) {
		if r.tries == try {
			r.reply = s
		}
	}
	a, s := r.attempt, w.nodes[r.attempt.at].stream
	if kind == stepSubmit {
		s.submit(w.now, &submission{entry: a.entry, maybeAppended: a.ambiguous, reply: reply})
		return
	}
	s.await(w.now, &awaiting{key: a.entry.Key, nonce: a.entry.Nonce, bodyHash: a.entry.BodyHash, until: a.waitUntil, reply: reply})
}

// answer brings a reply back; choices 0 and 1 lose it or end the wait for it.
func (w *world) answer(r *request, choice int) {
	reply := r.reply
	if reply == nil && choice > 1 {
		return
	}
	if choice == 0 {
		reply = nil
	}
	kind, _ := r.attempt.step(r.attempt.askedAt)
	r.waiting = false
	r.tries++
	if kind == stepSubmit {
		r.attempt.submitted(w.now, reply)
		return
	}
	r.attempt.awaited(w.now, reply)
}

func (w *world) conclude(r *request) {
	call, outcome, err := w.nodes[r.node].calls.conclude(r.call, r.attempt)
	switch {
	case err != nil:
		w.refuse(r, refusal.From(err))
	case outcome != nil:
		w.tally.replays++
		if outcome.Result == callspb.Result_RESULT_ANSWERED && string(outcome.Body) != r.body {
			w.fail("request %d got the outcome of another body", r.id)
		}
		w.finish(r)
	default:
		r.call = call
	}
}

// send moves a call that won: it is held up, given up, sent, answered or its
// connection breaks.
func (w *world) send(r *request, choice int) {
	if !r.sent {
		if choice == 0 {
			r.call.Void()
			w.refuse(r, refusal.New(refusal.Overloaded, "given up"))
			return
		}
		if err := r.call.clear(context.Background(), w.now, false); err != nil {
			r.call.Void()
			w.refuse(r, refusal.From(err))
			return
		}
		w.reach(r)
		return
	}
	if choice > 4 {
		r.call.Finish(&Outcome{Result: callspb.Result_RESULT_ANSWERED, Status: 200, Body: []byte(r.body)})
		w.finish(r)
		return
	}
	w.reset(r)
}

// reach records a run at the ledger and checks it against the earlier ones.
func (w *world) reach(r *request) {
	r.sent = true
	w.tally.runs++
	for _, earlier := range w.ledger[r.key] {
		if w.now.Sub(earlier.at) < worldHorizon {
			w.fail("%s ran twice within the horizon: requests %d and %d", r.key, earlier.request, r.id)
		}
	}
	w.ledger[r.key] = append(w.ledger[r.key], run{at: w.now, request: r.id, body: r.body})
}

func (w *world) reset(r *request) {
	switch {
	case w.bug == resendAfterRest:
		w.reach(r)
	case w.bug == voidSent:
		r.call.Void()
	case r.call.clear(context.Background(), w.now, true) == nil:
		w.reach(r)
	}
	r.call.Finish(&Outcome{Result: callspb.Result_RESULT_UNKNOWN})
	w.refuse(r, refusal.NewUnknown(refusal.UpstreamFailed, nil, "reset"))
}

// refuse checks what a refusal claims: the request did not run, and neither
// did any earlier one with the same key and body that arrived before it.
func (w *world) refuse(r *request, e *refusal.Error) {
	if w.bug == claimNotRun && e.Code == refusal.LogUnavailable {
		e = refusal.New(e.Code, "planted")
	}
	w.finish(r)
	if e.Effect == refusal.Unknown {
		w.tally.unknown++
		return
	}
	w.tally.notRun++
	for _, past := range w.ledger[r.key] {
		repeated := past.body == r.body && !past.at.After(r.arrived) && w.now.Sub(past.at) < worldHorizon
		if past.request == r.id || repeated {
			w.fail("request %d was refused as not run (%s), but request %d ran", r.id, e.Code, past.request)
		}
	}
}

func (w *world) finish(r *request) {
	r.done = true
	kept := w.active[:0]
	for _, other := range w.active {
		if !other.done {
			kept = append(kept, other)
		}
	}
	w.active = kept
}

func (w *world) fail(format string, args ...any) {
	if w.problem == "" {
		w.problem = fmt.Sprintf(format, args...)
	}
}

// read lets a node read the stream, as follow does.
func (w *world) read(i int) {
	s := w.nodes[i].stream
	if s.broken != nil {
		w.fail("stream stopped: %v", s.broken)
		return
	}
	if s.machine == nil {
		l, err := load(context.Background(), w.log, worldStream, w.now, remembered(worldHorizon))
		if err != nil {
			s.readFailed(w.now)
			return
		}
		s.load(w.now, l)
		return
	}
	records, err := w.log.Read(context.Background(), worldStream, s.next, readLimit, 0)
	switch {
	case err == nil:
		_ = s.read(w.now, records, w.now)
	case errors.Is(err, backing.ErrTrimmed):
		s.unload(w.now)
	default:
		s.readFailed(w.now)
	}
}

// drive carries out what a node's stream wants done, with a fault of the log.
func (w *world) drive(i, fault int) {
	n := w.nodes[i]
	n.stream.tick(w.now)
	todo := n.stream.work(w.now)
	if todo.bounds {
		first, next, err := w.log.Bounds(context.Background(), worldStream)
		n.stream.bounds(w.now, first, next, err)
	}
	if todo.append == nil {
		return
	}
	data, err := encode(todo.append.batch)
	if err != nil {
		w.fail("encode: %v", err)
		return
	}
	switch fault {
	case 0:
		w.log.Inject(memlog.Refused)
	case 1:
		w.log.Inject(memlog.LostBefore)
		w.late = append(w.late, data) // it may still arrive
	case 2:
		w.log.Inject(memlog.LostAfter)
	}
	_, err = w.log.Append(context.Background(), worldStream, data)
	if w.bug == winUnread && err == nil {
		for _, sub := range todo.append.subs {
			sub.reply(&callspb.SubmitReply{Verdict: callspb.Verdict_VERDICT_FIRST})
		}
	}
	n.flights = append(n.flights, ended{todo.append, err})
	if fault != 3 {
		w.land(n)
	}
}

// land tells a node of its appends' ends.
func (w *world) land(n *node) {
	for _, f := range n.flights {
		n.stream.appended(w.now, f.flight, f.err)
	}
	n.flights = nil
}

// background submits a void or an outcome, lets an append land late or tells
// of an append's end.
func (w *world) background(i, choice int) {
	n := w.nodes[i]
	w.land(n)
	switch choice {
	case 0:
		n.stream.maintain(w.now, worldHorizon)
	case 1:
		if len(w.late) > 0 {
			_, _ = w.log.Append(context.Background(), worldStream, w.late[0])
			w.late = w.late[1:]
		}
	default:
		select {
		case u := <-n.calls.unsaved:
			w.nodes[choice%worldNodes].stream.submit(w.now, &submission{entry: u.entry, reply: func(r *callspb.SubmitReply) {
				if r.Verdict != callspb.Verdict_VERDICT_FIRST {
					n.calls.record(u)
				}
			}})
		default:
		}
	}
}

// disturb begins or ends an outage of the log, trims it, or stops a daemon
// without warning and starts another one in its place.
func (w *world) disturb(kind, arg int) {
	switch kind {
	case 0:
		w.log.SetDown(true)
	case 1, 2, 3:
		w.log.SetDown(false)
	case 4:
		if first, next, err := w.log.Bounds(context.Background(), worldStream); err == nil {
			w.log.Trim(worldStream, first+(next-first)/2)
		}
	case 5, 6:
		i := arg % worldNodes
		for _, r := range w.active {
			if r.node == i {
				r.done = true
			}
		}
		w.finish(&request{})
		w.start(i)
	}
}
