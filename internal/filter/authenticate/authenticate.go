// Package authenticate finds the workspace of a request by its bearer key.
package authenticate

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"sync/atomic"

	"currantpulley/internal/config"
	"currantpulley/internal/pipe"
	"currantpulley/internal/refusal"
)

const scheme = "Bearer "

// Filter sets Exchange.Workspace.
type Filter struct{ index atomic.Pointer[index] }

// index maps key hashes to workspaces for one configuration.
type index struct {
	config *config.Config
	byHash map[string]*config.Workspace
}

// New returns the filter.
func New() *Filter { return &Filter{} }

// Request implements pipe.Filter. It refuses requests without a key or with an
// unknown one.
func (f *Filter) Request(x *pipe.Exchange) error {
	key, ok := strings.CutPrefix(x.Header.Get("Authorization"), scheme)
	if !ok || key == "" {
		return refusal.New(refusal.Unauthorised, "the header Authorization must be %q followed by a key", strings.TrimSpace(scheme))
	}
	sum := sha256.Sum256([]byte(key))
	w, ok := f.indexFor(x.Snap.Config).byHash[hex.EncodeToString(sum[:])]
	if !ok {
		return refusal.New(refusal.Unauthorised, "the key is not known")
	}
	x.Workspace = w
	return nil
}

// Response implements pipe.Filter.
func (f *Filter) Response(*pipe.Exchange) {}

// indexFor returns the index for c. It builds a new one when the configuration has
// changed.
func (f *Filter) indexFor(c *config.Config) *index {
	if i := f.index.Load(); i != nil && i.config == c {
		return i
	}
	i := &index{config: c, byHash: make(map[string]*config.Workspace, len(c.Workspaces))}
	for _, w := range c.Workspaces {
		for _, h := range w.KeySHA256 {
			i.byHash[strings.ToLower(h)] = w
		}
	}
	f.index.Store(i)
	return i
}
