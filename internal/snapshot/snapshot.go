// Package snapshot defines the immutable view of the control state that the request
// filters read. The control goroutine builds a new Snapshot for every change and
// publishes it through a Holder.
package snapshot

import (
	"sync/atomic"
	"time"

	"currantpulley/internal/config"
	"currantpulley/internal/fleet"
)

// Health is the state of an upstream as this daemon knows it. It decides whether
// the upstream gets new requests.
type Health uint8

// Health states of an upstream.
const (
	Unknown Health = iota // no report yet; may get new requests
	Up
	Leaving // gets no new requests
	Loading // is loading weights; gets no new requests
	Down
)

// String returns the name of the state.
func (h Health) String() string {
	switch h {
	case Unknown:
		return "unknown"
	case Up:
		return "up"
	case Leaving:
		return "leaving"
	case Loading:
		return "loading"
	case Down:
		return "down"
	}
	return "invalid"
}

// Load is the last load report of an engine. It may be out of date.
type Load struct {
	Running        int       // requests in prefill or decode
	Queued         int       // requests queued in the engine
	QueuedTokens   int       // prompt tokens queued for prefill
	CachedPieces   int       // pieces in the prefix cache
	CapacityPieces int       // capacity of the prefix cache, in pieces
	At             time.Time // when this daemon received the report; zero if never
}

// Upstream is the configuration of an upstream and its last known state.
type Upstream struct {
	*config.Upstream
	Hash        uint64 // rendezvous.Hash of the name
	Health      Health
	Incarnation string            // incarnation of the engine; empty while unknown
	Weights     map[string]string // weights version that the engine serves, by model
	Load        Load
}

// AcceptsRequests reports whether the upstream may get new requests.
func (u *Upstream) AcceptsRequests() bool {
	return !u.Upstream.Leaving && (u.Health == Up || u.Health == Unknown)
}

// Serves reports whether the engine may serve model at the configured weights
// version. An engine that has not reported a version yet may serve the models that
// are configured for it, since the engine checks the version itself.
func (u *Upstream) Serves(model *config.Model) bool {
	if u.Kind != config.KindEngine {
		return false
	}
	if v, ok := u.Weights[model.Name]; ok {
		return v == model.Weights
	}
	for _, m := range u.Models {
		if m == model.Name {
			return true
		}
	}
	return false
}

// Snapshot is a consistent view of the control state. It is immutable after it is
// published.
type Snapshot struct {
	Version   uint64 // configuration version in force; 0 before the first
	Hash      string // content hash of that configuration
	Config    *config.Config
	Upstreams []*Upstream // sorted by name
	View      fleet.View
	Admitting bool   // whether requests are admitted; false while draining or detached
	Reason    string // why requests are not admitted: "draining" or "detached"
	BuiltAt   time.Time
}

// Holder holds the current Snapshot. It is safe for concurrent use.
type Holder struct{ p atomic.Pointer[Snapshot] }

// Load returns the current snapshot, nil before the first Store.
func (h *Holder) Load() *Snapshot { return h.p.Load() }

// Store makes s the current snapshot.
func (h *Holder) Store(s *Snapshot) { h.p.Store(s) }
