// Package parse is the filter that parses model requests, splits their prompt into
// pieces and sets the deadline and priority of requests.
package parse

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"currantpulley/internal/config"
	"currantpulley/internal/filter/route"
	"currantpulley/internal/pipe"
	"currantpulley/internal/prompt"
	"currantpulley/internal/refusal"
)

// Request headers in which callers give a deadline, in milliseconds, and a
// priority, from 0 to 100.
const (
	HeaderDeadline = "X-Deadline-Ms"
	HeaderPriority = "X-Priority"
)

const priorityMax = 100 // largest priority that a caller may give

// Filter sets Exchange.Model, Prompt, Deadline and Priority. Calls to plain
// services get a deadline only.
type Filter struct {
	large sync.Mutex // held while a large body is parsed, which takes several times its size
}

// largeBody is the size in bytes from which bodies are parsed one at a time.
const largeBody = 1 << 20

// New returns the filter.
func New() *Filter { return &Filter{} }

// Request implements pipe.Filter. It refuses malformed headers and bodies, and
// models that are not configured or that the workspace may not use.
func (f *Filter) Request(x *pipe.Exchange) error {
	if err := setDeadline(x); err != nil {
		return err
	}
	if !route.IsModel(x.Path) {
		return nil
	}
	if err := setPriority(x); err != nil {
		return err
	}
	r, err := f.parse(x)
	if err != nil {
		return refusal.New(refusal.BadRequest, "%v", err)
	}
	m, err := lookUpModel(x, r)
	if err != nil {
		return err
	}
	x.Model = m
	scope := prompt.Scope{Workspace: x.Workspace.Name, Model: m.Name, Adapter: r.Adapter, Weights: m.Weights}
	x.Prompt = prompt.New(r, scope, m.PieceTokens)
	return nil
}

// Response implements pipe.Filter.
func (f *Filter) Response(*pipe.Exchange) {}

// parse parses the body of a model request.
func (f *Filter) parse(x *pipe.Exchange) (*prompt.Request, error) {
	if len(x.Body) >= largeBody {
		f.large.Lock()
		defer f.large.Unlock()
	}
	return prompt.ParseRequest(x.Path, x.Body)
}

func lookUpModel(x *pipe.Exchange, r *prompt.Request) (*config.Model, error) {
	m, ok := x.Snap.Config.Models[r.Model]
	if !ok {
		return nil, refusal.New(refusal.ModelNotFound, "model %q does not exist", r.Model)
	}
	if r.Adapter != "" && !slices.Contains(m.Adapters, r.Adapter) {
		return nil, refusal.New(refusal.ModelNotFound, "model %q has no adapter %q", r.Model, r.Adapter)
	}
	if allowed := x.Workspace.Models; len(allowed) > 0 && !slices.Contains(allowed, m.Name) {
		return nil, refusal.New(refusal.Forbidden, "the workspace may not use model %q", m.Name)
	}
	return m, nil
}

func setDeadline(x *pipe.Exchange) error {
	limits := x.Snap.Config.Caller
	wait := limits.Deadline.Std()
	if h := x.Header.Get(HeaderDeadline); h != "" {
		ms, err := strconv.ParseInt(h, 10, 32)
		if err != nil || ms <= 0 {
			return refusal.New(refusal.BadRequest, "header %s must be a positive number of milliseconds, not %q", HeaderDeadline, h)
		}
		wait = time.Duration(ms) * time.Millisecond
	}
	if limits.DeadlineMax > 0 {
		wait = min(wait, limits.DeadlineMax.Std())
	}
	x.Deadline = x.Arrived.Add(wait)
	return nil
}

func setPriority(x *pipe.Exchange) error {
	h := x.Header.Get(HeaderPriority)
	if h == "" {
		return nil
	}
	p, err := strconv.Atoi(h)
	if err != nil || p < 0 || p > priorityMax {
		return refusal.New(refusal.BadRequest, "header %s must be a whole number from 0 to %d, not %q", HeaderPriority, priorityMax, h)
	}
	x.Priority = p
	return nil
}
