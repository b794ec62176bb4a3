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
// timer starts runs next.
const sweepPeriod = 100 * time.Millisecond

// sweeper checks the callers whose requests are in progress. It is safe for concurrent
// use.
type sweeper struct {
	mu      sync.Mutex
	callers map[*presence.Caller]bool
	running bool // a check is due
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
		time.AfterFunc(sweepPeriod, s.run)
	}
}

// remove ends the checks of a caller.
func (s *sweeper) remove(c *presence.Caller) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.callers, c)
}

// run checks all callers, now and every sweepPeriod until there is none. Each check has a
// goroutine of its own, so that one that loses its turn doesn't hold up the next.
func (s *sweeper) run() {
	callers := s.current()
	if len(callers) == 0 {
		return
	}
	time.AfterFunc(sweepPeriod, s.run)
	for _, c := range callers {
		c.Check()
	}
}

// current returns the callers to check. Without any, no check is due any more.
func (s *sweeper) current() []*presence.Caller {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running = len(s.callers) > 0
	return slices.Collect(maps.Keys(s.callers))
}
