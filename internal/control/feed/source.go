package feed

import (
	"slices"
	"sync"
	"time"

	"currantpulley/internal/fleet"
	"currantpulley/internal/freshness"
	"currantpulley/internal/rendezvous"
)

const (
	// readersPerTopic is the number of daemons of a data centre that read a topic. There
	// is more than one so that another is there when one is lost.
	readersPerTopic = 2
	// fedMin is the number of daemons in a data centre from which some are fed. With
	// fewer, the reads that would be saved aren't worth the dependence on others.
	fedMin = 9

	retryMin = time.Second      // mean time for which a reader isn't called after its first failure
	retryMax = 16 * time.Second // the same after many
	// distrustTime is the least time for which this daemon reads for itself after it
	// learnt that it was fed too little.
	distrustTime = time.Second
)

// readersOf returns the readers of a topic among the live daemons of a data centre. There
// are none if each daemon is to read for itself.
func readersOf(live []fleet.VM, topic string) []fleet.VM {
	if len(live) < fedMin {
		return nil
	}
	return fleet.Owners(live, topic, readersPerTopic)
}

// source decides whether a daemon reads a topic for itself or from which reader. It is
// safe for concurrent use.
type source struct {
	self string

	mu       sync.Mutex
	failures map[string]failures // by reader, since its last proper reply
	ownUntil freshness.Instant   // this daemon reads for itself until then
	isFed    bool                // the last read was from a reader
	isLost   bool                // this daemon reads for itself since the feed failed
}

// failures are those of one reader in succession.
type failures struct {
	count int
	until freshness.Instant // the reader isn't called until then
}

func newSource(self string) *source {
	return &source{self: self, failures: make(map[string]failures)}
}

// isAmong reports whether this daemon is one of the readers.
func (s *source) isAmong(readers []string) bool { return slices.Contains(readers, s.self) }

// pick returns the reader to call at now, or false if this daemon reads for itself.
func (s *source) pick(readers []string, now freshness.Instant) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isAmong(readers) {
		s.isFed, s.isLost = false, false
		return "", false
	}
	if now < s.ownUntil {
		return "", false
	}
	first := int(rendezvous.Hash(s.self) % uint64(max(len(readers), 1)))
	for i := range readers {
		reader := readers[(first+i)%len(readers)]
		if now >= s.failures[reader].until {
			return reader, true
		}
	}
	return "", false
}

// failed notes that a call of a reader failed at now. spread, from 0 to 1, is random.
func (s *source) failed(reader string, now freshness.Instant, spread float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.failures[reader]
	wait := min(retryMin<<f.count, retryMax)
	if wait < retryMax {
		f.count++
	}
	f.until = now.Add(wait/2 + time.Duration(spread*float64(wait)))
	s.failures[reader] = f
}

// succeeded notes a proper reply of a reader and reports whether the feed was lost.
func (s *source) succeeded(reader string) (wasLost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.failures, reader)
	wasLost, s.isFed, s.isLost = s.isLost, true, false
	return wasLost
}

// fellBack notes that this daemon reads for itself since the feed failed, and reports
// whether it was fed until now. It is not while daemons still get to know each other.
func (s *source) fellBack() (wasFed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wasFed = s.isFed
	s.isFed, s.isLost = false, s.isLost || wasFed
	return wasFed
}

// distrust makes this daemon read for itself for a while from now on. spread, from 0 to
// 1, is random.
func (s *source) distrust(now freshness.Instant, spread float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ownUntil = now.Add(distrustTime + time.Duration(spread*float64(distrustTime)))
}
