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
	simNodes   = 3
	simKeys    = 2
	simHorizon = 10 * time.Minute
	testStream = backing.StreamCalls + "0"
)

// clockSteps are the steps by which the simulated clock advances.
var clockSteps = []time.Duration{
	time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond, 20 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond,
	time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond, 20 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond,
	stallTimeout, 3 * time.Second, 20 * time.Second, simHorizon / 2, 2 * simHorizon,
}

// bug is a fault planted into the simulation, which the checker must find.
type bug uint8

const (
	noBug               bug = iota
	winBeforeReadBack       // an intent wins when its append ends, not when it is read back
	resendAfterReset        // a call is sent again after its connection broke
	voidAfterSend           // a call is voided after its connection broke
	claimNotRunWhenDown     // a refusal for lack of the log always claims that the call did not run
)

// execution is one run of a call at the simulated upstream.
type execution struct {
	at      time.Time
	request int
	body    string
}

// node is one daemon: its stream, and the results of appends that were not yet
// delivered to the stream.
type node struct {
	stream  *stream
	calls   *Calls
	results []appendResult
}

// appendResult is the result of an append.
type appendResult struct {
	op  *appendOp
	err error
}

// request is one request of a caller to make a call.
type request struct {
	id, node  int
	key, body string
	arrived   time.Time
	attempt   *attempt
	reply     *callspb.SubmitReply
	waiting   bool
	tries     int // number of the current step; replies to earlier ones are dropped
	call      *Call
	sent      bool
	done      bool
}

// simulation is a deterministic simulation of daemons, the log, callers and an
// upstream.
type simulation struct {
	bug        bug
	now        time.Time
	log        *memlog.Log
	delayed    [][]byte
	nodes      [simNodes]*node
	requests   []*request
	active     []*request
	executions map[string][]execution
	violation  string
	counts     outcomeCounts
}

// outcomeCounts counts the outcomes that histories reached. A test uses it to
// check that every kind of outcome was reached.
type outcomeCounts struct{ runs, replays, notRun, unknown int }

func newSimulation(b bug) *simulation {
	sim := &simulation{bug: b, now: time.UnixMilli(1_700_000_000_000), executions: make(map[string][]execution)}
	sim.log = memlog.New(func() time.Time { return sim.now })
	for i := range sim.nodes {
		sim.startNode(i)
	}
	return sim
}

func (sim *simulation) startNode(i int) {
	sim.nodes[i] = &node{
		stream: newStream(0, 1, sim.now),
		calls:  &Calls{Options: Options{Recorder: event.Discard{}}, background: make(chan *backgroundEntry, backgroundMax)},
	}
}

// step performs one operation of a history.
func (sim *simulation) step(op uint32) {
	const kinds = 32
	arg := int(op / kinds)
	switch kind := op % kinds; {
	case kind < 2:
		sim.addRequest(arg%simNodes, arg/simNodes%simKeys, arg/simNodes/simKeys%8 == 0)
	case kind < 14:
		if len(sim.active) > 0 {
			sim.advanceRequest(sim.active[arg%len(sim.active)], arg/len(sim.active)%24)
		}
	case kind < 21:
		sim.read(arg % simNodes)
	case kind < 27:
		sim.drive(arg%simNodes, arg/simNodes%16)
	case kind < 29:
		sim.now = sim.now.Add(clockSteps[arg%len(clockSteps)])
	case kind < 31:
		sim.stepBackground(arg%simNodes, arg/simNodes%8)
	default:
		sim.injectFault(arg%8, arg/8)
	}
}

func (sim *simulation) addRequest(at, key int, otherBody bool) {
	body := "body"
	if otherBody {
		body = "other"
	}
	r := &request{id: len(sim.requests), node: at, key: fmt.Sprintf("key-%d", key), body: body, arrived: sim.now}
	c := sim.nodes[at].calls
	r.attempt = &attempt{
		entry:      c.newIntent(keyDigest("w", r.key), bodyHash([]byte(body)), simHorizon),
		candidates: []string{"0", "1", "2"}, waitUntil: sim.now.Add(5 * time.Second),
	}
	r.call = &Call{calls: c, startedAt: sim.now, window: sendWindow(simHorizon)}
	sim.requests, sim.active = append(sim.requests, r), append(sim.active, r)
}

// advanceRequest advances a request by one step: its call if it may be sent,
// else its attempt.
func (sim *simulation) advanceRequest(r *request, choice int) {
	switch {
	case r.call.entry != nil:
		sim.advanceCall(r, choice)
	case r.waiting:
		sim.endStep(r, choice)
	default:
		sim.startStep(r, choice)
	}
}

// startStep sends the attempt's next step to its candidate. Choice 0 loses the
// message.
func (sim *simulation) startStep(r *request, choice int) {
	kind, _ := r.attempt.step(sim.now)
	if kind == stepEnd {
		sim.endAttempt(r)
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
	a, s := r.attempt, sim.nodes[r.attempt.candidateIndex].stream
	if kind == stepSubmit {
		s.submit(sim.now, &submission{entry: a.entry, maybeAppended: a.ambiguous, reply: reply})
		return
	}
	s.await(sim.now, &waiter{key: a.entry.Key, nonce: a.entry.Nonce, bodyHash: a.entry.BodyHash, until: a.waitUntil, reply: reply})
}

// endStep passes the reply to the attempt. Choice 0 loses the reply; choice 1
// passes it on, or stops the wait if none has arrived.
func (sim *simulation) endStep(r *request, choice int) {
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
		r.attempt.handleSubmitReply(sim.now, reply)
		return
	}
	r.attempt.handleAwaitReply(sim.now, reply)
}

func (sim *simulation) endAttempt(r *request) {
	call, outcome, err := sim.nodes[r.node].calls.beginResult(r.call, r.attempt)
	switch {
	case err != nil:
		sim.checkRefusal(r, refusal.From(err))
	case outcome != nil:
		sim.counts.replays++
		if outcome.Result == callspb.Result_RESULT_ANSWERED && string(outcome.Body) != r.body {
			sim.report("request %d got the outcome of another body", r.id)
		}
		sim.finish(r)
	default:
		r.call = call
	}
}

// advanceCall advances a call that may be sent: it is voided or sent, and
// afterwards it is answered or its connection breaks.
func (sim *simulation) advanceCall(r *request, choice int) {
	if !r.sent {
		if choice == 0 {
			r.call.Void()
			sim.checkRefusal(r, refusal.New(refusal.Overloaded, "given up"))
			return
		}
		if err := r.call.clear(context.Background(), sim.now, false); err != nil {
			r.call.Void()
			sim.checkRefusal(r, refusal.From(err))
			return
		}
		sim.execute(r)
		return
	}
	if choice > 4 {
		r.call.Finish(&Outcome{Result: callspb.Result_RESULT_ANSWERED, Status: 200, Body: []byte(r.body)})
		sim.finish(r)
		return
	}
	sim.breakConnection(r)
}

// execute records an execution at the upstream and reports a violation if the
// key was executed before within the horizon.
func (sim *simulation) execute(r *request) {
	r.sent = true
	sim.counts.runs++
	for _, earlier := range sim.executions[r.key] {
		if sim.now.Sub(earlier.at) < simHorizon {
			sim.report("%s ran twice within the horizon: requests %d and %d", r.key, earlier.request, r.id)
		}
	}
	sim.executions[r.key] = append(sim.executions[r.key], execution{at: sim.now, request: r.id, body: r.body})
}

func (sim *simulation) breakConnection(r *request) {
	switch {
	case sim.bug == resendAfterReset:
		sim.execute(r)
	case sim.bug == voidAfterSend:
		r.call.Void()
	case r.call.clear(context.Background(), sim.now, true) == nil:
		sim.execute(r)
	}
	r.call.Finish(&Outcome{Result: callspb.Result_RESULT_UNKNOWN})
	sim.checkRefusal(r, refusal.NewUnknown(refusal.UpstreamFailed, nil, "reset"))
}

// checkRefusal checks a refusal that claims that the call did not run: neither
// this request may have run, nor one with the same key and body before this
// one arrived.
func (sim *simulation) checkRefusal(r *request, e *refusal.Error) {
	if sim.bug == claimNotRunWhenDown && e.Code == refusal.LogUnavailable {
		e = refusal.New(e.Code, "planted")
	}
	sim.finish(r)
	if e.Effect == refusal.Unknown {
		sim.counts.unknown++
		return
	}
	sim.counts.notRun++
	for _, past := range sim.executions[r.key] {
		repeated := past.body == r.body && !past.at.After(r.arrived) && sim.now.Sub(past.at) < simHorizon
		if past.request == r.id || repeated {
			sim.report("request %d was refused as not run (%s), but request %d ran", r.id, e.Code, past.request)
		}
	}
}

func (sim *simulation) finish(r *request) {
	r.done = true
	remaining := sim.active[:0]
	for _, other := range sim.active {
		if !other.done {
			remaining = append(remaining, other)
		}
	}
	sim.active = remaining
}

// report records the first violation.
func (sim *simulation) report(format string, args ...any) {
	if sim.violation == "" {
		sim.violation = fmt.Sprintf(format, args...)
	}
}

// read lets a node load or read the stream once, as Calls.follow does.
func (sim *simulation) read(i int) {
	s := sim.nodes[i].stream
	if s.haltErr != nil {
		sim.report("stream stopped: %v", s.haltErr)
		return
	}
	if s.machine == nil {
		l, err := load(context.Background(), sim.log, testStream, sim.now, retention(simHorizon))
		if err != nil {
			s.readFailed(sim.now)
			return
		}
		s.load(sim.now, l)
		return
	}
	records, err := sim.log.Read(context.Background(), testStream, s.next, readLimit, 0)
	switch {
	case err == nil:
		_ = s.applyRecords(sim.now, records, sim.now)
	case errors.Is(err, backing.ErrTrimmed):
		s.unload(sim.now)
	default:
		s.readFailed(sim.now)
	}
}

// drive performs the actions of a node's stream. Fault selects a fault of the
// log for the append.
func (sim *simulation) drive(i, fault int) {
	n := sim.nodes[i]
	n.stream.tick(sim.now)
	todo := n.stream.nextActions(sim.now)
	if todo.fetchBounds {
		first, next, err := sim.log.Bounds(context.Background(), testStream)
		n.stream.boundsDone(sim.now, first, next, err)
	}
	if todo.append == nil {
		return
	}
	data, err := encode(todo.append.batch)
	if err != nil {
		sim.report("encode: %v", err)
		return
	}
	switch fault {
	case 0:
		sim.log.Inject(memlog.Refused)
	case 1:
		sim.log.Inject(memlog.LostBefore)
		sim.delayed = append(sim.delayed, data) // may be appended later
	case 2:
		sim.log.Inject(memlog.LostAfter)
	}
	_, err = sim.log.Append(context.Background(), testStream, data)
	if sim.bug == winBeforeReadBack && err == nil {
		for _, sub := range todo.append.subs {
			sub.reply(&callspb.SubmitReply{Verdict: callspb.Verdict_VERDICT_FIRST})
		}
	}
	n.results = append(n.results, appendResult{todo.append, err})
	if fault != 3 {
		sim.deliverResults(n)
	}
}

// deliverResults passes the results of finished appends to a node's stream.
func (sim *simulation) deliverResults(n *node) {
	for _, r := range n.results {
		n.stream.appendDone(sim.now, r.op, r.err)
	}
	n.results = nil
}

// stepBackground delivers a node's append results and then maintains the
// stream, performs a delayed append, or submits a void or an outcome.
func (sim *simulation) stepBackground(i, choice int) {
	n := sim.nodes[i]
	sim.deliverResults(n)
	switch choice {
	case 0:
		n.stream.maintain(sim.now, simHorizon)
	case 1:
		if len(sim.delayed) > 0 {
			_, _ = sim.log.Append(context.Background(), testStream, sim.delayed[0])
			sim.delayed = sim.delayed[1:]
		}
	default:
		select {
		case u := <-n.calls.background:
			sim.nodes[choice%simNodes].stream.submit(sim.now, &submission{entry: u.entry, reply: func(r *callspb.SubmitReply) {
				if r.Verdict != callspb.Verdict_VERDICT_FIRST {
					n.calls.submitInBackground(u)
				}
			}})
		default:
		}
	}
}

// injectFault begins or ends an outage of the log, trims the log, or crashes a
// daemon and starts a new one in its place.
func (sim *simulation) injectFault(kind, arg int) {
	switch kind {
	case 0:
		sim.log.SetDown(true)
	case 1, 2, 3:
		sim.log.SetDown(false)
	case 4:
		if first, next, err := sim.log.Bounds(context.Background(), testStream); err == nil {
			sim.log.Trim(testStream, first+(next-first)/2)
		}
	case 5, 6:
		i := arg % simNodes
		for _, r := range sim.active {
			if r.node == i {
				r.done = true
			}
		}
		sim.finish(&request{})
		sim.startNode(i)
	}
}
