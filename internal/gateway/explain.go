package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"currantpulley/internal/admin"
	"currantpulley/internal/balance"
	"currantpulley/internal/crossing"
	"currantpulley/internal/fairness"
	"currantpulley/internal/freshness"
	"currantpulley/internal/refusal"
	"currantpulley/internal/rendezvous"
)

// ServeExplain answers where the request in the body, an admin.RouteRequest, would go now
// and why. It sends nothing and counts no request.
func (g *Gateway) ServeExplain(w http.ResponseWriter, r *http.Request) {
	var asked admin.RouteRequest
	if err := json.NewDecoder(r.Body).Decode(&asked); err != nil {
		http.Error(w, "malformed request: "+err.Error(), http.StatusBadRequest)
		return
	}
	body, err := json.MarshalIndent(g.Explain(&asked), "", "  ")
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(body, '\n')) // an error means that the caller disconnected
}

// errUnknownWorkspace is the error of a request to explain whose workspace isn't configured.
var errUnknownWorkspace = errors.New("the workspace is not configured")

// Explain returns where a request would go now and why.
func (g *Gateway) Explain(asked *admin.RouteRequest) *admin.RouteExplanation {
	out := &admin.RouteExplanation{Workspace: asked.Workspace}
	q := explained(asked)
	q.snap = g.opts.Watcher.Load()
	if q.snap.Config == nil {
		out.Refusal = refusalOf(refusal.New(refusal.NoConfiguration, "no configuration is in force here yet").WithRetryAfter(noConfigRetryAfter))
		return out
	}
	out.Version = q.snap.Config.Version
	if err := g.resolveExplained(q, asked); err != nil {
		out.Refusal = refusalOf(err)
		return out
	}
	out.Route, out.Service = q.route.Name, q.service.Name
	now := freshness.Time()
	place := g.peekPlace(q, now)
	out.Urgency, out.Share = q.urgency, describeShare(place)
	g.explainChoice(q, asked.BodyBytes, now, out)
	g.explainQuota(q, out)
	return out
}

// explained returns the request that is asked about.
func explained(asked *admin.RouteRequest) *request {
	q := &request{Call: Call{ID: asked.ID, MaxWait: asked.MaxWait}, arrived: time.Now()}
	if p := asked.Prompt; p != nil {
		q.Prompt = &balance.Prompt{Model: p.Model, Tokens: p.Tokens, Output: p.Output}
		q.Tokens, q.HasTokens = p.Tokens+p.Output, true
		for _, part := range p.Parts {
			q.Prompt.Parts = append(q.Prompt.Parts, balance.Part{ID: part.ID, Tokens: part.Tokens})
		}
	}
	return q
}

// resolveExplained finds the route, workspace and service of a request by the workspace's
// name in place of a key.
func (g *Gateway) resolveExplained(q *request, asked *admin.RouteRequest) error {
	if asked.Workspace != "" {
		for key, ws := range q.snap.Config.Workspaces {
			if ws.Name == asked.Workspace {
				q.Key = key
				break
			}
		}
		if q.Key == "" {
			return refusal.New(refusal.Unauthorised, "workspace %s: %v", asked.Workspace, errUnknownWorkspace)
		}
	}
	if g.stopped.Load() {
		return errStopping()
	}
	return g.resolveCall(q, strings.ToLower(asked.Host), asked.Path)
}

// peekPlace sets the urgency that the request would get, see setUrgency.
func (g *Gateway) peekPlace(q *request, now time.Time) fairness.Place {
	q.urgency = urgency(q.route, q.workspace)
	if !q.hasShare() {
		return fairness.Place{Part: 1}
	}
	place := g.opts.Shares.Peek(q.flow(), q.urgency, rendezvous.Hash(q.ID), now)
	q.applyPlace(place)
	return place
}

// describeShare describes a workspace's share; empty: room isn't short.
func describeShare(p fairness.Place) string {
	if p.Level == 0 {
		return ""
	}
	where := "within"
	if p.Behind {
		where = "behind"
	}
	return fmt.Sprintf("%s: %.0f tokens in progress, at most %.0f keep their rank, %.2f of the requests do", where, p.Asked, p.Level, p.Part)
}

// explainChoice adds the choice of an upstream to out, or the refusal.
func (g *Gateway) explainChoice(q *request, bodyBytes int, now time.Time, out *admin.RouteExplanation) {
	work := q.work()
	work.Bytes += bodyBytes
	x := g.opts.Balancer.Explain(q.snap, work, now)
	for i := range x.Candidates {
		out.Candidates = append(out.Candidates, routeCandidate(&x.Candidates[i]))
	}
	if x.Picked == nil {
		out.Refusal = refusalOf(g.noUpstream(work))
		return
	}
	out.Picked, out.Fetch = x.Picked.Upstream.ID, x.Picked.Fetch
	if x.Picked.Left != crossing.Stays {
		out.Left = x.Picked.Left.String()
	}
	if x.Picked.Late > 0 {
		out.Refusal = refusalOf(lateRefusal(x.Picked, work.Left))
	}
}

// routeCandidate returns c for the answer.
func routeCandidate(c *balance.Candidate) admin.RouteCandidate {
	return admin.RouteCandidate{
		Upstream: c.Upstream.ID, DataCentre: c.Upstream.DataCentre, Bar: c.Bar.String(), Closed: c.Closed, Weights: c.Version,
		Owner: c.Owner, Held: c.Held, Fetched: c.Fetched,
		Score: c.Score, Wait: c.Wait, Ahead: c.Ahead, Crossing: c.Crossing, Affinity: c.Affinity,
		First: c.Expected.First, Whole: c.Expected.Whole, Learnt: c.Expected.Learnt, Late: c.Late,
	}
}

// refusalOf returns err for the answer.
func refusalOf(err error) *admin.RouteRefusal {
	r := refusal.From(err)
	out := &admin.RouteRefusal{Code: string(r.Code), Message: r.Message, RetryAfter: r.RetryAfter}
	if r.Err != nil {
		out.Cause = r.Err.Error()
	}
	return out
}
