package daemon

import (
	"slices"
	"strings"
	"time"

	"currantpulley/internal/config"
	"currantpulley/internal/fleet"
	"currantpulley/internal/rendezvous"
	"currantpulley/internal/snapshot"
)

// Reasons for which a daemon admits no requests.
const (
	reasonDraining = "draining"
	reasonDetached = "detached"
)

// state holds the data from which snapshots are built. Only the control goroutine
// uses it.
type state struct {
	holder   *snapshot.Holder
	version  uint64
	hash     string
	config   *config.Config
	view     fleet.View
	reports  map[string]upstreamReport // by upstream
	draining bool
	detached bool
}

// upstreamReport is the last known state of an upstream.
type upstreamReport struct {
	health      snapshot.Health
	incarnation string
	weights     map[string]string
	load        snapshot.Load
}

// newState returns a state that publishes its snapshots in holder.
func newState(holder *snapshot.Holder) *state {
	return &state{holder: holder, reports: make(map[string]upstreamReport)}
}

// publish builds a snapshot and makes it current. It does nothing before the first
// configuration.
func (s *state) publish(now time.Time) {
	if s.config == nil {
		return
	}
	snap := &snapshot.Snapshot{
		Version:   s.version,
		Hash:      s.hash,
		Config:    s.config,
		Upstreams: s.upstreams(),
		View:      s.view,
		Admitting: true,
		BuiltAt:   now,
	}
	switch {
	case s.draining:
		snap.Admitting, snap.Reason = false, reasonDraining
	case s.detached:
		snap.Admitting, snap.Reason = false, reasonDetached
	}
	s.holder.Store(snap)
}

// upstreams returns the configured upstreams with their last known states, sorted
// by name.
func (s *state) upstreams() []*snapshot.Upstream {
	list := make([]*snapshot.Upstream, 0, len(s.config.Upstreams))
	for _, c := range s.config.Upstreams {
		r := s.reports[c.Name]
		list = append(list, &snapshot.Upstream{
			Upstream:    c,
			Hash:        rendezvous.Hash(c.Name),
			Health:      r.health,
			Incarnation: r.incarnation,
			Weights:     r.weights,
			Load:        r.load,
		})
	}
	slices.SortFunc(list, func(a, b *snapshot.Upstream) int { return strings.Compare(a.Name, b.Name) })
	return list
}
