package gateway

import (
	"context"
	"fmt"
	"time"

	"currantpulley/internal/admin"
	"currantpulley/internal/catalog"
	"currantpulley/internal/quota"
	"currantpulley/internal/refusal"
)

// Quotas bounds what workspaces take from all daemons together.
type Quotas interface {
	// Refusal returns the time until the quota covers a request if one like it was just
	// refused, else 0.
	Refusal(w *catalog.Workspace, amount float64) time.Duration
	// Charge charges a request. If the quota doesn't cover it, it returns the time until
	// it does.
	Charge(ctx context.Context, w *catalog.Workspace, amount float64) (c quota.Charge, wait time.Duration, ok bool)
	// Covers reports whether a request would be charged now, and if not, the time until
	// it would. It charges nothing.
	Covers(ctx context.Context, w *catalog.Workspace, amount float64) (wait time.Duration, ok bool)
	// Return gives back the charge of a request that did not run.
	Return(c quota.Charge)
	// Owe charges a run that follows another of the same request.
	Owe(w *catalog.Workspace, amount float64)
}

// quotaCost returns what the request takes from its workspace's quota; 0: nothing.
func (g *Gateway) quotaCost(q *request) float64 {
	if g.opts.Quotas == nil || q.workspace == nil || !q.workspace.Quota.Limited() {
		return 0
	}
	return q.workspace.Quota.Cost(q.Tokens, q.HasTokens)
}

// checkQuota refuses a request whose workspace was just refused one like it, before any
// work is done for it.
func (g *Gateway) checkQuota(q *request) error {
	cost := g.quotaCost(q)
	if cost <= 0 {
		return nil
	}
	if wait := g.opts.Quotas.Refusal(q.workspace, cost); wait > 0 {
		return g.overQuota(q, wait)
	}
	return nil
}

// charge charges the request's first send to its workspace's quota. A send after a run
// is owed: the request may not be left half done.
func (g *Gateway) charge(q *request) error {
	cost := g.quotaCost(q)
	if cost <= 0 {
		return nil
	}
	if q.charge.At.IsZero() {
		c, wait, ok := g.opts.Quotas.Charge(q.ctx, q.workspace, cost)
		if !ok && q.callerCtx.Err() != nil {
			return errCallerGone
		}
		if !ok {
			return g.overQuota(q, wait)
		}
		q.charge = c
	} else if q.runs > 0 {
		g.opts.Quotas.Owe(q.workspace, cost)
	}
	return nil
}

// overQuota returns the refusal of a request that its workspace's quota covers only
// after wait.
func (g *Gateway) overQuota(q *request, wait time.Duration) error {
	g.opts.Metrics.OverQuota(q.workspace.Name)
	return quotaRefusal(wait)
}

// quotaRefusal returns the refusal of a request that its quota covers only after wait.
func quotaRefusal(wait time.Duration) *refusal.Error {
	return refusal.New(refusal.RateLimited, "the workspace is over its quota").WithRetryAfter(max(minRetryAfter, wait))
}

// settleQuota gives the charge back if the request did not run.
func (g *Gateway) settleQuota(q *request) {
	if q.runs == 0 && !q.charge.At.IsZero() {
		g.opts.Quotas.Return(q.charge)
	}
}

// explainQuota adds what the request would take from its workspace's quota to out, and
// the refusal if the quota doesn't cover it.
func (g *Gateway) explainQuota(q *request, out *admin.RouteExplanation) {
	cost := g.quotaCost(q)
	if cost <= 0 {
		return
	}
	out.Quota = fmt.Sprintf("%v, of which the request takes %g", q.workspace.Quota, cost)
	wait, ok := g.opts.Quotas.Covers(context.Background(), q.workspace, cost)
	if !ok && out.Refusal == nil {
		out.Refusal = refusalOf(quotaRefusal(wait))
	}
}
