// Package holders records which upstreams are known to hold a prefix in their
// cache. Each entry carries the epoch of its upstream, a counter that the caller
// raises when the engine restarts or its weights version changes. The caller
// ignores entries of an older epoch.
package holders

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// PerPrefix is the largest number of holders remembered for one prefix.
const PerPrefix = 4

// Holder is an upstream that holds a prefix.
type Holder struct {
	Upstream int32     // number by which the caller identifies the upstream
	Epoch    uint32    // of the upstream when the entry was made; 0 if the caller keeps none
	At       time.Time // when the upstream last used the prefix
}

// entry holds the holders of one prefix.
type entry struct {
	holders [PerPrefix]Holder
	n       int
}

// Table maps prefixes to their holders. It is bounded and evicts the prefix for
// which Add was called least recently. It is not safe for concurrent use.
type Table struct {
	prefixes *simplelru.LRU[uint64, *entry]
}

// New returns a table of at most size prefixes.
func New(size int) *Table {
	lru, err := simplelru.NewLRU[uint64, *entry](size, nil)
	if err != nil {
		panic(err) // size is not positive
	}
	return &Table{prefixes: lru}
}

// Add records that h holds prefix. It replaces the least recently used
// holder when there are PerPrefix others.
func (t *Table) Add(prefix uint64, h Holder) {
	e, ok := t.prefixes.Get(prefix)
	if !ok {
		e = &entry{}
		t.prefixes.Add(prefix, e)
	}
	oldest := 0
	for i := range e.n {
		if e.holders[i].Upstream == h.Upstream {
			e.holders[i] = h
			return
		}
		if e.holders[i].At.Before(e.holders[oldest].At) {
			oldest = i
		}
	}
	if e.n < PerPrefix {
		e.holders[e.n] = h
		e.n++
		return
	}
	e.holders[oldest] = h
}

// Drop records that an upstream no longer holds prefix.
func (t *Table) Drop(prefix uint64, upstream int32) {
	e, ok := t.prefixes.Peek(prefix)
	if !ok {
		return
	}
	for i := range e.n {
		if e.holders[i].Upstream == upstream {
			e.n--
			e.holders[i] = e.holders[e.n]
			return
		}
	}
}

// Find returns the holders of prefix. The slice is valid until the next method
// call.
func (t *Table) Find(prefix uint64) []Holder {
	e, ok := t.prefixes.Peek(prefix)
	if !ok {
		return nil
	}
	return e.holders[:e.n]
}

// Len returns the number of prefixes in the table.
func (t *Table) Len() int { return t.prefixes.Len() }
