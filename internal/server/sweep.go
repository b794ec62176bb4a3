package server

import (
	"maps"
	"slices"
	"sync"
	"time"

	"currantpulley/internal/presence"
)

// sweepPeriod is the time between two checks of the callers whose requests are in
// progress. Callers that have left are usually seen at once by the read ahead. Its
// goroutine waits its turn behind all others that are ready to run, while one that a
// timer wakes runs next.
const sweepPeriod = 100 * time.Millisecond

// sweeper checks the callers whose requests are in progress. It is safe for concurrent
// use.
type sweeper struct {
	mu      sync.Mutex
	callers map[*presence.Caller]bool
	running bool
}

// add begins to check a caller.
func (s *sweeper) add(c *presence.Caller) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.callers == nil {
		s.callers = make(map[*presence.Caller]bool)
	}
	s.callers[c] = true
	if !s.running {
		s.running = true
		go s.run()
	}
}

// remove ends the checks of a caller.
func (s *sweeper) remove(c *presence.Caller) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.callers, c)
}

// run checks all callers every sweepPeriod until there is none.
func (s *sweeper) run() {
	for {
		time.Sleep(sweepPeriod)
		callers := s.current()
		if len(callers) == 0 {
			return
		}
		for _, c := range callers {
			c.Check()
		}
	}
}

// current returns the callers to check. Without any, no goroutine counts as running.
func (s *sweeper) current() []*presence.Caller {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running = len(s.callers) > 0
	return slices.Collect(maps.Keys(s.callers))
}
