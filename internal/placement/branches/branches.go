// Package branches learns where prompts that share a prefix diverge. A prompt is
// a sequence of pieces: chained hashes of its blocks of tokens, each of which
// identifies the prompt up to its block. A piece that was followed by more than
// one other piece is a branch. The piece after the first branch of a prompt is
// the first that only the prompts of its subtree contain, and the owners of that
// piece serve the whole subtree.
//
// A fact about what follows a piece stays true, so daemons exchange the facts
// that they learn: a branch, or the first piece seen after a leading one. Two
// daemons that saw different followers thereby find the branch.
package branches

import "github.com/hashicorp/golang-lru/v2/simplelru"

const (
	depthMax    = 64   // leading pieces of a prompt that are considered
	sharedDepth = 6    // leading pieces whose first follower is shared with other daemons
	unsharedMax = 1024 // facts of each kind queued for other daemons
)

// Fact states what follows a piece. Next is a piece that follows it, or 0 when
// several do.
type Fact struct{ Piece, Next uint64 }

// node records what followed a piece.
type node struct {
	next     uint64 // first piece seen after it; 0: none yet
	branched bool
}

// Tracker records what follows a bounded number of pieces and evicts the least
// recently used. It is not safe for concurrent use.
type Tracker struct {
	pieces            *simplelru.LRU[uint64, *node]
	unsharedBranches  []Fact // to be shared, before unsharedFollowers
	unsharedFollowers []Fact // to be shared
}

// New returns a tracker of at most size pieces.
func New(size int) *Tracker {
	lru, err := simplelru.NewLRU[uint64, *node](size, nil)
	if err != nil {
		panic(err) // size is not positive
	}
	return &Tracker{pieces: lru}
}

// Learn records the pieces of a prompt.
func (t *Tracker) Learn(pieces []uint64) {
	pieces = pieces[:min(len(pieces), depthMax)]
	for i := range max(0, len(pieces)-1) {
		f := Fact{pieces[i], pieces[i+1]}
		first, branched := t.learn(f)
		if branched && len(t.unsharedBranches) < unsharedMax {
			t.unsharedBranches = append(t.unsharedBranches, Fact{Piece: f.Piece})
		}
		if first && i < sharedDepth && len(t.unsharedFollowers) < unsharedMax {
			t.unsharedFollowers = append(t.unsharedFollowers, f)
		}
	}
}

// learn records one fact. It reports whether it is the first about its piece and
// whether it makes the piece a branch.
func (t *Tracker) learn(f Fact) (first, branched bool) {
	n := t.node(f.Piece)
	switch {
	case f.Next == 0:
		n.branched = true
	case n.next == 0:
		n.next = f.Next
		return true, false
	case !n.branched && n.next != f.Next:
		n.branched = true
		return false, true
	}
	return false, false
}

// Next returns the index of the first branch among a prompt's pieces, starting at
// index from, or -1.
func (t *Tracker) Next(pieces []uint64, from int) int {
	for i := from; i < min(len(pieces), depthMax); i++ {
		if n, ok := t.pieces.Peek(pieces[i]); ok && n.branched {
			return i
		}
	}
	return -1
}

// TakeUnshared removes and returns up to limit facts that this tracker learned
// from prompts and has not returned before, branches first.
func (t *Tracker) TakeUnshared(limit int) []Fact {
	n := min(limit, len(t.unsharedBranches))
	out := append([]Fact(nil), t.unsharedBranches[:n]...)
	t.unsharedBranches = t.unsharedBranches[n:]
	n = min(limit-n, len(t.unsharedFollowers))
	out = append(out, t.unsharedFollowers[:n]...)
	t.unsharedFollowers = t.unsharedFollowers[n:]
	return out
}

// Merge records facts that other daemons learned. They are not returned by
// TakeUnshared.
func (t *Tracker) Merge(facts []Fact) {
	for _, f := range facts {
		t.learn(f)
	}
}

// Known returns up to limit branches, most recently used first.
func (t *Tracker) Known(limit int) []Fact {
	var out []Fact
	keys := t.pieces.Keys() // oldest first
	for i := len(keys) - 1; i >= 0 && len(out) < limit; i-- {
		if n, ok := t.pieces.Peek(keys[i]); ok && n.branched {
			out = append(out, Fact{Piece: keys[i]})
		}
	}
	return out
}

// Len returns the number of pieces recorded.
func (t *Tracker) Len() int { return t.pieces.Len() }

// node returns the node of piece and adds it when there is none.
func (t *Tracker) node(piece uint64) *node {
	if n, ok := t.pieces.Get(piece); ok {
		return n
	}
	n := &node{}
	t.pieces.Add(piece, n)
	return n
}
