package detour

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"currantpulley/internal/freshness"
)

const (
	// silentFor is the time without a byte from any upstream, since a request was sent
	// to one, after which the own way is checked. Engines send the head of a response
	// well before.
	silentFor = 300 * time.Millisecond
	// silenceChecks is the number of upstreams that are checked at a time.
	silenceChecks = cutEvidence
	// checkPeriod is the least time between two checks.
	checkPeriod = 500 * time.Millisecond
)

// silence finds out that all own connections are silent. It is safe for concurrent
// use.
type silence struct {
	mu        sync.Mutex
	since     time.Time // first write since the last read; zero: none
	written   []string  // upstreams written to since, the latest last, each once
	checkedAt time.Time
}

// wrote records that bytes were sent to an upstream.
func (s *silence) wrote(address string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.since.IsZero() {
		s.since = now
	}
	if i := slices.Index(s.written, address); i >= 0 {
		s.written = slices.Delete(s.written, i, i+1)
	}
	s.written = append(s.written, address)
	s.written = s.written[max(0, len(s.written)-silenceChecks):]
}

// read records that bytes came from an upstream.
func (s *silence) read() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.since, s.written = time.Time{}, s.written[:0]
}

// suspects returns the upstreams whose own way should be checked now.
func (s *silence) suspects(now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.since.IsZero() || now.Sub(s.since) < silentFor || now.Sub(s.checkedAt) < checkPeriod {
		return nil
	}
	s.checkedAt = now
	return slices.Clone(s.written)
}

// watchedConn is an own connection whose bytes count for silence.
type watchedConn struct {
	net.Conn
	address string
	silence *silence
}

// SyscallConn implements syscall.Conn.
func (c *watchedConn) SyscallConn() (syscall.RawConn, error) {
	if conn, ok := c.Conn.(syscall.Conn); ok {
		return conn.SyscallConn()
	}
	return nil, fmt.Errorf("connection to %s: %w", c.address, errors.ErrUnsupported)
}

// Read implements net.Conn.
func (c *watchedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.silence.read()
	}
	return n, err
}

// Write implements net.Conn.
func (c *watchedConn) Write(p []byte) (int, error) {
	c.silence.wrote(c.address, freshness.Time())
	return c.Conn.Write(p)
}
