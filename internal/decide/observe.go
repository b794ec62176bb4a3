package decide

import (
	"fmt"
	"slices"
	"time"

	"currantpulley/internal/event"
	"currantpulley/internal/pipe"
	"currantpulley/internal/placement/cost"
	"currantpulley/internal/placement/holders"
	"currantpulley/internal/placement/slowness"
)

const (
	reviewInterval         = 100 * time.Millisecond // shortest time between two reviews
	overdueFactor          = 4.0                    // multiple of the predicted time to first token
	overdueSlack           = 500 * time.Millisecond // added to the predicted time to first token
	intervalTokensMin      = 8                      // output tokens from which the token interval is learned
	tokenIntervalStart     = 20 * time.Millisecond
	smoothing              = 0.05                   // weight of a new sample in the mean time in flight
	ownerHitRatioSmoothing = 0.02                   // weight of a new sample in the owner hit ratio
	queueDelayTarget       = 500 * time.Millisecond // wanted upper bound of the queueing time in an engine
	typicalQuantile        = 0.25                   // quantile of the token interval that counts as normal speed
	tailQuantile           = 0.97                   // quantile of the time to first token after which a hedge is sent
	ttftStart              = time.Second
	tailQuantileWhileSlow  = 0.9             // the same while upstreams are slow
	slowWindow             = 5 * time.Second // how long hedging stays raised after an upstream was slow
)

// attemptState is what the scheduler tracks of an attempt in progress.
type attemptState struct {
	up          *upstream
	ticket      *ticket // nil: a call to a plain service
	tokens      float64 // counted as waiting for prefill
	predicted   time.Duration
	sentAt      time.Time
	knownCached float64
	idle        time.Duration
	inFlight    float64
	prefilled   bool
	overdue     bool
}

// Started implements pipe.Observer.
func (s *Scheduler) Started(a *pipe.Attempt) {
	now := s.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	u, ok := s.fleet.byName[a.Choice.Upstream.Name]
	if !ok {
		return
	}
	f := &attemptState{up: u, sentAt: now}
	s.attempts[a] = f
	t, ok := a.Exchange.Picker.(*ticket)
	if !ok {
		u.load.Sent(0, now)
		return
	}
	f.ticket, f.knownCached, f.idle = t, t.knownCached, t.idle
	if t.reserved == u && !a.Hedge {
		t.reserved = nil
	} else {
		t.prefillTokens = max(0, t.work.promptTokens-float64(a.Choice.CachedTokens))
		s.countSent(u, t, now)
	}
	f.tokens = t.prefillTokens
	f.inFlight = u.load.InFlight(s.fleet.growth(now), now)
	f.predicted = s.costs.Predict(u.load.Tokens(s.fleet.growth(now), now))
	s.confirmHolder(t, u, now)
}

// confirmHolder records that u has the pieces of t's prompt cached. It is called
// already when the attempt starts, since u will have them after the prefill.
func (s *Scheduler) confirmHolder(t *ticket, u *upstream, now time.Time) {
	h := holders.Holder{Upstream: u.number, Epoch: u.epoch, At: now}
	for _, i := range t.work.lookups[:t.work.nLookups] {
		s.holders.Add(t.work.pieces[i], h)
	}
}

func (s *Scheduler) dropHolder(t *ticket, u *upstream) {
	for _, i := range t.work.lookups[:t.work.nLookups] {
		s.holders.Drop(t.work.pieces[i], u.number)
	}
}

// FirstToken implements pipe.Observer.
func (s *Scheduler) FirstToken(a *pipe.Attempt) {
	now := s.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	f, ok := s.attempts[a]
	if !ok || f.prefilled || f.ticket == nil {
		return
	}
	f.prefilled = true
	u := f.up
	u.load.Prefilled(f.tokens, now)
	s.learnEngine(a, f, now)
	ttft := a.FirstTokenAt.Sub(a.SentAt)
	s.ttft.Observe(ttft.Seconds())
	s.ttftWhileSlow.Observe(ttft.Seconds())
	u.window.Observe(ttft-s.costs.Predict(f.tokens), queueDelayTarget, f.inFlight, now)
	s.serveQueue(now)
}

// learnEngine updates the state of an engine from the head of its answer.
func (s *Scheduler) learnEngine(a *pipe.Attempt, f *attemptState, now time.Time) {
	u := f.up
	if a.Incarnation != "" && a.Incarnation == u.previous {
		return // late answer of an engine that has been replaced
	}
	if u.engineChanged(a.Incarnation, a.Exchange.Model.Name, a.Weights) {
		s.recordCacheDropped(u.snap.Name, now)
	}
	if a.Load != nil {
		u.load.Reported(*a.Load, now)
	}
	s.confirmHolder(f.ticket, u, now)
}

// Finished implements pipe.Observer.
func (s *Scheduler) Finished(a *pipe.Attempt) {
	now := s.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	f, ok := s.attempts[a]
	if !ok {
		return
	}
	delete(s.attempts, a)
	if f.ticket == nil {
		f.up.load.Ended(now)
		return
	}
	s.countEnded(f.up, f.ticket, now)
	if !f.prefilled {
		f.up.load.Prefilled(f.tokens, now)
	}
	if a.FirstTokenAt.IsZero() {
		s.dropHolder(f.ticket, f.up)
	} else if a.PromptTokens > 0 && a.Err == nil {
		s.learnFromAnswer(a, f)
	}
	s.serveQueue(now)
}

// learnFromAnswer updates the estimates from the token counts and times of a
// complete answer.
func (s *Scheduler) learnFromAnswer(a *pipe.Attempt, f *attemptState) {
	w := &f.ticket.work
	cached := float64(a.CachedTokens)
	if !f.up.speed.Slow() {
		s.costs.Observe(cost.Work{Tokens: float64(a.PromptTokens) - cached}, w.pieceSize, a.FirstTokenAt.Sub(a.SentAt))
	}
	s.learnRetention(f, cached)
	if f.knownCached == 0 && a.Choice.CachedTokens > 0 && w.cacheable() > 0 {
		s.ownerHitRatio += ownerHitRatioSmoothing * (min(1, cached/w.cacheable()) - s.ownerHitRatio)
	}
	s.timeInFlight += scale(a.EndedAt.Sub(a.SentAt)-s.timeInFlight, smoothing)
	if a.Exchange.Workspace != nil {
		s.learnOutput(a.Exchange.Workspace.Name, a.OutputTokens)
	}
	if a.OutputTokens >= intervalTokensMin {
		perToken := a.EndedAt.Sub(a.FirstTokenAt) / time.Duration(a.OutputTokens-1)
		f.up.speed.Observe(perToken, s.typicalTokenInterval())
		s.tokenInterval.Observe(perToken.Seconds())
	}
}

// typicalTokenInterval returns the usual time between two output tokens.
func (s *Scheduler) typicalTokenInterval() time.Duration { return seconds(s.tokenInterval.Value()) }

// tailTTFT returns the time to first token after which a request is hedged. While
// upstreams are slow it is a lower quantile, so that more requests are hedged.
func (s *Scheduler) tailTTFT(now time.Time) time.Duration {
	if s.recentlySlow(now) {
		return seconds(s.ttftWhileSlow.Value())
	}
	return seconds(s.ttft.Value())
}

// recentlySlow reports whether an upstream is marked slow or was within
// slowWindow.
func (s *Scheduler) recentlySlow(now time.Time) bool { return now.Sub(s.slowAt) < slowWindow }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (s *Scheduler) learnRetention(f *attemptState, cached float64) {
	switch {
	case f.knownCached == 0:
	case cached >= f.knownCached:
		f.up.retention.ObserveHit(f.idle)
	default:
		f.up.retention.ObserveMiss(f.idle)
	}
}

// review marks upstreams as slow or back at speed. Requests whose first token is
// overdue count as slow samples.
func (s *Scheduler) review(now time.Time) {
	if now.Sub(s.reviewedAt) < reviewInterval {
		return
	}
	s.reviewedAt = now
	for _, f := range s.attempts {
		waited := now.Sub(f.sentAt)
		if f.ticket != nil && !f.prefilled && !f.overdue && waited > overdueSlack+scale(f.predicted, overdueFactor) {
			f.overdue = true
			f.up.speed.Observe(waited, f.predicted)
		}
	}
	if slices.ContainsFunc(s.fleet.engines, func(u *upstream) bool { return u.speed.Slow() }) {
		s.slowAt = now
	}
	share := s.fleet.snap.Config.Admission.SlowShare
	for _, c := range slowness.Review(s.fleet.meters(), share, now) {
		id := event.UpstreamAtSpeed
		if c.Slow {
			id = event.UpstreamSlow
		}
		name := s.fleet.engines[c.Index].snap.Name
		s.recorder.Record(event.Event{ID: id, At: now, Upstream: name, Detail: fmt.Sprintf("%.1f", c.Ratio)})
	}
}

// CacheEvent applies one sampled cache event of an engine. op is "store" or
// "evict". Events from an incarnation other than the current one are ignored.
func (s *Scheduler) CacheEvent(upstream, incarnation, op string, piece uint64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u, ok := s.fleet.byName[upstream]
	if !ok || incarnation == "" || incarnation != u.incarnation {
		return
	}
	switch op {
	case "store":
		s.holders.Add(piece, holders.Holder{Upstream: u.number, Epoch: u.epoch, At: now})
	case "evict":
		s.recordEviction(u, piece, now)
	}
}

func (s *Scheduler) recordEviction(u *upstream, piece uint64, now time.Time) {
	for _, h := range s.holders.Find(piece) {
		if h.Upstream == u.number && h.Epoch == u.epoch {
			u.retention.ObserveEviction(now.Sub(h.At))
			break
		}
	}
	s.holders.Drop(piece, u.number)
}
