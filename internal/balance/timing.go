package balance

import (
	"time"

	"currantpulley/internal/placement/cost"
	"currantpulley/internal/placement/quantile"
)

const (
	// typical is the quantile of the observed times that is expected: as many
	// requests take longer as less long.
	typical = 0.5
	// mostOf is the share of requests that are answered in the time for which they are
	// sent to wait: those that would wait in vain only delay the others.
	mostOf = 0.8
	// spreadMax bounds the spread, so that requests with little work before them are still
	// sent after a time in which none was answered, and show when that is over.
	spreadMax = 4
	// runTimeStart, callTimeStart and perRequestStart are assumed until answers were
	// seen: the time that a request occupies a slot of an engine and of a plain service,
	// and the time that each running request adds to the next one's first token. They
	// only tell upstreams apart; no request is refused by them.
	runTimeStart    = 500 * time.Millisecond
	callTimeStart   = 60 * time.Millisecond
	perRequestStart = 3 * time.Millisecond
)

// timing is what the answers of a service's upstreams have shown of the time that
// work takes there, at the usual speed.
type timing struct {
	first *cost.Model      // to the first token
	short answers          // to short prompts
	long  answers          // to long prompts
	call  quantile.Tracker // seconds that a plain call takes
	// spread is the ratio of the time to the first token, or to a call's answer, that few
	// requests exceed to the median, where other work goes before the request, by its
	// urgency: work that comes later overtakes the less urgent.
	spread     [Urgencies]quantile.Tracker
	open       []*Pick   // requests without a whole answer, oldest first
	reviewedAt time.Time // see reviewOpen
	pacedAt    time.Time // see Balancer.updatePaces
}

// answers is what the answers to one kind of prompt have shown.
type answers struct {
	run quantile.Tracker // seconds that a request occupies a slot of an engine
	// token is the seconds from one expected output token to the next that few answers
	// exceed: they may be longer than expected, or made by an engine that has much to do.
	token quantile.Tracker
	// usualToken is the typical one of these times.
	usualToken quantile.Tracker
}

func newAnswers() answers {
	return answers{run: quantile.New(typical, runTimeStart.Seconds()), token: quantile.New(mostOf, 0), usualToken: quantile.New(typical, 0)}
}

func newTiming() *timing {
	t := &timing{
		first: cost.New(cost.Options{Quantile: typical, PerRequest: perRequestStart}),
		short: newAnswers(),
		long:  newAnswers(),
		call:  quantile.New(typical, callTimeStart.Seconds()),
	}
	for urgency := range t.spread {
		t.spread[urgency] = quantile.New(mostOf, 1)
	}
	return t
}

// spreadOf returns the spread of an urgency, 1 or more. Until it was seen, it is that of
// the nearest more urgent work: less urgent work waits no shorter.
func (t *timing) spreadOf(urgency int) float64 {
	for i := urgency; i >= 0; i-- {
		if t.spread[i].Seen() {
			return min(spreadMax, max(1, t.spread[i].Value()))
		}
	}
	return 1
}

// timingOf returns the timing of a service and adds it when there is none.
func (b *Balancer) timingOf(service string) *timing {
	t, ok := b.timings[service]
	if !ok {
		t = newTiming()
		b.timings[service] = t
	}
	return t
}

// answersTo returns what the answers to long or short prompts have shown.
func (t *timing) answersTo(long bool) *answers {
	if long {
		return &t.long
	}
	return &t.short
}

// runOf returns the tracker of the time in a slot for an engine that mostly runs long or
// short requests.
func (t *timing) runOf(long bool) *quantile.Tracker {
	return seenOr(&t.answersTo(long).run, &t.answersTo(!long).run)
}

// tokenOf returns the tracker of the time of an output token of long or short requests.
func (t *timing) tokenOf(long bool) *quantile.Tracker {
	return seenOr(&t.answersTo(long).token, &t.answersTo(!long).token)
}

// seenOr returns usual, or other if only that has seen values.
func seenOr(usual, other *quantile.Tracker) *quantile.Tracker {
	if usual.Seen() || !other.Seen() {
		return usual
	}
	return other
}

// expectCall sets when the answer to a plain call is expected at an upstream with work w.
func (t *timing) expectCall(p *Pick, w upstreamWork) {
	slots := p.Upstream.Slots
	one := duration(p.slow * t.call.Value())
	p.Ahead = queueingTime(w.requests, slots, one)
	p.rounds = 1 + p.Ahead.Seconds()/one.Seconds()
	p.Wait = scale(one, w.requests/float64(max(1, slots)))
	p.medianWait = p.Ahead + one
	most := scale(p.medianWait, t.spreadOf(p.urgency))
	p.Expected = Expected{First: most, Whole: most, Learnt: t.call.Seen()}
}

// expectAnswer sets when the answer to a prompt is expected at an engine with work w. long
// tells what kind of work the engine mostly runs.
func (t *timing) expectAnswer(p *Pick, w upstreamWork, long bool) {
	run := t.runOf(long)
	queueing := queueingTime(w.requestsBefore, p.Upstream.Slots, duration(p.slow*run.Value()))
	p.queued = queueing > 0
	stated := p.slow / p.pace
	p.first = cost.Work{Tokens: stated * (w.tokensBefore + float64(p.prefillTokens)), Running: stated * w.requests}
	p.Ahead = queueing + t.first.Prefill(p.slow*w.tokensBefore)
	first := t.first.Predict(p.first.Tokens) + t.first.Crowd(p.first.Running)
	p.Wait = scale(first, p.pace) + queueing + p.transfer
	p.medianWait = p.Wait
	most := scale(p.medianWait, t.spreadOf(p.urgency))
	p.Expected = Expected{
		First:  most,
		Whole:  most + t.decodeTime(p),
		Learnt: t.first.Seen(p.first, longTokens) && (!p.queued || run.Seen()),
	}
}

// decodeTime returns the expected time from the first token of p's answer to the last.
func (t *timing) decodeTime(p *Pick) time.Duration {
	return duration(p.slow * t.tokenOf(p.prompt.long()).Value() * float64(p.output))
}

// workedOff returns the time after which so much of the work before p's request is done
// that a request whose caller waits as long is answered in time; 0: now.
func (t *timing) workedOff(p *Pick) time.Duration { return scale(p.Late, 1/t.spreadOf(p.urgency)) }

// perToken returns the time for each expected token of p's answer if it ends now.
func (p *Pick) perToken(now time.Time) float64 {
	return now.Sub(p.beganAt).Seconds() / p.slow / float64(max(1, p.output))
}

// delay returns by how much answers end later because engines pause decoding for prefill.
// A long prompt delays those that run at an engine of the short lane. A short prompt's own
// answer is delayed by the prompts that are prefilled after it, and in the long lane, where
// more of them come, by what each of its tokens takes longer there.
func (t *timing) delay(p *Pick, w upstreamWork, short bool) time.Duration {
	after := t.first.Prefill(p.slow * (w.tokens - w.tokensBefore))
	switch {
	case !p.prompt.long() && short:
		return after
	case !p.prompt.long():
		slower := t.tokenOf(true).Value() - t.tokenOf(false).Value()
		return max(after, duration(p.slow*slower*float64(p.output)))
	case short:
		return scale(t.first.Prefill(p.slow*float64(p.prefillTokens)), w.requests)
	}
	return 0
}

// upstreamWork is the work at an upstream, as a request sees it.
type upstreamWork struct {
	requests       float64 // that it runs or that wait there
	requestsBefore float64 // those of them that go before the request
	tokens         float64 // that it has to prefill
	tokensBefore   float64 // those of them that go before those of the request
}

// add adds a daemon's work, as a request of the given urgency sees it.
func (w *upstreamWork) add(u *Use, urgency int) {
	before := u.before(urgency)
	w.requests += float64(u.Requests)
	w.requestsBefore += float64(before.Requests)
	w.tokens += float64(u.Tokens)
	w.tokensBefore += float64(before.Tokens)
}

// queueingTime returns the wait for a slot of an upstream whose requests take run on
// average.
func queueingTime(requests float64, slots int, run time.Duration) time.Duration {
	if slots <= 0 || requests < float64(slots) {
		return 0
	}
	return scale(run, (requests-float64(slots)+1)/float64(slots))
}

func duration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
