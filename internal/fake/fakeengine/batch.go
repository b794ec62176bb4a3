package fakeengine

import (
	"slices"
	"time"
)

// batch is the state of continuous batching. One prefill chunk is computed at a
// time, for the waiting stream with the lowest priority number. All streams whose
// prompt is complete decode concurrently and at the same rate; each further one
// makes a step slower.
type batch struct {
	waiting  []*stream // streams whose prompt is not complete, in order of arrival
	started  int       // number of waiting streams in prefill, which count as running
	current  *stream   // stream whose chunk is being computed
	chunkEnd time.Time
	decoding []*stream
	tokens   float64   // progress of decoding: output tokens that each stream decoding since the start would have
	last     time.Time // up to which decoding is simulated
	timer    *time.Timer
}

// running returns the number of streams in prefill or decode.
func (b *batch) running() int { return b.started + len(b.decoding) }

func (b *batch) stop() {
	if b.timer != nil {
		b.timer.Stop()
	}
}

// enqueue adds s to the batch. The caller of this and of the other methods of
// Engine in this file, except onTimer, holds the lock.
func (e *Engine) enqueue(s *stream) {
	now := time.Now()
	e.advance(now)
	e.batch.waiting = append(e.batch.waiting, s)
	e.advance(now)
	e.resetTimer()
}

// remove removes s from the batch, finished or not.
func (e *Engine) remove(s *stream) {
	b := &e.batch
	if i := slices.Index(b.waiting, s); i >= 0 {
		b.waiting = slices.Delete(b.waiting, i, i+1)
		if s.started {
			b.started--
		}
	}
	if i := slices.Index(b.decoding, s); i >= 0 {
		b.decoding = slices.Delete(b.decoding, i, i+1)
	}
	if b.current == s {
		b.current = nil
	}
}

// advance simulates the batch up to now.
func (e *Engine) advance(now time.Time) {
	b := &e.batch
	for b.current != nil && !b.chunkEnd.After(now) {
		at := b.chunkEnd
		e.decodeUntil(at)
		e.endChunk(at)
		e.startChunk(at)
	}
	e.decodeUntil(now)
	if b.current == nil {
		e.startChunk(now)
	}
	e.recordLoad(now)
}

// startChunk picks the next stream for prefill and starts its next chunk.
func (e *Engine) startChunk(at time.Time) {
	b := &e.batch
	b.current = e.nextWaiting()
	if b.current == nil {
		return
	}
	s := b.current
	if !s.started {
		s.started = true
		b.started++
		e.lookUpCache(s)
	}
	b.chunkEnd = at.Add(time.Duration(float64(s.chunkTokens(e.opts.PieceTokens)) / e.opts.PrefillRate * e.slowness * float64(time.Second)))
}

// nextWaiting returns the stream to prefill next, or nil. If the batch is full,
// only streams whose prefill has started are considered.
func (e *Engine) nextWaiting() *stream {
	var best *stream
	full := e.batch.running() >= e.opts.MaxRunning
	for _, s := range e.batch.waiting {
		if full && !s.started {
			continue
		}
		if best == nil || s.priority < best.priority {
			best = s
		}
	}
	return best
}

// lookUpCache sets the cached pieces of s, whose prefill starts.
func (e *Engine) lookUpCache(s *stream) {
	if !e.opts.IgnoreCache {
		s.cached = e.cache.prefix(s.pieces)
	}
	s.prefilled = s.cached
	e.stats.Requests++
	e.stats.PromptTokens += s.promptTokens
	e.stats.CachedTokens += s.cachedTokens(e.opts.PieceTokens)
}

// endChunk stores the computed piece. After the last one, it emits the first
// output token.
func (e *Engine) endChunk(at time.Time) {
	b, s := &e.batch, e.batch.current
	b.current = nil
	e.stats.PrefilledTokens += s.chunkTokens(e.opts.PieceTokens)
	if s.prefilled < len(s.pieces) {
		s.prefilled++
		e.observe(Prefill, s.pieces[s.prefilled-1])
		e.cache.store(s.pieces[:s.prefilled], s.salt, s.model)
		if s.prefilled < len(s.pieces) {
			return
		}
	}
	e.remove(s)
	s.emit(1)
	e.stats.OutputTokens++
	if s.done() {
		return
	}
	b.decoding = append(b.decoding, s)
	s.due = b.tokens + float64(s.nextEventTokens(e.opts.EventTokens))
	e.recordLoad(at)
}

// decodeUntil emits the output tokens decoded up to now.
func (e *Engine) decodeUntil(now time.Time) {
	b := &e.batch
	if elapsed := now.Sub(b.last); elapsed > 0 && len(b.decoding) > 0 {
		b.tokens += elapsed.Seconds() / e.decodeStep().Seconds()
	}
	b.last = now
	const rounding = 1e-6
	for _, s := range slices.Clone(b.decoding) {
		for !s.done() && s.due <= b.tokens+rounding {
			n := s.nextEventTokens(e.opts.EventTokens)
			s.emit(n)
			e.stats.OutputTokens += n
			s.due += float64(s.nextEventTokens(e.opts.EventTokens))
		}
		if s.done() {
			e.remove(s)
		}
	}
}

// decodeStep returns the time per output token of each decoding stream.
func (e *Engine) decodeStep() time.Duration {
	others := time.Duration(max(0, len(e.batch.decoding)-1))
	step := e.opts.DecodeStep + others*e.opts.DecodeShare
	return time.Duration(float64(step) * e.slowness)
}

// resetTimer sets the timer to the next end of a chunk or of an event.
func (e *Engine) resetTimer() {
	b := &e.batch
	var next time.Time
	if b.current != nil {
		next = b.chunkEnd
	}
	for _, s := range b.decoding {
		at := b.last.Add(time.Duration((s.due - b.tokens) * float64(e.decodeStep())))
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	if next.IsZero() {
		return
	}
	if b.timer == nil {
		b.timer = time.AfterFunc(time.Until(next), e.onTimer)
		return
	}
	b.timer.Reset(time.Until(next))
}

func (e *Engine) onTimer() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance(time.Now())
	e.resetTimer()
}

// load is the content of a load report.
type load struct {
	Running        int `json:"running"`
	Queued         int `json:"queued"`
	QueuedTokens   int `json:"queued_tokens"`
	CachedPieces   int `json:"cached_pieces"`
	CapacityPieces int `json:"capacity_pieces"`
}

// report is the load at one time.
type report struct {
	at   time.Time
	load load
}

// minReportInterval is the shortest time between two recorded reports.
const minReportInterval = 10 * time.Millisecond

// recordLoad records the load at now and deletes reports that are no longer
// needed.
func (e *Engine) recordLoad(now time.Time) {
	if n := len(e.reports); n > 0 && now.Sub(e.reports[n-1].at) < minReportInterval {
		return
	}
	b := &e.batch
	l := load{Running: b.running(), Queued: len(b.waiting) - b.started, CachedPieces: e.cache.lru.Len(), CapacityPieces: e.opts.CachePieces}
	for _, s := range b.waiting {
		l.QueuedTokens += s.promptTokens - s.prefilled*e.opts.PieceTokens
	}
	e.reports = append(e.reports, report{now, l})
	old := 0
	for old+1 < len(e.reports) && now.Sub(e.reports[old+1].at) >= e.opts.ReportLag {
		old++
	}
	e.reports = slices.Delete(e.reports, 0, old)
}

// laggedLoad returns the load as it was ReportLag ago.
func (e *Engine) laggedLoad(now time.Time) load {
	e.advance(now)
	e.resetTimer()
	shown := load{CapacityPieces: e.opts.CachePieces}
	for _, r := range e.reports {
		if now.Sub(r.at) < e.opts.ReportLag {
			break
		}
		shown = r.load
	}
	return shown
}
