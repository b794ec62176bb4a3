package quota

import (
	"slices"
	"time"
)

const (
	// shareMemory is the time for which a daemon that is no longer seen still counts: it
	// may only be frozen or partitioned, and mint its part.
	shareMemory = 5 * time.Minute
	// shareSteps is the number of steps into which shareMemory is divided.
	shareSteps = 30
	// settleTime is the time for which the number of daemons must not have grown much
	// before a new daemon mints.
	settleTime = 750 * time.Millisecond
	// settledHeard is the share of the other daemons from which a new one must have heard
	// before it mints: fewer may be one side of a partition, or know no more than it does.
	settledHeard = 0.75
	// settledGrowth is the growth of the number of daemons that counts as settled.
	settledGrowth = 1.0 / 8
	// maxDaemons is the largest number of daemons that is believed.
	maxDaemons = 1 << 14
)

// Share is the part of each quota that this daemon mints. The parts of all daemons add
// up to 1 at most, also while they see different numbers of each other, but for daemons
// that start; see docs/design/quotas.md. It is not safe for concurrent use.
type Share struct {
	seen    peak            // daemons that this one saw
	told    peak            // daemons that others saw
	contact time.Time       // latest contact; zero: none yet
	before  int             // daemons when the number last grew much
	since   time.Time       // when it grew
	heard   map[string]bool // daemons whose states came, until settled
	settled bool
}

// Observe records how many daemons this one sees, itself included, and whether it is in
// contact with the others or the store.
func (s *Share) Observe(daemons int, inContact bool, now time.Time) {
	s.seen.record(daemons, now)
	if !inContact {
		return
	}
	if s.contact.IsZero() || now.Sub(s.contact) > shareMemory/2 {
		s.settled, s.before, s.heard = false, 0, make(map[string]bool) // the others may not count this daemon
	}
	s.contact = now
	if s.settled {
		return
	}
	n := s.daemons(now)
	if float64(n) > float64(s.before)*(1+settledGrowth) {
		s.before, s.since = n, now
	}
	if now.Sub(s.since) >= settleTime && float64(len(s.heard)) >= settledHeard*float64(n-1) {
		s.settled, s.heard = true, nil
	}
}

// Learn records how many daemons another one has seen, and reports whether that can be.
func (s *Share) Learn(vm string, daemons int, now time.Time) bool {
	if daemons < 0 || daemons > maxDaemons {
		return false
	}
	if s.heard != nil {
		s.heard[vm] = true
	}
	s.told.record(daemons, now)
	return true
}

// Seen returns the largest number of daemons that this one has seen lately, without
// what others told: that would be told again for ever.
func (s *Share) Seen(now time.Time) int { return s.seen.most(now) }

// Part returns this daemon's part, from 0 to 1.
func (s *Share) Part(now time.Time) float64 {
	if !s.settled || now.Sub(s.contact) > shareMemory/2 {
		return 0
	}
	return 1 / float64(s.daemons(now))
}

// daemons returns the largest number of daemons known in shareMemory.
func (s *Share) daemons(now time.Time) int { return max(1, s.seen.most(now), s.told.most(now)) }

// peak is the largest of the numbers that were recorded in shareMemory.
type peak struct {
	step    int64           // the newest one
	largest [shareSteps]int // by step modulo shareSteps
}

func (p *peak) record(n int, now time.Time) {
	p.advance(now)
	slot := &p.largest[p.step%shareSteps]
	*slot = max(*slot, n)
}

func (p *peak) most(now time.Time) int {
	p.advance(now)
	return slices.Max(p.largest[:])
}

// advance forgets what is older than shareMemory.
func (p *peak) advance(now time.Time) {
	step := now.UnixNano() / int64(shareMemory/shareSteps)
	for n := max(p.step+1, step-shareSteps+1); n <= step; n++ {
		p.largest[n%shareSteps] = 0
	}
	p.step = max(p.step, step)
}
