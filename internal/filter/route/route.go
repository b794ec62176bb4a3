// Package route distinguishes model requests from calls to plain services, finds
// the route of a call and checks that the workspace may use it.
package route

import (
	"slices"
	"strings"

	"currantpulley/internal/config"
	"currantpulley/internal/pipe"
	"currantpulley/internal/prompt"
	"currantpulley/internal/refusal"
)

// Filter sets Exchange.Route.
type Filter struct{}

// New returns the filter.
func New() *Filter { return &Filter{} }

// IsModel reports whether path is the path of a model request.
func IsModel(path string) bool {
	return path == prompt.PathCompletions || path == prompt.PathChatCompletions
}

// Request implements pipe.Filter. It refuses requests without a matching route and
// routes that the workspace may not use.
func (f *Filter) Request(x *pipe.Exchange) error {
	if IsModel(x.Path) {
		if x.Method != "POST" {
			return refusal.New(refusal.NoRoute, "%s needs POST", x.Path)
		}
		return nil
	}
	r := Match(x.Snap.Config, x.Method, x.Path)
	if r == nil {
		return refusal.New(refusal.NoRoute, "no route for %s %s", x.Method, x.Path)
	}
	if allowed := x.Workspace.Routes; len(allowed) > 0 && !slices.Contains(allowed, r.Name) {
		return refusal.New(refusal.Forbidden, "the workspace may not use route %q", r.Name)
	}
	x.Route = r
	return nil
}

// Response implements pipe.Filter.
func (f *Filter) Response(*pipe.Exchange) {}

// Match returns the route with the longest matching path prefix that allows
// method, or nil. A prefix matches whole path segments only.
func Match(c *config.Config, method, path string) *config.Route {
	var best *config.Route
	for _, r := range c.Routes {
		if !hasPathPrefix(path, r.Path) || !allowsMethod(r, method) {
			continue
		}
		if best == nil || len(r.Path) > len(best.Path) {
			best = r
		}
	}
	return best
}

func hasPathPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(prefix, "/"))
	return ok && (rest == "" || rest[0] == '/')
}

func allowsMethod(r *config.Route, method string) bool {
	return len(r.Methods) == 0 || slices.Contains(r.Methods, method)
}
