package decide

import (
	"time"

	"currantpulley/internal/config"
	"currantpulley/internal/pipe"
	"currantpulley/internal/prompt"
	"currantpulley/internal/refusal"
	"currantpulley/internal/snapshot"
)

// Candidate is one upstream considered for a prompt, as Explain reports it.
type Candidate struct {
	Upstream     string        `json:"upstream"`
	Owner        int           `json:"owner"` // rank among the prefix's owners; -1: none
	CachedTokens int           `json:"cached_tokens"`
	Expected     time.Duration `json:"expected_ttft_ns"`
	Load         float64       `json:"load"`     // requests in flight, estimated
	Window       float64       `json:"window"`   // requests in flight allowed
	Slowness     float64       `json:"slowness"` // its token interval divided by the usual one
	Excluded     string        `json:"out"`      // why it gets no work now; empty: it is eligible
}

// Explanation reports the placement decision for a prompt and its reason.
type Explanation struct {
	Model      string      `json:"model"`
	Workspace  string      `json:"workspace"`
	Class      string      `json:"class"`
	Level      int         `json:"level"`   // prefix level whose owners are used; -1: none
	Share      float64     `json:"share"`   // fraction of recent requests that have this prefix
	Owners     int         `json:"owners"`  // number of owners for this share
	Waiting    int         `json:"waiting"` // requests in the queue
	Candidates []Candidate `json:"candidates"`
	Picked     string      `json:"picked"` // empty: no upstream is eligible
	Reason     string      `json:"reason"`

	Wait       time.Duration `json:"wait_ns"`                  // expected in the queue of this daemon
	Refusal    string        `json:"refusal,omitempty"`        // that the request would get; empty: none
	RetryAfter time.Duration `json:"retry_after_ns,omitempty"` // of the refusal
}

// Explain returns the decision that a prompt would get now. It reserves nothing
// and does not count as demand.
func (s *Scheduler) Explain(snap *snapshot.Snapshot, p *prompt.Prompt, workspace string) Explanation {
	return s.ExplainWithin(snap, p, workspace, 0)
}

// ExplainWithin is Explain for a caller that waits so long for the first token; 0: any time.
// Limits of workspaces are not part of it.
func (s *Scheduler) ExplainWithin(snap *snapshot.Snapshot, p *prompt.Prompt, workspace string, maxWait time.Duration) Explanation {
	now := s.clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.syncSnapshot(snap, now)
	out := Explanation{Model: p.Scope.Model, Workspace: workspace, Class: pipe.Short.String(), Level: -1, Waiting: s.queue.Len()}
	model, ok := s.fleet.snap.Config.Models[p.Scope.Model]
	if !ok {
		out.Reason = "the model is not configured"
		return out
	}
	w := newWork(model, p, float64(max(p.MaxOutput, 0)))
	d := s.choose(&w, nil, now, nil)
	out.Level, out.Share, out.Owners = w.level, d.share, d.ownerCount
	for i := range d.candidates {
		out.Candidates = append(out.Candidates, s.explainCandidate(&d.candidates[i], now))
	}
	out.Candidates = append(out.Candidates, s.unavailable(model)...)
	if d.best == nil {
		out.Reason = "no upstream of the model accepts requests"
		out.Refusal, out.RetryAfter = string(refusal.NoUpstream), noUpstreamRetryAfter
		return out
	}
	uncached := w.promptTokens - d.best.cached
	if limit := s.fleet.snap.Config.Admission.LongTokens; limit > 0 && uncached+w.outputTokens >= float64(limit) {
		out.Class = pipe.Long.String()
		w.long = true
	}
	out.Picked = d.best.up.snap.Name
	out.Reason = reasonOf(d.best, d.ownerCount)
	s.explainAdmission(&out, &w, d.best, maxWait, now)
	return out
}

// explainAdmission adds to out how long the work would wait at this daemon, and the refusal
// that it would get; see submit.
func (s *Scheduler) explainAdmission(out *Explanation, w *work, best *candidate, maxWait time.Duration, now time.Time) {
	t := &ticket{scheduler: s, x: &pipe.Exchange{Workspace: s.fleet.snap.Config.Workspaces[out.Workspace]}, work: *w}
	if maxWait > 0 {
		t.x.Deadline = now.Add(maxWait)
	}
	direct := s.queue.Len() == 0 && best.hasRoom
	if !direct {
		out.Wait = s.queue.Wait(s.newItem(t, best, now), func(o *ticket) bool { return o.target == best.up }, now)
	}
	switch {
	case !meetsDeadline(t, best, out.Wait, now):
		out.Refusal = string(refusal.DeadlineUnmeetable)
	case !direct && s.queue.Len() >= s.fleet.snap.Config.Admission.QueueMax:
		out.Refusal = string(refusal.Overloaded)
	default:
		return
	}
	out.RetryAfter = s.retryAfter()
}

func (s *Scheduler) explainCandidate(c *candidate, now time.Time) Candidate {
	return Candidate{
		Upstream:     c.up.snap.Name,
		Owner:        c.rank,
		CachedTokens: int(c.cached),
		Expected:     c.ttft,
		Load:         c.up.load.InFlight(s.fleet.growth(now), now),
		Window:       c.up.window.Size(),
		Slowness:     c.up.speed.Ratio(),
		Excluded:     exclusionReason(c),
	}
}

func exclusionReason(c *candidate) string {
	switch {
	case c.up.speed.Slow():
		return "slow: gets only probes"
	case !c.hasRoom:
		return "no room"
	}
	return ""
}

// unavailable returns the engines of the model that accept no requests now.
func (s *Scheduler) unavailable(model *config.Model) []Candidate {
	var out []Candidate
	for _, u := range s.fleet.engines {
		if !u.snap.AcceptsRequests() && u.snap.Serves(model) {
			out = append(out, Candidate{Upstream: u.snap.Name, Owner: -1, Slowness: u.speed.Ratio(), Excluded: stateOf(u.snap)})
		}
	}
	return out
}

func stateOf(su *snapshot.Upstream) string {
	if su.Leaving {
		return snapshot.Leaving.String()
	}
	return su.Health.String()
}
