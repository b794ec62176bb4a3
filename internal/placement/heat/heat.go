// Package heat measures which share of recent requests has a prefix. It keeps a
// fast and a slow average and uses the larger one, so that a share rises within
// a second or two and falls slowly.
package heat

import (
	"math"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	fastTimeConstant = 2 * time.Second
	slowTimeConstant = 20 * time.Second
	// prior is added to the total of requests when a share is computed, so that
	// the first few requests of an idle daemon don't make a hot prefix.
	prior = 30.0
)

// counter counts the requests with one prefix, or all of them.
type counter struct {
	fast, slow float64 // decayed counts of requests
	at         time.Time
}

func (c *counter) decay(now time.Time) {
	dt := now.Sub(c.at).Seconds()
	c.at = now
	if dt <= 0 {
		return
	}
	c.fast *= math.Exp(-dt / fastTimeConstant.Seconds())
	c.slow *= math.Exp(-dt / slowTimeConstant.Seconds())
}

// Tracker counts requests by prefix and evicts the least recently seen prefix. It
// is not safe for concurrent use.
type Tracker struct {
	prefixes *simplelru.LRU[uint64, *counter]
	total    counter
}

// New returns a tracker of at most size prefixes.
func New(size int) *Tracker {
	lru, err := simplelru.NewLRU[uint64, *counter](size, nil)
	if err != nil {
		panic(err) // size is not positive
	}
	return &Tracker{prefixes: lru}
}

// Add counts one request with the prefix key.
func (t *Tracker) Add(key uint64, now time.Time) {
	t.total.decay(now)
	t.total.fast++
	t.total.slow++
	c, ok := t.prefixes.Get(key)
	if !ok {
		c = &counter{at: now}
		t.prefixes.Add(key, c)
	}
	c.decay(now)
	c.fast++
	c.slow++
}

// Share returns the share of recent requests with the prefix key, in [0, 1].
func (t *Tracker) Share(key uint64, now time.Time) float64 {
	c, ok := t.prefixes.Peek(key)
	if !ok {
		return 0
	}
	c.decay(now)
	t.total.decay(now)
	return max(c.fast/(t.total.fast+prior), c.slow/(t.total.slow+prior))
}

// Len returns the number of prefixes tracked.
func (t *Tracker) Len() int { return t.prefixes.Len() }
