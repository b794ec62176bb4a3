package retry

import (
	"sync"
	"time"
)

const (
	// shareMemory is the time for which a daemon that is no longer seen still counts:
	// it may only be paused or cut off, and use its part.
	shareMemory = 5 * time.Minute
	// shareSteps is the number of steps into which shareMemory is divided.
	shareSteps = 30
	// maxSilence is the longest time without contact after which the other daemons
	// certainly still count this one.
	maxSilence = shareMemory / 2
	// learnTime is the time within which daemons learn of each other, also of one that
	// is cut off from the rest and that only the store's list names.
	learnTime = 12 * time.Second
	// contactSpans is the time without contact, in spans of the budget, after which
	// the common allowance is left alone: daemons may have been added meanwhile.
	contactSpans = 0.3
	// wakeGap is the time between two calls of Observe from which the process counts as
	// having been paused, and the time in which it then reads what waited meanwhile.
	wakeGap = 2 * time.Second
)

// Share is this daemon's part of an allowance that all daemons share without a call
// per use. The parts add up to the whole at most, also while the daemons see
// different numbers of each other. It is safe for concurrent use.
type Share struct {
	clock func() time.Time
	span  time.Duration

	mu       sync.Mutex
	at       int64           // number of the newest step
	most     [shareSteps]int // daemons seen, by number of the step modulo shareSteps
	seen     time.Time       // latest contact; zero: none yet
	usable   time.Time       // the part is used from this instant on
	observed time.Time       // latest call of Observe, or the start
	woke     time.Time       // end of the latest pause
}

// NewShare returns the share of a daemon that has just started, for an allowance in
// any span. clock must count the time in suspend.
func NewShare(clock func() time.Time, span time.Duration) *Share {
	return &Share{clock: clock, span: span, observed: clock()}
}

// Observe records how many daemons this one knows, itself included, and whether it is
// in contact with the others, directly or through the store. It must be called several
// times in wakeGap.
func (s *Share) Observe(daemons int, inContact bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	if now.Sub(s.observed) > wakeGap {
		s.woke = now
	}
	s.observed = now
	step := s.advance(now)
	s.most[step] = max(s.most[step], daemons)
	if !inContact {
		return
	}
	switch silence := now.Sub(s.seen); {
	case s.seen.IsZero() || silence > maxSilence:
		// Until the others know of this daemon, and for a span after that, they may use
		// parts that leave none for it, as may a daemon that ran on this VM before.
		s.usable = now.Add(learnTime + s.span)
	case silence > s.contactMax() && s.usable.Before(now.Add(learnTime)):
		s.usable = now.Add(learnTime)
	}
	s.seen = now
}

// contactMax returns the time without contact after which the part is not used.
func (s *Share) contactMax() time.Duration { return time.Duration(contactSpans * float64(s.span)) }

// Part returns this daemon's part, from 0 to 1.
func (s *Share) Part() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	s.advance(now)
	if s.seen.IsZero() || now.Before(s.usable) || now.Sub(s.seen) > s.contactMax() {
		return 0
	}
	daemons := 1
	for _, n := range s.most {
		daemons = max(daemons, n)
	}
	return 1 / float64(daemons)
}

// Stale reports whether requests that arrive now may have waited while the process was
// paused.
func (s *Share) Stale() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	return now.Sub(s.observed) > wakeGap || now.Sub(s.woke) < wakeGap
}

// advance clears the steps that are older than shareMemory and returns the index of
// the newest one.
func (s *Share) advance(now time.Time) int {
	step := now.UnixNano() / int64(shareMemory/shareSteps)
	for n := max(s.at+1, step-shareSteps+1); n <= step; n++ {
		s.most[n%shareSteps] = 0
	}
	s.at = max(s.at, step)
	return int(s.at % shareSteps)
}
