// Package stores finds out which stores of cache entries are there, and which
// came back empty. A few daemons ask each store, and tell all others when its
// state changes: a request that looks for entries at a store that is down waits
// for it in vain.
package stores

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
	// watchersPerStore is the number of daemons that ask a store.
	watchersPerStore = 3
	// probePeriod is the time between two questions of one daemon to a store.
	probePeriod = 500 * time.Millisecond
	// probeTimeout bounds one question.
	probeTimeout = 800 * time.Millisecond
	// downAfterFailures is how many questions in a row a store may leave unanswered.
	downAfterFailures = 2
)

// State is what is known of a store.
type State struct {
	Short uint32 // catalog.CacheStore.Short
	Down  bool
	Epoch uint64 // changes when the store starts empty; 0: not known
}

// Options of a Watch.
type Options struct {
	Self     string
	Watcher  *catalog.Watcher
	View     func() fleet.View
	Recorder event.Recorder
	// Ask returns the epoch of the store at address.
	Ask func(ctx context.Context, address string) (epoch uint64, err error)
	// Announce takes a state that changed.
	Announce func(s State)
}

// Watch asks the stores that this daemon looks after. Its state belongs to the
// goroutine of Run.
type Watch struct {
	opts   Options
	stores map[string]*storeState // by address
}

// storeState is what this daemon's questions to one storeState have shown.
type storeState struct {
	State
	failures int // in a row
}

// New returns a watch that knows no store.
func New(o Options) *Watch { return &Watch{opts: o, stores: make(map[string]*storeState)} }

// Run asks until ctx ends.
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
		if c == nil {
			continue
		}
		for _, s := range c.Stores {
			if isWatcher(w.opts.View(), w.opts.Self, s) {
				w.probe(ctx, s)
			}
		}
	}
}

// isWatcher reports whether self is one of the daemons that look after s.
func isWatcher(view fleet.View, self string, s *catalog.CacheStore) bool {
	owners := fleet.Owners(view.Live(), s.Address, watchersPerStore)
	return slices.ContainsFunc(owners, func(vm fleet.VM) bool { return vm.Name == self })
}

func (w *Watch) probe(ctx context.Context, s *catalog.CacheStore) {
	bounded, cancel := context.WithTimeout(ctx, probeTimeout)
	epoch, err := w.opts.Ask(bounded, s.Address)
	cancel()
	if ctx.Err() != nil {
		return
	}
	known := w.stores[s.Address]
	if known == nil {
		known = &storeState{State: State{Short: s.Short()}}
		w.stores[s.Address] = known
	}
	before := known.State
	known.update(epoch, err == nil)
	if known.State != before {
		w.recordEvent(s, known.State, err)
	}
	// What others were told of a store that is down runs out, so it is repeated.
	if known.State != before || known.Down {
		w.opts.Announce(known.State)
	}
}

func (w *Watch) recordEvent(s *catalog.CacheStore, now State, err error) {
	e := event.Event{ID: event.CacheStoreThere, Step: "ask the cache store", Peer: s.Address, Detail: fmt.Sprintf("epoch %d", now.Epoch)}
	if now.Down {
		e.ID = event.CacheStoreLost
		e.Err = failure.At("ask the cache store", s.Address, err)
	}
	w.opts.Recorder.Record(e)
}

// update takes in the end of a question.
func (s *storeState) update(epoch uint64, ok bool) {
	if ok {
		s.failures, s.Down, s.Epoch = 0, false, epoch
		return
	}
	s.failures++
	s.Down = s.failures >= downAfterFailures
}
