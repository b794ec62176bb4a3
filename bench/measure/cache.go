// Package measure computes the figures of a run.
package measure

import (
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"currantpulley/bench/site"
	"currantpulley/bench/workload"
	"currantpulley/internal/fake/fakeengine"
	"currantpulley/internal/rendezvous"
)

// LRU models a prefix cache. It is independent of the cache of the simulated
// engines.
type LRU struct {
	pieces *simplelru.LRU[uint64, struct{}]
}

// NewLRU returns an empty cache of capacity pieces.
func NewLRU(capacity int) *LRU {
	// The only error is a capacity below 1.
	pieces, _ := simplelru.NewLRU[uint64, struct{}](max(1, capacity), nil)
	return &LRU{pieces}
}

// Access returns the number of leading pieces of chain that are cached, then
// caches all pieces. It adds them in reverse order, so that the first ones are
// evicted last.
func (l *LRU) Access(chain []uint64) int {
	hit := 0
	for hit < len(chain) && l.pieces.Contains(chain[hit]) {
		hit++
	}
	for i := len(chain) - 1; i >= 0; i-- {
		l.pieces.Add(chain[i], struct{}{})
	}
	return hit
}

// Ideal holds the results of a single cache with the pooled capacity.
type Ideal struct {
	HitRate float64
	TTFTs   []time.Duration // times to first token with an engine that is always idle
}

// Replay sends all requests in order through one LRU cache of capacity pieces.
// Requests for which count is false only fill the cache.
func Replay(capacity int, requests []*workload.Request, count func(*workload.Request) bool, prefill func(tokens int) time.Duration) Ideal {
	cache := NewLRU(capacity)
	var ideal Ideal
	var cached, all int
	for _, r := range requests {
		hit := cache.Access(r.Pieces) * site.PieceTokens
		if !count(r) {
			continue
		}
		cached += hit
		all += r.Tokens
		ideal.TTFTs = append(ideal.TTFTs, prefill(r.Tokens-hit))
	}
	ideal.HitRate = ratio(cached, all)
	return ideal
}

// ratio returns a/b, or 0 if b is 0.
func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// capacityKey is the key of a cached capacity.
type capacityKey struct {
	site string
	mix  workload.Mix
}

var capacities sync.Map // caches results of Capacity: capacityKey to float64

const (
	calibrationWarmUp = 3000 // requests that fill the caches and are not counted
	calibrationCount  = 5000 // counted requests
	calibrationSeeds  = 5
)

// Capacity returns the rate of mix, in requests per second, at which consistent
// hashing of the whole prompt saturates the busiest engine. It is the reciprocal
// of the prefill time that this engine spends per request; cache hits come from a
// replay through one LRU per engine. The result is the median over fixed seeds, so
// that it depends only on the engine model and the mix.
func Capacity(s site.Site, mix workload.Mix) float64 {
	key := capacityKey{s.Name, mix}
	if cached, ok := capacities.Load(key); ok {
		return cached.(float64)
	}
	var all []float64
	for seed := range uint64(calibrationSeeds) {
		all = append(all, capacity(s, mix, seed))
	}
	slices.Sort(all)
	median := all[len(all)/2]
	capacities.Store(key, median)
	return median
}

// capacity returns the result of Capacity for one seed.
func capacity(s site.Site, mix workload.Mix, seed uint64) float64 {
	names := make([]uint64, s.Engines)
	caches := make([]*LRU, s.Engines)
	for i := range names {
		names[i] = rendezvous.Hash(s.EngineName(i))
		caches[i] = NewLRU(s.CachePieces())
	}
	tokens := make([]int, s.Engines)
	g := workload.New(seed + 1000)
	for n := range calibrationWarmUp + calibrationCount {
		r := g.Next(mix, 0)
		i := rendezvous.Top(names, r.Pieces[len(r.Pieces)-1]+seed, 1)[0]
		hit := caches[i].Access(r.Pieces)
		if n >= calibrationWarmUp {
			tokens[i] += r.Tokens - hit*site.PieceTokens
		}
	}
	return calibrationCount / s.PrefillTime(slices.Max(tokens)).Seconds()
}

// WasteCounter counts tokens that an engine computed although they were cached at
// another engine.
type WasteCounter struct {
	mu      sync.Mutex
	holders map[uint64]int // number of engines that cache a piece
	wasted  int            // tokens
}

// NewWasteCounter returns a WasteCounter for engines with empty caches.
func NewWasteCounter() *WasteCounter { return &WasteCounter{holders: make(map[uint64]int)} }

// Observe records an operation on a piece. It must be called for every operation
// of every engine.
func (c *WasteCounter) Observe(o fakeengine.Observation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch o.Op {
	case fakeengine.Store:
		c.holders[o.Piece]++
	case fakeengine.Evict:
		c.holders[o.Piece]--
	case fakeengine.Prefill:
		if c.holders[o.Piece] > 0 {
			c.wasted += site.PieceTokens
		}
	}
}

// Wasted returns the number of tokens that were computed although another engine
// had them cached.
func (c *WasteCounter) Wasted() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wasted
}
