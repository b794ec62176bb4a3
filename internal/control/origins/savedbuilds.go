package origins

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"currantpulley/internal/catalog"
	"currantpulley/internal/event"
	"currantpulley/internal/failure"
	"currantpulley/internal/fleet"
)

const (
	// savePeriod is the time between two checks for builds to save, and between two
	// tries to save one.
	savePeriod = time.Second
	// saveDelay is the time from a daemon's start until it saves builds. Before, it
	// may not know that another daemon is responsible.
	saveDelay = 3 * time.Second
	// saveAgain is the time after which a build is saved again, in case the store
	// lost it unnoticed.
	saveAgain = time.Minute
	// forgetAfter is the time after which a build without upstreams is deleted. No
	// stream that it began can still be resumed.
	forgetAfter = 5 * time.Minute
	// keptFor is the time after which a build without upstreams no longer counts as
	// kept. It is shorter than forgetAfter, so that no daemon relies on a build that
	// another one has just deleted.
	keptFor      = forgetAfter / 2
	storeTimeout = 2 * time.Second
	// changePause collects the changes of upstreams that come in quick succession.
	changePause = 50 * time.Millisecond
)

// SavedBuild is a build that upstreams of a service ran lately.
type SavedBuild struct {
	Service string
	Build   catalog.Build
}

// BuildStore keeps builds beyond the life of all daemons. Its calls may be repeated.
type BuildStore interface {
	// Load returns the builds that were saved and not deleted.
	Load(ctx context.Context) ([]SavedBuild, error)
	// Save saves a build, or deletes it if it is not to be kept.
	Save(ctx context.Context, b SavedBuild, kept bool) error
}

// savedBuilds keeps the builds of all upstreams in a BuildStore. Of each build one daemon
// is in charge, which the others ask to save it.
type savedBuilds struct {
	store    BuildStore
	watcher  *catalog.Watcher
	recorder event.Recorder
	self     string
	view     func() fleet.View
	restored <-chan struct{} // delivers a value after the store was restored from a copy
	// ask makes another daemon save a build and returns once it did.
	ask func(ctx context.Context, vm fleet.VM, b SavedBuild) error

	loaded atomic.Pointer[map[SavedBuild]bool]    // at the start of this daemon; nil: not yet
	kept   atomic.Pointer[map[catalog.Build]bool] // known to be in the store; the map is never changed

	mu      sync.Mutex               // held while a build is saved
	savedAt map[SavedBuild]time.Time // when this daemon saved a build
	seenAt  map[SavedBuild]time.Time // when an upstream last ran it
}

// run loads the builds, then saves changes until ctx ends.
func (s *savedBuilds) run(ctx context.Context) {
	started := time.Now()
	ticker := time.NewTicker(savePeriod)
	defer ticker.Stop()
	for {
		changed := s.watcher.Changed()
		maySave := time.Since(started) >= saveDelay
		if s.loaded.Load() == nil {
			s.load(ctx)
		}
		if !maySave || !s.keepAll(ctx) {
			changed = nil // the next try waits
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if maySave {
				s.saveChanges(ctx, time.Now())
			}
		case <-changed:
			time.Sleep(changePause)
		case <-s.restored:
			s.forgetKept()
		}
	}
}

// load reads the builds that were known when this daemon started.
func (s *savedBuilds) load(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	builds, err := s.store.Load(ctx)
	if err != nil {
		s.recorder.Record(event.Event{ID: event.BuildsNotStored, Step: "load builds", Err: failure.At("load builds", "store", err)})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	loaded := make(map[SavedBuild]bool, len(builds))
	kept := make(map[catalog.Build]bool, len(builds))
	for _, b := range builds {
		loaded[b], kept[b.Build] = true, true
		s.seenAt[b] = time.Now()
	}
	s.kept.Store(&kept)
	s.loaded.Store(&loaded)
}

// running returns the builds that upstreams run, but for those of services that are not
// configured.
func (s *savedBuilds) running() map[SavedBuild]bool {
	builds := make(map[SavedBuild]bool)
	snap := s.watcher.Load()
	for _, u := range snap.Upstreams {
		if snap.Config == nil || snap.Config.Services[u.Service] != nil {
			builds[SavedBuild{u.Service, u.Build()}] = true
		}
	}
	return builds
}

// isKept reports whether a build is known to be in the store.
func (s *savedBuilds) isKept(b catalog.Build) bool {
	kept := s.kept.Load()
	return kept != nil && (*kept)[b]
}

// setKept notes whether a build is in the store. s.mu is held.
func (s *savedBuilds) setKept(b catalog.Build, isKept bool) {
	kept := make(map[catalog.Build]bool)
	if known := s.kept.Load(); known != nil {
		kept = maps.Clone(*known)
	}
	delete(kept, b)
	if isKept {
		kept[b] = true
	}
	s.kept.Store(&kept)
}

// forgetKept makes all builds count as not kept, so that those that the store has lost
// are saved again.
func (s *savedBuilds) forgetKept() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kept.Store(nil)
	clear(s.savedAt)
}

// keepAll gets each build that an upstream runs and that is not known to be in the
// store saved, by the daemon in charge or, if that fails, by this one. It reports
// whether all are there now.
func (s *savedBuilds) keepAll(ctx context.Context) bool {
	live := s.view().Live()
	all := true
	for b := range s.running() {
		if s.isKept(b.Build) {
			continue
		}
		asked := !s.isInCharge(live, b) && s.askInCharge(ctx, live, b)
		all = (asked || s.keep(ctx, b)) && all
	}
	return all
}

// askInCharge asks the daemon in charge of b to save it and reports whether it did.
func (s *savedBuilds) askInCharge(ctx context.Context, live []fleet.VM, b SavedBuild) bool {
	vm, ok := inCharge(live, b)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := s.ask(ctx, vm, b); err != nil {
		s.recorder.Record(event.Event{ID: event.BuildsNotStored, Step: "keep build", Peer: vm.Name, Err: err})
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setKept(b.Build, true)
	return true
}

// keep saves a build unless it is known to be in the store, and reports whether it is
// there now.
func (s *savedBuilds) keep(ctx context.Context, b SavedBuild) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.seenAt[b] = now
	if s.isKept(b.Build) {
		return true
	}
	if !s.save(ctx, b, true) {
		return false
	}
	s.savedAt[b] = now
	s.setKept(b.Build, true)
	return true
}

// saveChanges saves the builds that this daemon is in charge of and that are new or
// were saved long ago, and deletes those that no upstream has run for long.
func (s *savedBuilds) saveChanges(ctx context.Context, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for b := range s.running() {
		s.seenAt[b] = now
	}
	live := s.view().Live()
	for b, seenAt := range s.seenAt {
		unseen := now.Sub(seenAt)
		if unseen >= keptFor && s.isKept(b.Build) {
			s.setKept(b.Build, false)
		}
		switch {
		case unseen >= forgetAfter:
			s.forget(ctx, live, b)
		case s.isInCharge(live, b) && now.Sub(s.savedAt[b]) >= saveAgain && s.save(ctx, b, true):
			s.savedAt[b] = now
			s.setKept(b.Build, unseen < keptFor)
		}
	}
}

// forget deletes a build, if this daemon is in charge of it. s.mu is held.
func (s *savedBuilds) forget(ctx context.Context, live []fleet.VM, b SavedBuild) {
	if !s.isInCharge(live, b) || !s.save(ctx, b, false) {
		return
	}
	delete(s.seenAt, b)
	delete(s.savedAt, b)
}

// inCharge returns the daemon that saves b, if any lives.
func inCharge(live []fleet.VM, b SavedBuild) (fleet.VM, bool) {
	first := owners(live, uint64(b.Build), 1)
	if len(first) == 0 {
		return fleet.VM{}, false
	}
	return first[0], true
}

// isInCharge reports whether this daemon saves b.
func (s *savedBuilds) isInCharge(live []fleet.VM, b SavedBuild) bool {
	vm, ok := inCharge(live, b)
	return ok && vm.Name == s.self
}

// save saves or deletes a build and reports whether that succeeded.
func (s *savedBuilds) save(ctx context.Context, b SavedBuild, kept bool) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := s.store.Save(ctx, b, kept)
	if err != nil {
		s.recorder.Record(event.Event{ID: event.BuildsNotStored, Step: "save builds", Err: failure.At("save builds", "store", err)})
	}
	return err == nil
}

// add adds the builds of a service that were known at the start to builds, and
// reports whether they were loaded.
func (s *savedBuilds) add(builds map[catalog.Build]bool, service string) bool {
	loaded := s.loaded.Load()
	if loaded == nil {
		return false
	}
	for b := range *loaded {
		if b.Service == service {
			builds[b.Build] = true
		}
	}
	return true
}

// addStored adds the builds of a service that may be in the store to builds.
func (s *savedBuilds) addStored(builds map[catalog.Build]bool, service string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for b, seenAt := range s.seenAt {
		if b.Service == service && now.Sub(seenAt) < forgetAfter+saveAgain {
			builds[b.Build] = true
		}
	}
}
