package main

import (
	"context"
	"sync"
	"time"
)

// watcher polls the version in force at every daemon and checks that none
// goes back and that no two differ for longer than allowed.
type watcher struct {
	fleet  *fleet
	settle time.Duration

	mu           sync.Mutex
	versions     map[string]uint64 // by VM; what it last answered
	highest      uint64
	highestSince time.Time // when highest was first seen
	reverts      int
	splits       int
	behind       map[string]bool // VMs that are behind for too long, counted once
	skipped      map[string]bool // VMs that are being killed or started
}

func newWatcher(fl *fleet, settle time.Duration) *watcher {
	return &watcher{fleet: fl, settle: settle, versions: make(map[string]uint64),
		behind: make(map[string]bool), skipped: make(map[string]bool)}
}

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

func (w *watcher) poll(ctx context.Context, v *vm) {
	s, err := w.fleet.status(ctx, v)
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil || !s.Admitting || w.skipped[v.name] {
		return // a daemon that serves nothing has no version in force
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

// skip leaves a VM out while it is killed and started. What it had in force
// before stays known, so that a lower version afterwards counts as a revert.
func (w *watcher) setSkipped(name string, skipped bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.skipped[name] = skipped
}

// everywhere reports whether all daemons have version in force, or a later one.
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

// anywhere reports whether some daemon ever had version in force.
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
