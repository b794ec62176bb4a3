package catalog

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"currantpulley/internal/freshness"
)

// Snapshot is an immutable view of the catalog.
type Snapshot struct {
	Config *Config // nil until the first configuration is in force
	// LongestStream is the longest timeout that a route of resumable streams has had in
	// any configuration that was in force: a caller may take its stream up so long after
	// it began.
	LongestStream time.Duration
	Upstreams     map[string]*Upstream
	Weights       map[string]WeightsTarget // by model
	byService     map[string][]*Upstream
	byShortID     map[uint32]*Upstream
	addresses     map[string]*Upstream // see AtAddress
	shared        bool                 // some upstreams have an address in common
}

// UpstreamsOf returns the upstreams of a service, sorted by id and including
// those that are leaving.
func (s *Snapshot) UpstreamsOf(service string) []*Upstream { return s.byService[service] }

// ByShortID returns the upstream with the 32-bit id shortID, or nil if there
// is none.
func (s *Snapshot) ByShortID(shortID uint32) *Upstream { return s.byShortID[shortID] }

// AtAddress returns the upstream of a configured service that has the address,
// host:port, or nil. If there are several, it is the one that started last.
func (s *Snapshot) AtAddress(address string) *Upstream { return s.addresses[address] }

// IsReplaced reports whether another upstream has u's address and started later: u has
// ended, and what is sent to its address reaches the other one.
func (s *Snapshot) IsReplaced(u *Upstream) bool {
	if !s.shared {
		return false
	}
	newest := s.addresses[u.Address]
	return newest != nil && newest.Started > u.Started
}

// Watcher applies updates from providers to the current snapshot and tells
// readers of changes. It is safe for concurrent use.
type Watcher struct {
	mu      sync.Mutex
	current atomic.Pointer[Snapshot]
	changed chan struct{}
	builds  map[string]buildHistory // by service
	now     func() time.Time        // counts time in suspend
}

// NewWatcher returns a watcher with an empty snapshot.
func NewWatcher() *Watcher {
	w := &Watcher{changed: make(chan struct{}), builds: make(map[string]buildHistory), now: freshness.Time}
	w.current.Store(&Snapshot{})
	return w
}

// Load returns the current snapshot.
func (w *Watcher) Load() *Snapshot { return w.current.Load() }

// Changed returns a channel that is closed at the next update, even if that changes
// nothing.
func (w *Watcher) Changed() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changed
}

// SetConfig puts a configuration in force unless its version is older than that
// of the current one. It reports whether c is now in force.
func (w *Watcher) SetConfig(c *Config) bool {
	taken := false
	w.update(func(s *Snapshot) {
		if s.Config != nil && c.Version < s.Config.Version {
			return
		}
		s.Config = c
		s.LongestStream = max(s.LongestStream, c.longestStream())
		s.index()
		taken = true
	})
	return taken
}

// SetTarget sets the target weights version of a model, unless it is already at
// this version or a newer one. It reports whether the target changed.
func (w *Watcher) SetTarget(model string, a Announcement) bool {
	return w.setTarget(model, announcement{Announcement: a})
}

// SetEstimatedTarget is SetTarget for a version whose time of announcement is
// not known; at is an estimate.
func (w *Watcher) SetEstimatedTarget(model string, version uint64, at time.Time) bool {
	return w.setTarget(model, announcement{Announcement: Announcement{Version: version, At: at}, estimated: true})
}

// setTarget makes n the newest announcement of a model unless its version is
// not newer than the target. It reports whether the target changed.
func (w *Watcher) setTarget(model string, n announcement) bool {
	taken := false
	w.update(func(s *Snapshot) {
		if s.Weights[model].Version >= n.Version {
			return
		}
		s.setWeights(model, s.Weights[model].withNewest(n))
		taken = true
	})
	return taken
}

// LearnAnnouncement records the time at which a version was announced, as
// reported by another daemon, if it is better than what is known here. It never
// changes the target version.
func (w *Watcher) LearnAnnouncement(model string, a Announcement) {
	if _, changed := w.Load().Weights[model].withTime(a); !changed {
		return
	}
	w.update(func(s *Snapshot) {
		if target, better := s.Weights[model].withTime(a); better {
			s.setWeights(model, target)
		}
	})
}

// setWeights sets a model's target in a copy of the map, which older snapshots
// share.
func (s *Snapshot) setWeights(model string, target WeightsTarget) {
	s.Weights = maps.Clone(s.Weights)
	if s.Weights == nil {
		s.Weights = make(map[string]WeightsTarget)
	}
	s.Weights[model] = target
}

// PutUpstream adds or replaces an upstream. The caller must not change u
// afterwards.
func (w *Watcher) PutUpstream(u *Upstream) {
	u.shortID, u.build = u.Key().ShortID(), BuildOf(u.Service, u.Software)
	w.update(func(s *Snapshot) {
		w.recordRemoved(s.Upstreams[u.ID])
		w.recordAdded(u.Service)
		s.Upstreams = maps.Clone(s.Upstreams)
		if s.Upstreams == nil {
			s.Upstreams = make(map[string]*Upstream)
		}
		s.Upstreams[u.ID] = u
		s.index()
	})
}

// RemoveUpstream removes an upstream and reports whether it existed.
func (w *Watcher) RemoveUpstream(id string) bool {
	removed := false
	w.update(func(s *Snapshot) {
		if s.Upstreams[id] == nil {
			return
		}
		removed = true
		w.recordRemoved(s.Upstreams[id])
		s.Upstreams = maps.Clone(s.Upstreams)
		delete(s.Upstreams, id)
		s.index()
	})
	return removed
}

// index rebuilds the indexes of upstreams by service, by 32-bit id and by address.
func (s *Snapshot) index() {
	s.byService = make(map[string][]*Upstream)
	s.byShortID = make(map[uint32]*Upstream, len(s.Upstreams))
	s.addresses = make(map[string]*Upstream, len(s.Upstreams))
	s.shared = false
	for _, u := range s.Upstreams {
		s.indexAddress(u)
		s.byShortID[u.ShortID()] = u
		s.byService[u.Service] = append(s.byService[u.Service], u)
	}
	for _, list := range s.byService {
		slices.SortFunc(list, func(a, b *Upstream) int { return cmp.Compare(a.ID, b.ID) })
	}
}

// indexAddress adds u to the index of upstreams by address, unless no service of the
// configuration has it: such an upstream takes nobody's address.
func (s *Snapshot) indexAddress(u *Upstream) {
	if s.Config != nil && s.Config.Services[u.Service] == nil {
		return
	}
	other := s.addresses[u.Address]
	s.shared = s.shared || other != nil
	if other == nil || other.Started < u.Started {
		s.addresses[u.Address] = u
	}
}

// update replaces the current snapshot by a copy changed by f, and tells readers.
// f must not change maps that the copy shares with the old snapshot.
func (w *Watcher) update(f func(*Snapshot)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	next := *w.current.Load()
	f(&next)
	w.current.Store(&next)
	close(w.changed)
	w.changed = make(chan struct{})
}
