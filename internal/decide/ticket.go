package decide

import (
	"context"
	"slices"
	"time"

	"currantpulley/internal/admission"
	"currantpulley/internal/config"
	"currantpulley/internal/event"
	"currantpulley/internal/pipe"
	"currantpulley/internal/refusal"
	"currantpulley/internal/snapshot"
)

const (
	queuePollInterval         = 5 * time.Millisecond // between checks of the queue when no event triggers one
	waitingScanMax            = 64                   // requests without room after which a pass over the queue ends
	noUpstreamRetryAfter      = time.Second          // Retry-After while no upstream accepts requests
	retryAfterMin             = 250 * time.Millisecond
	priorityMax               = 9                      // larger caller priorities count as this one
	weightsLoadTimeout        = 3 * time.Second        // wait for an engine to load the model's weights
	defaultDeadline           = 10 * time.Second       // assumed for a request without a deadline
	deadlineOffsetPerPiece    = 100 * time.Millisecond // for each uncached piece, see enginePriority
	deadlineOffsetPerPriority = 10 * time.Second       // for each step of the caller's priority
)

// priorityEpoch is the origin of engine priorities, which are deadlines in
// milliseconds. A recent origin keeps the numbers small.
var priorityEpoch = time.Date(2020, 1, 1, 0, 0, 0, 0, time.UTC)

// ticket tracks a model request through admission and placement. It is the
// exchange's Picker.
type ticket struct {
	scheduler     *Scheduler
	x             *pipe.Exchange
	work          work
	item          *admission.Item[*ticket]
	done          chan struct{} // closed when granted or refused
	refused       *refusal.Error
	choice        pipe.Choice
	chargedTokens float64       // tokens charged to the workspace's limit
	knownCached   float64       // tokens known to be cached at the chosen upstream
	idle          time.Duration // time since those were last used
	reserved      *upstream     // where admission counted the request as sent; nil: none, or already used
	prefillTokens float64       // uncached prompt tokens, counted in the load of reserved
	target        *upstream     // upstream that the queued request waits for
	granted       bool
	choiceUsed    bool // Pick has used the granted choice
}

// ticketOf returns x's ticket and creates it on the first call.
func (s *Scheduler) ticketOf(x *pipe.Exchange) *ticket {
	if t, ok := x.Picker.(*ticket); ok {
		return t
	}
	t := &ticket{scheduler: s, x: x, work: newWork(x.Model, x.Prompt, s.expectedOutput(x))}
	t.work.deadline = x.Deadline
	x.Picker = t
	return t
}

// Class implements classify.Classifier. It also records the prompt's branches and
// counts the request towards the share of its prefix.
func (s *Scheduler) Class(x *pipe.Exchange) pipe.Class {
	now := s.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.syncSnapshot(x.Snap, now)
	t := s.ticketOf(x)
	w := &t.work
	s.branches.Learn(w.pieces)
	var buffer [candidatesMax]candidate
	d := s.choose(w, nil, now, buffer[:0])
	uncached := w.promptTokens
	if d.best != nil {
		uncached -= d.best.cached
	}
	limit := s.fleet.snap.Config.Admission.LongTokens
	w.long = limit > 0 && uncached+w.outputTokens >= float64(limit)
	if w.level >= 0 {
		s.heat.Add(w.ownerKey(), now)
	}
	if w.long {
		return pipe.Long
	}
	return pipe.Short
}

// workCost returns the upstream time that the work takes: its prefill, and its
// decoding divided by the number of requests that an upstream serves at once.
func (s *Scheduler) workCost(w *work, uncached float64) time.Duration {
	concurrency := float64(max(1, s.fleet.snap.Config.Admission.WindowStart))
	return s.costs.Predict(uncached) + scale(w.decodeTime(s.typicalTokenInterval()), 1/concurrency)
}

// Enter implements admit.Queue.
func (s *Scheduler) Enter(x *pipe.Exchange) error {
	if x.Prompt == nil {
		return nil
	}
	t, err := s.submit(x)
	if err != nil {
		return err
	}
	return t.wait()
}

// submit grants, queues or refuses a request.
func (s *Scheduler) submit(x *pipe.Exchange) (*ticket, error) {
	now := s.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.syncSnapshot(x.Snap, now)
	t := s.ticketOf(x)
	t.done = make(chan struct{})
	s.refreshModel(t)
	var buffer [candidatesMax]candidate
	d := s.choose(&t.work, nil, now, buffer[:0])
	if d.best == nil && !s.engineExpected(t, nil, now) {
		return nil, s.noUpstreamRefusal(t, now)
	}
	if d.best != nil && s.queue.Len() == 0 && d.best.hasRoom && meetsDeadline(t, d.best, 0, now) {
		s.grant(t, &d, now)
		return t, nil
	}
	t.item = s.newItem(t, d.best, now)
	if d.best != nil {
		t.target = d.best.up
		wait := s.queue.Wait(t.item, func(o *ticket) bool { return o.target == t.target }, now)
		if !meetsDeadline(t, d.best, wait, now) {
			return nil, s.deadlineRefusal(t, wait+d.best.ttft, now)
		}
	}
	if s.queue.Len() >= s.fleet.snap.Config.Admission.QueueMax {
		return nil, s.queueFullRefusal(t, now)
	}
	s.queue.Push(t.item, now)
	s.serveQueue(now)
	return t, nil
}

// refreshModel takes the model from the newest configuration, since its weights
// may have changed while the request waited.
func (s *Scheduler) refreshModel(t *ticket) {
	if m, ok := s.fleet.snap.Config.Models[t.work.model.Name]; ok {
		t.work.model = m
	}
}

// engineExpected reports whether an engine is expected to serve the model soon, one that
// isn't among tried. The first engines to load new weights do so in well under
// weightsLoadTimeout.
func (s *Scheduler) engineExpected(t *ticket, tried []string, now time.Time) bool {
	x := t.x
	if now.Sub(x.Arrived) >= weightsLoadTimeout || (!x.Deadline.IsZero() && !now.Before(x.Deadline)) {
		return false
	}
	return slices.ContainsFunc(s.fleet.engines, func(u *upstream) bool {
		return loadsWeights(u.snap, t.work.model) && !slices.Contains(tried, u.snap.Name)
	})
}

// loadsWeights reports whether u is expected to load the model's weights: it is
// loading now, or it is up with other weights.
func loadsWeights(u *snapshot.Upstream, model *config.Model) bool {
	if u.Upstream.Leaving || !slices.Contains(u.Models, model.Name) {
		return false
	}
	return u.Health == snapshot.Loading || (u.Health == snapshot.Up && u.Weights[model.Name] != model.Weights)
}

func (s *Scheduler) newItem(t *ticket, best *candidate, now time.Time) *admission.Item[*ticket] {
	cached := 0.0
	if best != nil {
		cached = best.cached
	}
	item := &admission.Item[*ticket]{
		Long:     t.work.long,
		Priority: t.x.Priority,
		Cost:     s.workCost(&t.work, t.work.promptTokens-cached),
		Enqueued: now,
		Value:    t,
	}
	if ws := t.x.Workspace; ws != nil {
		item.Workspace, item.Weight = ws.Name, ws.Weight
	}
	return item
}

// drainRate returns the service rate that is assumed until one has been measured:
// this daemon's share of the engines, in seconds of work per second.
func (s *Scheduler) drainRate() float64 {
	return float64(len(s.fleet.engines)) / float64(s.fleet.liveDaemons)
}

// meetsDeadline reports whether the first token can arrive before the deadline if
// the request first waits for the given time.
func meetsDeadline(t *ticket, c *candidate, wait time.Duration, now time.Time) bool {
	return t.x.Deadline.IsZero() || !now.Add(wait+c.ttft).After(t.x.Deadline)
}

// wait blocks until the request is granted, refused or cancelled by its caller.
func (t *ticket) wait() error {
	tick := time.NewTicker(queuePollInterval)
	defer tick.Stop()
	for {
		select {
		case <-t.done:
			if t.refused != nil {
				return t.refused
			}
			return nil
		case <-t.x.Ctx.Done():
			return t.scheduler.abandon(t)
		case <-tick.C:
			t.scheduler.pollQueue()
		}
	}
}

// abandon removes a request from the queue when its caller has cancelled it.
func (s *Scheduler) abandon(t *ticket) error {
	now := s.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !t.granted && t.refused == nil {
		s.queue.Remove(t.item, now)
	}
	return refusal.New(refusal.DeadlineExceeded, "the caller went away while the request waited").WithCause(context.Cause(t.x.Ctx))
}

// pollQueue serves the queue unless that was done within queuePollInterval.
// Capacity can free up and deadlines can pass without any event.
func (s *Scheduler) pollQueue() {
	now := s.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.queueServedAt) < queuePollInterval {
		return
	}
	s.syncSnapshot(nil, now)
	s.serveQueue(now)
}

// serveQueue grants waiting requests in queue order while there is room, and
// refuses those that can no longer meet their deadline. An upstream that an aged
// request waits for is not given to the requests behind it.
func (s *Scheduler) serveQueue(now time.Time) {
	s.queueServedAt = now
	s.review(now)
	if s.queue.Len() == 0 {
		return
	}
	var buffer [candidatesMax]candidate
	var reservedForAged []*upstream
	waiting := 0
	for _, item := range s.queue.Order(now) {
		t := item.Value
		t.work.deadline = t.x.Deadline
		s.refreshModel(t)
		d := s.choose(&t.work, nil, now, buffer[:0])
		if d.best == nil {
			if !s.engineExpected(t, nil, now) {
				s.refuse(t, s.noUpstreamRefusal(t, now), now)
			}
			continue
		}
		if !meetsDeadline(t, d.best, 0, now) {
			s.refuse(t, s.deadlineRefusal(t, d.best.ttft, now), now)
			continue
		}
		if d.best.hasRoom && !slices.Contains(reservedForAged, d.best.up) {
			s.queue.Serve(item, now)
			s.grant(t, &d, now)
			continue
		}
		t.target = d.best.up
		if item.Aged() {
			reservedForAged = append(reservedForAged, d.best.up)
		}
		if waiting++; waiting == waitingScanMax {
			return
		}
	}
}

func (s *Scheduler) grant(t *ticket, d *decision, now time.Time) {
	c := d.best
	t.granted = true
	t.choice = s.choiceOf(t, d, now)
	t.knownCached, t.idle = c.knownCached, c.idle
	t.reserved = c.up
	t.prefillTokens = max(0, t.work.promptTokens-c.cached)
	s.countSent(c.up, t, now)
	c.up.speed.Probe(now)
	close(t.done)
}

func (s *Scheduler) refuse(t *ticket, reason *refusal.Error, now time.Time) {
	s.queue.Remove(t.item, now)
	t.refused = reason
	close(t.done)
}

func (s *Scheduler) choiceOf(t *ticket, d *decision, now time.Time) pipe.Choice {
	c := d.best
	choice := pipe.Choice{
		Upstream:     c.up.snap,
		Weights:      t.work.model.Weights,
		CachedTokens: int(c.cached),
		ExpectedTTFT: c.ttft,
		Level:        t.work.level,
		Priority:     enginePriority(t, c, now),
		Reason:       reasonOf(c, d.ownerCount),
	}
	r := &s.fleet.snap.Config.Retry
	if r.HedgeBudget > 0 && s.queue.Len() == 0 && (!t.work.long || s.recentlySlow(now)) {
		choice.HedgeAfter = max(r.HedgeAfter.Std(), c.ttft, s.tailTTFT(now))
	}
	return choice
}

// enginePriority returns the priority that the engine is given; lower runs first.
// It is based on the deadline, so that short work with near deadlines does not
// wait behind long work and no request starves. Each uncached piece and each step
// of the caller's priority counts as a later deadline. Callers can only lower
// their priority below normal.
func enginePriority(t *ticket, c *candidate, now time.Time) int {
	deadline := t.x.Deadline
	if deadline.IsZero() {
		deadline = now.Add(defaultDeadline)
	}
	pieces := 0.0
	if t.work.pieceSize > 0 {
		pieces = max(0, t.work.promptTokens-c.cached) / t.work.pieceSize
	}
	callerPriority := min(priorityMax, max(0, t.x.Priority))
	offset := scale(deadlineOffsetPerPiece, pieces) + time.Duration(callerPriority)*deadlineOffsetPerPriority
	return int(deadline.Add(offset).Sub(priorityEpoch) / time.Millisecond)
}

func reasonOf(c *candidate, ownerCount int) string {
	switch {
	case c.rank < 0 && c.knownCached > 0:
		return "holds the prefix"
	case c.rank < 0:
		return "least load"
	case c.rank >= ownerCount:
		return "next owner, as those before it exceed their load bound"
	case c.knownCached > 0:
		return "owner that holds the prefix"
	}
	return "owner"
}

// countSent adds t to the load of u.
func (s *Scheduler) countSent(u *upstream, t *ticket, now time.Time) {
	u.load.Sent(t.prefillTokens, now)
	s.fleet.ownGrowth.Add(1, now)
	if t.work.long {
		u.long++
	}
}

// countEnded removes t from the load of u, except for its prefill tokens.
func (s *Scheduler) countEnded(u *upstream, t *ticket, now time.Time) {
	u.load.Ended(now)
	s.fleet.ownGrowth.Add(-1, now)
	if t.work.long {
		u.long--
	}
}

// Leave implements admit.Queue. It releases a reservation that no attempt used.
func (s *Scheduler) Leave(x *pipe.Exchange) {
	t, ok := x.Picker.(*ticket)
	if !ok {
		return
	}
	now := s.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if u := t.reserved; u != nil {
		t.reserved = nil
		u.load.Prefilled(t.prefillTokens, now)
		s.countEnded(u, t, now)
		s.serveQueue(now)
	}
}

func (s *Scheduler) noUpstreamRefusal(t *ticket, now time.Time) *refusal.Error {
	s.record(event.NoUpstreamForWork, t.x, "", now)
	return refusal.New(refusal.NoUpstream, "no upstream can take the request now").WithRetryAfter(noUpstreamRetryAfter)
}

func (s *Scheduler) deadlineRefusal(t *ticket, expected time.Duration, now time.Time) *refusal.Error {
	s.record(event.DeadlineRefused, t.x, expected.String(), now)
	return refusal.New(refusal.DeadlineUnmeetable, "the first token would come after the deadline").WithRetryAfter(s.retryAfter())
}

func (s *Scheduler) queueFullRefusal(t *ticket, now time.Time) *refusal.Error {
	s.record(event.QueueFull, t.x, "", now)
	return refusal.New(refusal.Overloaded, "too many requests are waiting").WithRetryAfter(s.retryAfter())
}

// retryAfter returns the expected time until all requests waiting now are served.
func (s *Scheduler) retryAfter() time.Duration {
	return max(retryAfterMin, s.queue.Backlog(s.drainRate()))
}

func (s *Scheduler) record(id event.ID, x *pipe.Exchange, detail string, now time.Time) {
	ev := event.Event{ID: id, At: now, Request: x.ID, Detail: detail}
	if x.Workspace != nil {
		ev.Workspace = x.Workspace.Name
	}
	s.recorder.Record(ev)
}
