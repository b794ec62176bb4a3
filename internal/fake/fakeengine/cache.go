package fakeengine

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// entry is a cached piece with the salt and model that its cache events contain.
type entry struct {
	piece       uint64 // chained hash, see prompt.Hashes
	salt, model string
}

// cache is an LRU cache of complete pieces. A piece is evicted before the pieces
// that precede it in its chain.
type cache struct {
	lru     *simplelru.LRU[uint64, entry]
	changed func(Op, entry)
}

func newCache(capacity int, changed func(Op, entry)) *cache {
	c := &cache{changed: changed}
	// NewLRU fails only for a capacity below 1.
	c.lru, _ = simplelru.NewLRU(max(1, capacity), func(_ uint64, p entry) { changed(Evict, p) })
	return c
}

// prefix returns the number of leading pieces of chain that are cached, and marks
// them as used.
func (c *cache) prefix(chain []uint64) int {
	n := 0
	for n < len(chain) && c.lru.Contains(chain[n]) {
		n++
	}
	c.touch(chain[:n])
	return n
}

// touch marks chain's pieces as used, from last to first, so that a piece is
// always more recently used than its successors and leaves are evicted first.
func (c *cache) touch(chain []uint64) {
	for i := len(chain) - 1; i >= 0; i-- {
		c.lru.Get(chain[i])
	}
}

// store adds the last piece of chain.
func (c *cache) store(chain []uint64, salt, model string) {
	p := entry{chain[len(chain)-1], salt, model}
	if !c.lru.Contains(p.piece) {
		c.changed(Store, p)
	}
	c.lru.Add(p.piece, p)
	c.touch(chain)
}

// evictModel evicts the pieces of model.
func (c *cache) evictModel(model string) {
	for _, piece := range c.lru.Keys() {
		if p, ok := c.lru.Peek(piece); ok && p.model == model {
			c.lru.Remove(piece)
		}
	}
}

// each calls f for every cached piece.
func (c *cache) each(f func(piece uint64)) {
	for _, piece := range c.lru.Keys() {
		f(piece)
	}
}

const (
	retainedEvents       = 8192 // at least, of each feed
	maxEventsPerResponse = 2048
)

// event is one cache event.
type event struct {
	Seq   uint64 `json:"seq"`
	Op    Op     `json:"op"`
	Salt  string `json:"salt"`
	Model string `json:"model"`
	Piece string `json:"piece"` // hexadecimal

	hash uint64
	at   time.Time
}

// feed retains the newest cache events and returns them with a lag.
type feed struct {
	lag    time.Duration
	loss   float64
	next   uint64
	events []event
}

func newFeed(lag time.Duration, loss float64) *feed { return &feed{lag: lag, loss: loss, next: 1} }

func (f *feed) add(op Op, p entry) {
	seq := f.next
	f.next++
	if rand.Float64() < f.loss {
		return
	}
	f.events = append(f.events, event{Seq: seq, Op: op, Salt: p.salt, Model: p.model, hash: p.piece, at: time.Now()})
	if len(f.events) > 2*retainedEvents {
		f.events = append([]event(nil), f.events[retainedEvents:]...)
	}
}

// since returns the events from sequence number from on, sampled by piece at a
// rate of one in sample, and the sequence number to continue with. gap is true if
// events from there on are no longer retained.
func (f *feed) since(from, sample uint64, now time.Time) (events []event, next uint64, gap bool) {
	events, next = []event{}, from
	gap = len(f.events) > 0 && from > 0 && from < f.events[0].Seq && f.events[0].Seq > 1
	first, _ := slices.BinarySearchFunc(f.events, from, func(ev event, seq uint64) int { return cmp.Compare(ev.Seq, seq) })
	for _, ev := range f.events[first:] {
		if now.Sub(ev.at) < f.lag || len(events) == maxEventsPerResponse {
			break
		}
		next = ev.Seq + 1
		if ev.hash%sample == 0 {
			ev.Piece = fmt.Sprintf("%016x", ev.hash)
			events = append(events, ev)
		}
	}
	return events, next, gap
}
