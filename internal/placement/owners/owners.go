// Package owners ranks upstreams for a prefix by rendezvous hashing. It caches
// the first ones of each prefix, so that a routing decision need not hash every
// upstream.
package owners

import (
	"math"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"currantpulley/internal/rendezvous"
)

// Member is an upstream that may own prefixes.
type Member struct {
	Hash   uint64 // rendezvous.Hash of its name
	Number int32  // returned by Top
}

// Table ranks one set of members. Every process with the same members computes
// the same ranking. A Table is not safe for concurrent use.
type Table struct {
	hashes  []uint64
	numbers []int32
	depth   int
	cache   *simplelru.LRU[uint64, []int32]
}

// New returns a table that caches the first depth owners of up to size prefixes.
func New(members []Member, depth, size int) *Table {
	lru, err := simplelru.NewLRU[uint64, []int32](size, nil)
	if err != nil {
		panic(err) // size is not positive
	}
	t := &Table{depth: min(depth, len(members)), cache: lru}
	for _, m := range members {
		t.hashes = append(t.hashes, m.Hash)
		t.numbers = append(t.numbers, m.Number)
	}
	return t
}

// Top returns the numbers of the first owners of key, best first. The slice
// must not be changed.
func (t *Table) Top(key uint64) []int32 {
	if top, ok := t.cache.Get(key); ok {
		return top
	}
	top := make([]int32, 0, t.depth)
	for _, i := range rendezvous.Top(t.hashes, key, t.depth) {
		top = append(top, t.numbers[i])
	}
	t.cache.Add(key, top)
	return top
}

// Len returns the number of members.
func (t *Table) Len() int { return len(t.hashes) }

// Score returns the score by which an upstream with the given name hash and
// weight is ranked among the owners of key; the lowest comes first. An upstream
// is first for a share of the keys proportional to its weight (Schindelhauer and
// Schomaker, 2005).
func Score(hash, key uint64, weight float64) float64 {
	const mantissa = 1 << 53
	uniform := (float64(rendezvous.Weight(hash, key)>>11) + 0.5) / mantissa
	return -math.Log(uniform) / weight
}
