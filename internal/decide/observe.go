package decide

import (
	"fmt"
	"slices"
	"time"

	"currantpulley/internal/event"
	"currantpulley/internal/pipe"
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

// attemptState is what the engine tracks of an attempt in progress.
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
func (e *Engine) Started(a *pipe.Attempt) {
	now := e.clock()
	e.mu.Lock()
	defer e.mu.Unlock()
	u, ok := e.fleet.byName[a.Choice.Upstream.Name]
	if !ok {
		return
	}
	f := &attemptState{up: u, sentAt: now}
	e.attempts[a] = f
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
		e.countSent(u, t, now)
	}
	f.tokens = t.prefillTokens
	f.inFlight = u.load.InFlight(e.fleet.growth(now), now)
	f.predicted = e.costs.Predict(u.load.Tokens(e.fleet.growth(now), now))
	e.confirmHolder(t, u, now)
}

// confirmHolder records that u has the pieces of t's prompt cached.
func (e *Engine) confirmHolder(t *ticket, u *upstream, now time.Time) {
	h := holders.Holder{Upstream: u.number, Epoch: u.epoch, At: now}
	for _, i := range t.work.lookups[:t.work.nLookups] {
		e.holders.Add(t.work.pieces[i], h)
	}
}

func (e *Engine) dropHolder(t *ticket, u *upstream) {
	for _, i := range t.work.lookups[:t.work.nLookups] {
		e.holders.Drop(t.work.pieces[i], u.number)
	}
}

// FirstToken implements pipe.Observer.
func (e *Engine) FirstToken(a *pipe.Attempt) {
	now := e.clock()
	e.mu.Lock()
	defer e.mu.Unlock()
	f, ok := e.attempts[a]
	if !ok || f.prefilled || f.ticket == nil {
		return
	}
	f.prefilled = true
	u := f.up
	u.load.Prefilled(f.tokens, now)
	e.learnEngine(a, f, now)
	ttft := a.FirstTokenAt.Sub(a.SentAt)
	e.ttft.Observe(ttft.Seconds())
	e.ttftWhileSlow.Observe(ttft.Seconds())
	u.window.Observe(ttft-e.costs.Predict(f.tokens), queueDelayTarget, f.inFlight, now)
	e.serveQueue(now)
}

// learnEngine updates the state of an engine from the head of its answer.
func (e *Engine) learnEngine(a *pipe.Attempt, f *attemptState, now time.Time) {
	u := f.up
	if a.Incarnation != "" && a.Incarnation == u.previous {
		return // late answer of an engine that has been replaced
	}
	if u.engineChanged(a.Incarnation, a.Exchange.Model.Name, a.Weights) {
		e.recordCacheDropped(u.snap.Name, now)
	}
	if a.Load != nil {
		u.load.Reported(*a.Load, now)
	}
	e.confirmHolder(f.ticket, u, now)
}

// Finished implements pipe.Observer.
func (e *Engine) Finished(a *pipe.Attempt) {
	now := e.clock()
	e.mu.Lock()
	defer e.mu.Unlock()
	f, ok := e.attempts[a]
	if !ok {
		return
	}
	delete(e.attempts, a)
	if f.ticket == nil {
		f.up.load.Ended(now)
		return
	}
	e.countEnded(f.up, f.ticket, now)
	if !f.prefilled {
		f.up.load.Prefilled(f.tokens, now)
	}
	if a.FirstTokenAt.IsZero() {
		e.dropHolder(f.ticket, f.up)
	} else if a.PromptTokens > 0 && a.Err == nil {
		e.learnFromAnswer(a, f)
	}
	e.serveQueue(now)
}

// learnFromAnswer updates the estimates from the token counts and times of a
// complete answer.
func (e *Engine) learnFromAnswer(a *pipe.Attempt, f *attemptState) {
	w := &f.ticket.work
	cached := float64(a.CachedTokens)
	if !f.up.speed.Slow() {
		e.costs.Observe(float64(a.PromptTokens)-cached, w.pieceSize, a.FirstTokenAt.Sub(a.SentAt))
	}
	e.learnRetention(f, cached)
	if f.knownCached == 0 && a.Choice.CachedTokens > 0 && w.cacheable() > 0 {
		e.ownerHitRatio += ownerHitRatioSmoothing * (min(1, cached/w.cacheable()) - e.ownerHitRatio)
	}
	e.timeInFlight += scale(a.EndedAt.Sub(a.SentAt)-e.timeInFlight, smoothing)
	if a.Exchange.Workspace != nil {
		e.learnOutput(a.Exchange.Workspace.Name, a.OutputTokens)
	}
	if a.OutputTokens >= intervalTokensMin {
		perToken := a.EndedAt.Sub(a.FirstTokenAt) / time.Duration(a.OutputTokens-1)
		f.up.speed.Observe(perToken, e.typicalTokenInterval())
		e.tokenInterval.Observe(perToken.Seconds())
	}
}

// typicalTokenInterval returns the usual time between two output tokens.
func (e *Engine) typicalTokenInterval() time.Duration { return seconds(e.tokenInterval.Value()) }

// tailTTFT returns the time to first token after which a request is hedged. While
// upstreams are slow it is a lower quantile, so that more requests are hedged.
func (e *Engine) tailTTFT(now time.Time) time.Duration {
	if e.recentlySlow(now) {
		return seconds(e.ttftWhileSlow.Value())
	}
	return seconds(e.ttft.Value())
}

// recentlySlow reports whether an upstream is marked slow or was within
// slowWindow.
func (e *Engine) recentlySlow(now time.Time) bool { return now.Sub(e.slowAt) < slowWindow }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (e *Engine) learnRetention(f *attemptState, cached float64) {
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
func (e *Engine) review(now time.Time) {
	if now.Sub(e.reviewedAt) < reviewInterval {
		return
	}
	e.reviewedAt = now
	for _, f := range e.attempts {
		waited := now.Sub(f.sentAt)
		if f.ticket != nil && !f.prefilled && !f.overdue && waited > overdueSlack+scale(f.predicted, overdueFactor) {
			f.overdue = true
			f.up.speed.Observe(waited, f.predicted)
		}
	}
	if slices.ContainsFunc(e.fleet.engines, func(u *upstream) bool { return u.speed.Slow() }) {
		e.slowAt = now
	}
	share := e.fleet.snap.Config.Admission.SlowShare
	for _, c := range slowness.Review(e.fleet.meters(), share, now) {
		id := event.UpstreamAtSpeed
		if c.Slow {
			id = event.UpstreamSlow
		}
		name := e.fleet.engines[c.Index].snap.Name
		e.recorder.Record(event.Event{ID: id, At: now, Upstream: name, Detail: fmt.Sprintf("%.1f", c.Ratio)})
	}
}

// CacheEvent applies one sampled cache event of an engine. op is "store" or
// "evict". Events from an incarnation other than the current one are ignored.
func (e *Engine) CacheEvent(upstream, incarnation, op string, piece uint64, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	u, ok := e.fleet.byName[upstream]
	if !ok || incarnation == "" || incarnation != u.incarnation {
		return
	}
	switch op {
	case "store":
		e.holders.Add(piece, holders.Holder{Upstream: u.number, Epoch: u.epoch, At: now})
	case "evict":
		e.recordEviction(u, piece, now)
	}
}

func (e *Engine) recordEviction(u *upstream, piece uint64, now time.Time) {
	for _, h := range e.holders.Find(piece) {
		if h.Upstream == u.number && h.Epoch == u.epoch {
			u.retention.ObserveEviction(now.Sub(h.At))
			break
		}
	}
	e.holders.Drop(piece, u.number)
}
