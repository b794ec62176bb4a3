package main

import (
	"context"
	"sync"
	"time"
)

// watcher polls the version in force on every daemon. It counts reverts to an
// earlier version and splits, in which versions differ for longer than settle.
type watcher struct {
	fleet  *fleet
	settle time.Duration

	mu           sync.Mutex
	versions     map[string]uint64 // last version reported, by VM
	highest      uint64
	highestSince time.Time // when highest was first seen
	reverts      int
	splits       int
	behind       map[string]bool // VMs that were counted as split since the highest version appeared
	skipped      map[string]bool // VMs that are killed, starting or frozen
}

func newWatcher(fl *fleet, settle time.Duration) *watcher {
	return &watcher{fleet: fl, settle: settle, versions: make(map[string]uint64),
		behind: make(map[string]bool), skipped: make(map[string]bool)}
}

// run polls every daemon until ctx ends.
func (w *watcher) run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, v := range w.fleet.vms {
		wg.Go(func() {
			for ctx.Err() == nil {
				w.poll(ctx, v)
				time.Sleep(pollInterval)
			}
		})
	}
	wg.Wait()
}

// poll reads the version of one daemon and checks it.
func (w *watcher) poll(ctx context.Context, v *vm) {
	s, err := w.fleet.status(ctx, v)
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil || !s.Admitting || w.skipped[v.name] {
		return // a daemon that does not admit requests has no version in force
	}
	if s.Version < w.versions[v.name] {
		w.reverts++
	}
	w.versions[v.name] = s.Version
	if s.Version > w.highest {
		w.highest, w.highestSince = s.Version, now
		clear(w.behind)
	}
	if s.Version < w.highest && now.Sub(w.highestSince) > w.settle && !w.behind[v.name] {
		w.behind[v.name] = true
		w.splits++
	}
}

// setSkipped excludes a VM from the checks while it is killed, starting or frozen,
// or includes it again. Its last version is kept, so that a lower one afterwards
// counts as a revert.
func (w *watcher) setSkipped(name string, skipped bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.skipped[name] = skipped
}

// inForceEverywhere reports whether version or a later one is in force on all
// daemons that are not skipped.
func (w *watcher) inForceEverywhere(version uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, v := range w.fleet.vms {
		if !w.skipped[v.name] && w.versions[v.name] < version {
			return false
		}
	}
	return true
}

// inForceAnywhere reports whether version is in force on some daemon, by its last
// report.
func (w *watcher) inForceAnywhere(version uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, v := range w.versions {
		if v == version {
			return true
		}
	}
	return false
}
