package eventlog

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"currantpulley/internal/event"
)

// Rates in lines per second and bursts in lines, for each kind of event. Debug
// events, such as served requests, get the lower rate. Failures, refusals and
// state changes exceed the higher rate only while something is badly wrong.
const (
	debugRate    = 20
	debugBurst   = 40
	defaultRate  = 100
	defaultBurst = 300
)

// Sampler limits the rate at which each kind of event is logged. It is safe for
// concurrent use.
type Sampler struct {
	mu         sync.Mutex
	events     map[event.ID]*eventLimit
	suppressed atomic.Uint64
}

// eventLimit is the rate limit of one kind of event.
type eventLimit struct {
	limit      *rate.Limiter
	suppressed int // since the last logged line of this kind
}

// NewSampler returns a Sampler that has suppressed nothing yet.
func NewSampler() *Sampler { return &Sampler{events: make(map[event.ID]*eventLimit)} }

// Admit reports whether an event is logged now, and how many events of its kind
// were suppressed since the last logged one.
func (s *Sampler) Admit(d event.Definition, now time.Time) (suppressed int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.events[d.ID]
	if e == nil {
		e = &eventLimit{limit: rate.NewLimiter(defaultRate, defaultBurst)}
		if d.Level == event.Debug {
			e.limit = rate.NewLimiter(debugRate, debugBurst)
		}
		s.events[d.ID] = e
	}
	if !e.limit.AllowN(now, 1) {
		e.suppressed++
		s.suppressed.Add(1)
		return 0, false
	}
	suppressed, e.suppressed = e.suppressed, 0
	return suppressed, true
}

// Suppressed returns the number of events of all kinds suppressed so far.
func (s *Sampler) Suppressed() uint64 { return s.suppressed.Load() }
