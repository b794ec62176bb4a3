// Package traffic records which kinds of requests a daemon served recently, and
// checks what a new configuration would break for them.
package traffic

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"currantpulley/internal/config"
	"currantpulley/internal/pipe"
)

const (
	maxKinds     = 8192             // combinations of a workspace and a model, or a route and method
	rateWindow   = time.Minute      // window over which rates are measured
	recentPeriod = 10 * time.Minute // for which a request counts as recent
)

// requestKind is a kind of request: a workspace with a model, or with a route
// and a method.
type requestKind struct {
	workspace  string
	model      string // empty for routes
	path       string // of the route
	method     string
	atMostOnce bool // the route was not repeatable when the request was served
}

// count holds the numbers of requests and tokens of one kind in the current window
// and the one before.
type count struct {
	windowStart                time.Time // start of the current window
	requests, previousRequests float64
	tokens, previousTokens     float64
	last                       time.Time
}

// Traffic is a pipe.Filter that records requests in bounded memory. It is safe for
// concurrent use.
type Traffic struct {
	now     func() time.Time
	daemons func() int

	mu     sync.Mutex
	counts *simplelru.LRU[requestKind, *count]
}

var _ pipe.Filter = (*Traffic)(nil)

// New returns an empty Traffic. The function daemons must return the number of
// live daemons of the site, among which requests are distributed, and be safe
// for concurrent use. A nil now means time.Now.
func New(daemons func() int, now func() time.Time) *Traffic {
	if now == nil {
		now = time.Now
	}
	counts, err := simplelru.NewLRU[requestKind, *count](maxKinds, nil)
	if err != nil {
		panic(err) // the size is positive
	}
	return &Traffic{now: now, daemons: daemons, counts: counts}
}

// Request implements pipe.Filter.
func (t *Traffic) Request(*pipe.Exchange) error { return nil }

// Response implements pipe.Filter. It records requests that were sent to an
// upstream. Refused requests are left out, as they don't show what has to keep
// working.
func (t *Traffic) Response(x *pipe.Exchange) {
	if x.Workspace == nil || len(x.Attempts) == 0 {
		return
	}
	k := requestKind{workspace: x.Workspace.Name}
	switch {
	case x.Model != nil:
		k.model = x.Model.Name
	case x.Route != nil:
		k.path, k.method, k.atMostOnce = x.Route.Path, x.Method, !x.Route.Repeatable
	default:
		return
	}
	last := x.Attempts[len(x.Attempts)-1]
	t.add(k, float64(last.PromptTokens+last.OutputTokens))
}

// add counts one request.
func (t *Traffic) add(k requestKind, tokens float64) {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := t.counts.Get(k)
	if !ok {
		c = &count{windowStart: now}
		t.counts.Add(k, c)
	}
	c.rotate(now)
	c.requests++
	c.tokens += tokens
	c.last = now
}

// rotate starts a new window if the current one is over.
func (c *count) rotate(now time.Time) {
	age := now.Sub(c.windowStart)
	if age < rateWindow {
		return
	}
	c.previousRequests, c.previousTokens = c.requests, c.tokens
	if age >= 2*rateWindow {
		c.previousRequests, c.previousTokens = 0, 0
	}
	c.windowStart, c.requests, c.tokens = now, 0, 0
}

// recent is a kind of request with its rate at this daemon.
type recent struct {
	requestKind
	requests, tokens float64 // per minute; the larger of the two windows
}

// recent returns the kinds of requests served within recentPeriod.
func (t *Traffic) recent() []recent {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []recent
	for _, k := range t.counts.Keys() {
		c, _ := t.counts.Peek(k)
		if now.Sub(c.last) > recentPeriod {
			continue
		}
		c.rotate(now)
		out = append(out, recent{k, max(c.requests, c.previousRequests), max(c.tokens, c.previousTokens)})
	}
	return out
}

// Check returns the problems that a change from before to after would cause for
// recent requests. File and Line of the problems are not set.
func (t *Traffic) Check(before, after *config.Config) []config.Problem {
	var found problems
	total := make(map[string]*recent)
	for _, r := range t.recent() {
		w := after.Workspaces[r.workspace]
		if w == nil {
			found.add("workspaces."+r.workspace, "this workspace sent requests within the last %s; they would be refused", recentPeriod)
			continue
		}
		found.checkTarget(r.requestKind, w, after)
		sum := total[r.workspace]
		if sum == nil {
			sum = &recent{requestKind: r.requestKind}
			total[r.workspace] = sum
		}
		sum.requests += r.requests
		sum.tokens += r.tokens
	}
	for name, sum := range total {
		if old := before.Workspaces[name]; old != nil {
			found.checkKeys(old, after.Workspaces[name])
			found.checkLimits(*sum, float64(max(t.daemons(), 1)), old, after.Workspaces[name])
		}
	}
	return found.sorted()
}

// problems collects the results of Check.
type problems []config.Problem

// add adds a problem with the configuration key.
func (ps *problems) add(key, format string, args ...any) {
	*ps = append(*ps, config.Problem{Key: key, Message: fmt.Sprintf(format, args...)})
}

// sorted returns the problems sorted by key and message, without duplicates.
func (ps *problems) sorted() []config.Problem {
	slices.SortFunc(*ps, func(a, b config.Problem) int {
		return strings.Compare(a.Key+a.Message, b.Key+b.Message)
	})
	return slices.Compact(*ps)
}

// checkTarget adds the problem that after would cause for requests of one kind.
func (ps *problems) checkTarget(k requestKind, w *config.Workspace, after *config.Config) {
	if k.model == "" {
		ps.checkRoute(k, w, after)
		return
	}
	switch {
	case after.Models[k.model] == nil:
		ps.add("models."+k.model, "workspace %q used this model within the last %s; its requests would be refused", w.Name, recentPeriod)
	case len(w.Models) > 0 && !slices.Contains(w.Models, k.model):
		ps.add("workspaces."+w.Name+".models", "model %q was used within the last %s; requests would be refused", k.model, recentPeriod)
	case !servedBy(after, func(up *config.Upstream) bool { return slices.Contains(up.Models, k.model) }):
		ps.add("models."+k.model, "workspace %q used this model within the last %s; no upstream would be left", w.Name, recentPeriod)
	}
}

// checkRoute is checkTarget for requests to a route.
func (ps *problems) checkRoute(k requestKind, w *config.Workspace, after *config.Config) {
	r := findRoute(after, k)
	switch {
	case r == nil:
		ps.add("routes", "%s %s was used by workspace %q within the last %s; it would have no route", k.method, k.path, w.Name, recentPeriod)
	case len(w.Routes) > 0 && !slices.Contains(w.Routes, r.Name):
		ps.add("workspaces."+w.Name+".routes", "%s %s was used within the last %s; route %q is not allowed", k.method, k.path, recentPeriod, r.Name)
	case k.atMostOnce && r.Repeatable:
		ps.add("routes."+r.Name+".repeatable", "calls of %s %s currently run at most once; they could run twice", k.method, k.path)
	case !servedBy(after, func(up *config.Upstream) bool { return up.Service == r.Service }):
		ps.add("routes."+r.Name+".service", "%s %s was used within the last %s; no upstream would be left", k.method, k.path, recentPeriod)
	}
}

// servedBy reports whether c has an upstream that serves and is not leaving.
func servedBy(c *config.Config, serves func(*config.Upstream) bool) bool {
	for _, u := range c.Upstreams {
		if !u.Leaving && serves(u) {
			return true
		}
	}
	return false
}

// findRoute returns the route in c that would handle requests of kind k, or nil.
func findRoute(c *config.Config, k requestKind) *config.Route {
	for _, r := range c.Routes {
		if slices.Contains(r.Methods, k.method) && (r.Path == k.path || strings.HasPrefix(k.path, strings.TrimSuffix(r.Path, "/")+"/")) {
			return r
		}
	}
	return nil
}

// checkKeys adds a problem if none of the workspace's keys stays valid.
func (ps *problems) checkKeys(before, after *config.Workspace) {
	for _, hash := range before.KeySHA256 {
		if slices.Contains(after.KeySHA256, hash) {
			return
		}
	}
	ps.add("workspaces."+after.Name+".key_sha256", "none of the workspace's current keys would be accepted; keep one until all callers have the new one")
}

// checkLimits adds a problem for each lowered limit that is below the recent rate.
// The rate of the site is estimated as that of this daemon times the number of
// daemons.
func (ps *problems) checkLimits(r recent, daemons float64, before, after *config.Workspace) {
	requests := r.requests * daemons / rateWindow.Seconds()
	if after.RequestsPerSecond < before.RequestsPerSecond && requests > after.RequestsPerSecond {
		ps.add("workspaces."+after.Name+".requests_per_second", "the workspace currently sends about %.1f requests per second; the limit would be %g", requests, after.RequestsPerSecond)
	}
	tokens := r.tokens * daemons
	if after.TokensPerMinute < before.TokensPerMinute && tokens > after.TokensPerMinute {
		ps.add("workspaces."+after.Name+".tokens_per_minute", "the workspace currently uses about %.0f tokens per minute; the limit would be %g", tokens, after.TokensPerMinute)
	}
}
