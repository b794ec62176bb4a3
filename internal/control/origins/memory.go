package origins

import (
	"context"
	"sync/atomic"
	"time"

	"currantpulley/internal/catalog"
	"currantpulley/internal/event"
	"currantpulley/internal/failure"
	"currantpulley/internal/fleet"
)

const (
	// savePeriod is the time between two checks for builds to save. A build that was
	// not saved yet is forgotten in a kill of all daemons.
	savePeriod = time.Second
	// saveDelay is the time from a daemon's start until it saves builds. Before, it
	// may not know that another daemon is responsible.
	saveDelay = 3 * time.Second
	// saveAgain is the time after which a build is saved again, in case the store
	// lost it.
	saveAgain = time.Minute
	// forgetAfter is the time after which a build without upstreams is deleted. No
	// stream that it began can still be resumed.
	forgetAfter  = 5 * time.Minute
	storeTimeout = 2 * time.Second
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

// memory keeps the builds of all upstreams in a BuildStore. Of each build one daemon
// is in charge. Its state is owned by the goroutine of run, but for loaded.
type memory struct {
	store    BuildStore
	watcher  *catalog.Watcher
	recorder event.Recorder
	self     string
	view     func() fleet.View

	loaded  atomic.Pointer[map[SavedBuild]bool] // at the start of this daemon; nil: not yet
	savedAt map[SavedBuild]time.Time            // when this daemon saved a build
	seenAt  map[SavedBuild]time.Time            // when an upstream last ran it
}

// run loads the builds, then saves changes until ctx ends.
func (m *memory) run(ctx context.Context) {
	started := time.Now()
	ticker := time.NewTicker(savePeriod)
	defer ticker.Stop()
	for {
		switch {
		case m.loaded.Load() == nil:
			m.load(ctx)
		case time.Since(started) >= saveDelay:
			m.saveChanges(ctx, time.Now())
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// load reads the builds that were known when this daemon started.
func (m *memory) load(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	builds, err := m.store.Load(ctx)
	if err != nil {
		m.recorder.Record(event.Event{ID: event.BuildsNotStored, Step: "load builds", Err: failure.At("load builds", "store", err)})
		return
	}
	loaded := make(map[SavedBuild]bool, len(builds))
	for _, b := range builds {
		loaded[b] = true
		m.seenAt[b] = time.Now()
	}
	m.loaded.Store(&loaded)
}

// saveChanges saves the builds that this daemon is in charge of and that are new or
// were saved long ago, and deletes those that no upstream has run for long.
func (m *memory) saveChanges(ctx context.Context, now time.Time) {
	for _, u := range m.watcher.Load().Upstreams {
		m.seenAt[SavedBuild{u.Service, u.Build()}] = now
	}
	live := m.view().Live()
	for b, seenAt := range m.seenAt {
		kept := now.Sub(seenAt) < forgetAfter
		if !m.inCharge(live, b) || (kept && now.Sub(m.savedAt[b]) < saveAgain) {
			continue
		}
		if !m.save(ctx, b, kept) {
			continue
		}
		m.savedAt[b] = now
		if !kept {
			delete(m.seenAt, b)
			delete(m.savedAt, b)
		}
	}
}

// inCharge reports whether this daemon saves b.
func (m *memory) inCharge(live []fleet.VM, b SavedBuild) bool {
	first := owners(live, uint64(b.Build), 1)
	return len(first) == 1 && first[0].Name == m.self
}

// save saves or deletes a build and reports whether that succeeded.
func (m *memory) save(ctx context.Context, b SavedBuild, kept bool) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := m.store.Save(ctx, b, kept)
	if err != nil {
		m.recorder.Record(event.Event{ID: event.BuildsNotStored, Step: "save builds", Err: failure.At("save builds", "store", err)})
	}
	return err == nil
}

// add adds the builds of a service that were known at the start to builds, and
// reports whether they were loaded.
func (m *memory) add(builds map[catalog.Build]bool, service string) bool {
	loaded := m.loaded.Load()
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
