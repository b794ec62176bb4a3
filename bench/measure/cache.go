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

// LRU is a model of a prefix cache, separate from the one of the engines.
type LRU struct {
	pieces *simplelru.LRU[uint64, struct{}]
}

// NewLRU returns an empty cache of capacity pieces.
func NewLRU(capacity int) *LRU {
	// The only error is a capacity below 1.
	pieces, _ := simplelru.NewLRU[uint64, struct{}](max(1, capacity), nil)
	return &LRU{pieces}
}

// Use returns how many pieces of chain's start are cached, then caches all.
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

// Ideal is what one cache with the pooled capacity would give.
type Ideal struct {
	HitRate float64
	TTFTs   []time.Duration // with an engine that is always idle
}

// Replay feeds one LRU cache of capacity pieces with all requests in order and
// counts those that count says.
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

func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// calibration names a site's capacity for a mix.
type capacityKey struct {
	site string
	mix  workload.Mix
}

var capacities sync.Map // calibration to float64

const (
	calibrationWarmUp = 3000 // requests
	calibrationCount  = 5000
	calibrationSeeds  = 5
)

// Capacity returns the requests per second of mix at which consistent hashing
// of the whole prompt saturates its busiest engine: the reciprocal of that
// engine's prefill time per request, with the caches' hits taken from a replay
// through one LRU per engine. It is the median over seeds, so it depends on
// the engine model and the mix only.
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

// Cache counts what engines computed although another one held it.
type WasteCounter struct {
	mu      sync.Mutex
	holders map[uint64]int
	wasted  int
}

// NewCache returns a Cache that knows no piece.
func NewWasteCounter() *WasteCounter { return &WasteCounter{holders: make(map[uint64]int)} }

// Observe is told of every operation on a piece.
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

// Wasted returns the tokens computed although another engine held them.
func (c *WasteCounter) Wasted() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wasted
}
