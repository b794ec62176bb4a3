package balance

import (
	"time"

	"currantpulley/internal/catalog"
)

// Urgencies is the number of urgencies of work at engines, from 0, which goes first.
const Urgencies = 10

// Use is one daemon's work at an upstream.
type Use struct {
	Requests     int
	NotResumable int                   // requests that can't continue at another upstream
	Tokens       int                   // of prompts that wait for their first token
	Failing      bool                  // the upstream failed the daemon's last attempts and is in backoff
	ByUrgency    [Urgencies]UrgencyUse // the part of the work with each urgency above 0; the rest has 0
}

// UrgencyUse is the work of one urgency at an upstream.
type UrgencyUse struct {
	Requests int
	Tokens   int // of prompts that wait for their first token
}

// before returns the work that an engine does before a new request of the given urgency.
func (u *Use) before(urgency int) UrgencyUse {
	out := UrgencyUse{u.Requests, u.Tokens}
	if u.Requests == 0 {
		return out
	}
	for i := urgency + 1; i < Urgencies; i++ {
		out.Requests -= u.ByUrgency[i].Requests
		out.Tokens -= u.ByUrgency[i].Tokens
	}
	return out
}

// add adds requests and tokens of p's kind.
func (u *Use) add(p *Pick, requests, tokens int) {
	u.Requests += requests
	u.Tokens += tokens
	if p.notResumable {
		u.NotResumable += requests
	}
	if p.urgency > 0 {
		of := &u.ByUrgency[p.urgency]
		of.Requests += requests
		of.Tokens += tokens
	}
}

// peerUse is the work at an upstream that another daemon reported.
type peerUse struct {
	Use
	until time.Time // the report expires
}

// peerReports holds what the other daemons reported of an upstream. The sums are kept,
// since each request looks at all upstreams of its service, and daemons are many.
type peerReports struct {
	byVM    map[string]peerUse
	sum     Use       // of the reports; Failing isn't set
	failing int       // reports with Failing
	expires time.Time // no report expires earlier
}

// set replaces the report of the daemon on vm.
func (r *peerReports) set(vm string, p peerUse) {
	if r.byVM == nil {
		r.byVM = make(map[string]peerUse)
	}
	if old, ok := r.byVM[vm]; ok {
		r.count(&old, -1)
	}
	if len(r.byVM) == 0 || p.until.Before(r.expires) {
		r.expires = p.until
	}
	r.byVM[vm] = p
	r.count(&p, 1)
}

// remove removes the report of the daemon on vm, if there is one.
func (r *peerReports) remove(vm string) {
	if p, ok := r.byVM[vm]; ok {
		delete(r.byVM, vm)
		r.count(&p, -1)
	}
}

// count adds sign times a report to the sums. Work without requests counts as urgent, see
// Use.before.
func (r *peerReports) count(p *peerUse, sign int) {
	r.sum.Requests += sign * p.Requests
	r.sum.NotResumable += sign * p.NotResumable
	r.sum.Tokens += sign * p.Tokens
	if p.Failing {
		r.failing += sign
	}
	if p.Requests == 0 {
		return
	}
	for i := range p.ByUrgency {
		of := &p.ByUrgency[i]
		r.sum.ByUrgency[i].Requests += sign * of.Requests
		r.sum.ByUrgency[i].Tokens += sign * of.Tokens
	}
}

// dropExpired removes the reports that have expired.
func (r *peerReports) dropExpired(now time.Time) {
	if !now.After(r.expires) {
		return
	}
	next := time.Time{}
	for vm, p := range r.byVM {
		switch {
		case now.After(p.until):
			r.remove(vm)
		case next.IsZero() || p.until.Before(next):
			next = p.until
		}
	}
	r.expires = next
}

// OwnWork returns this daemon's work at each upstream, and the upstreams that fail.
func (b *Balancer) OwnWork(now time.Time) map[catalog.Key]Use {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[catalog.Key]Use)
	for k, s := range b.upstreams {
		use := s.own
		use.Failing = s.failures > 0 && now.Before(s.backoffUntil)
		if use != (Use{}) {
			out[k] = use
		}
	}
	return out
}

// SetPeerWork replaces the work that the daemon on vm reported before. The report
// expires at until.
func (b *Balancer) SetPeerWork(vm string, uses map[catalog.Key]Use, now, until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peerReportAt = now
	b.reports.add(vm, now)
	for k, s := range b.upstreams {
		if _, ok := uses[k]; !ok {
			s.peers.remove(vm)
		}
	}
	for k, u := range uses {
		s := b.stateOf(k, now)
		s.peers.set(vm, peerUse{u, until})
		s.usedAt = now
	}
}

// Close keeps new work from an upstream before until.
func (b *Balancer) Close(k catalog.Key, until, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stateOf(k, now).closedUntil = until
}

// Open lets an upstream get new work again: it ends a Close and any backoff.
func (b *Balancer) Open(k catalog.Key, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stateOf(k, now)
	s.closedUntil = time.Time{}
	s.backoffUntil = time.Time{}
}

// TotalWork returns the work of all daemons at an upstream, as far as this daemon knows.
func (b *Balancer) TotalWork(u *catalog.Upstream, now time.Time) Use {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stateOf(u.Key(), now)
	return s.own.plus(s.peerTotal(now))
}

// Summary is the state of all upstreams together, as far as this daemon knows.
type Summary struct {
	Closed   int // upstreams that get no work now
	Requests int // of all daemons
	Tokens   int // of prompts that wait for their first token, of all daemons
}

// Summary returns the totals over all upstreams.
func (b *Balancer) Summary(now time.Time) Summary {
	b.mu.Lock()
	defer b.mu.Unlock()
	sum := Summary{}
	for _, s := range b.upstreams {
		if s.unavailableFor(now) > 0 {
			sum.Closed++
		}
		all := s.own.plus(s.peerTotal(now))
		sum.Requests += all.Requests
		sum.Tokens += all.Tokens
	}
	return sum
}

// plus returns the sum of both, without Failing and the split by urgency.
func (u *Use) plus(other *Use) Use {
	return Use{
		Requests:     u.Requests + other.Requests,
		NotResumable: u.NotResumable + other.NotResumable,
		Tokens:       u.Tokens + other.Tokens,
	}
}

// isFailing reports whether failingQuorum other daemons report that the upstream
// fails, or one of them does and it fails this daemon too.
func (s *upstreamState) isFailing(now time.Time) bool {
	s.peers.dropExpired(now)
	return s.peers.failing >= failingQuorum || (s.peers.failing > 0 && s.failures > 0)
}

// peerTotal returns the work that other daemons reported.
func (s *upstreamState) peerTotal(now time.Time) *Use {
	s.peers.dropExpired(now)
	return &s.peers.sum
}
