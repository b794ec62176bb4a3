// Package storehealth checks the health of cache stores: whether they are
// reachable, and whether they restarted empty. A few daemons probe each store
// and announce changes of its state to all others, so that no request waits for
// entries from a store that is down.
package storehealth

import (
	"context"
	"fmt"
	"slices"
	"time"

	"currantpulley/internal/catalog"
	"currantpulley/internal/event"
	"currantpulley/internal/failure"
	"currantpulley/internal/fleet"
)

const (
	// watchersPerStore is the number of daemons that probe a store.
	watchersPerStore = 3
	// probePeriod is the time between two probes of a store by one daemon.
	probePeriod = 500 * time.Millisecond
	// probeTimeout bounds one probe.
	probeTimeout = 800 * time.Millisecond
	// downAfterFailures is the number of consecutive failed probes after which a
	// store counts as down.
	downAfterFailures = 2
)

// State is the state of a store as last probed.
type State struct {
	ShortID uint32 // short id, see catalog.CacheStore.ShortID
	Down    bool
	Epoch   uint64 // changes when the store starts empty; 0: not known
}

// Options holds the dependencies of a Watch. All fields are required.
type Options struct {
	Self     string            // name of this VM
	Watcher  *catalog.Watcher  // of the configuration, which lists the stores
	View     func() fleet.View // safe for concurrent use
	Recorder event.Recorder
	// Probe returns the epoch of the store at address.
	Probe func(ctx context.Context, address string) (epoch uint64, err error)
	// Announce announces the state of a store to all daemons.
	Announce func(s State)
	// CutOff reports whether this daemon reaches nothing behind the daemons itself. It
	// does not probe then: its failures tell nothing of a store.
	CutOff func() bool
}

// Watch probes the stores that are assigned to this daemon. Its state is owned
// by the goroutine of Run.
type Watch struct {
	opts   Options
	stores map[string]*storeState // by address
}

// storeState is the result of this daemon's probes of one store.
type storeState struct {
	State
	failures int // consecutive failed probes
}

// New returns a Watch that has probed no store.
func New(o Options) *Watch { return &Watch{opts: o, stores: make(map[string]*storeState)} }

// Run probes the stores every probePeriod until ctx ends.
func (w *Watch) Run(ctx context.Context) {
	t := time.NewTicker(probePeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		c := w.opts.Watcher.Load().Config
		if c == nil || w.opts.CutOff() {
			continue
		}
		for _, s := range c.Stores {
			if isWatcher(w.opts.View(), w.opts.Self, s) {
				w.probe(ctx, s)
			}
		}
	}
}

// isWatcher reports whether self is one of the daemons that probe s.
func isWatcher(view fleet.View, self string, s *catalog.CacheStore) bool {
	owners := fleet.Owners(view.Live(), s.Address, watchersPerStore)
	return slices.ContainsFunc(owners, func(vm fleet.VM) bool { return vm.Name == self })
}

// probe probes s once, records a change of its state as an event and announces
// it.
func (w *Watch) probe(ctx context.Context, s *catalog.CacheStore) {
	bounded, cancel := context.WithTimeout(ctx, probeTimeout)
	epoch, err := w.opts.Probe(bounded, s.Address)
	cancel()
	if ctx.Err() != nil {
		return
	}
	known := w.stores[s.Address]
	if known == nil {
		known = &storeState{State: State{ShortID: s.ShortID()}}
		w.stores[s.Address] = known
	}
	before := known.State
	known.update(epoch, err == nil)
	if known.State != before {
		w.recordEvent(s, known.State, err)
	}
	// Announcements of a store that is down expire at the other daemons, so they
	// are repeated.
	if known.State != before || known.Down {
		w.opts.Announce(known.State)
	}
}

func (w *Watch) recordEvent(s *catalog.CacheStore, now State, err error) {
	e := event.Event{ID: event.CacheStoreAvailable, Step: "probe the cache store", Peer: s.Address, Detail: fmt.Sprintf("epoch %d", now.Epoch)}
	if now.Down {
		e.ID = event.CacheStoreLost
		e.Err = failure.At("probe the cache store", s.Address, err)
	}
	w.opts.Recorder.Record(e)
}

// update applies the result of a probe.
func (s *storeState) update(epoch uint64, ok bool) {
	if ok {
		s.failures, s.Down, s.Epoch = 0, false, epoch
		return
	}
	s.failures++
	s.Down = s.failures >= downAfterFailures
}
