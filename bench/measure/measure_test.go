package measure

import (
	"testing"
	"time"

	"currantpulley/bench/site"
	"currantpulley/bench/workload"
	"currantpulley/internal/fake/fakeengine"
)

// TestReplayUsesThePooledCapacity checks that the hit rate of the ideal depends on
// the capacity of the cache.
func TestReplayUsesThePooledCapacity(t *testing.T) {
	request := func(pieces ...uint64) *workload.Request {
		return &workload.Request{Pieces: pieces, Tokens: len(pieces) * site.PieceTokens}
	}
	all := func(*workload.Request) bool { return true }
	hitRate := func(capacity int, requests []*workload.Request) float64 {
		prefill := func(tokens int) time.Duration { return time.Duration(tokens) }
		ideal := Replay(capacity, requests, all, prefill)
		if len(ideal.TTFTs) != len(requests) || ideal.TTFTs[0] != time.Duration(requests[0].Tokens) {
			t.Fatalf("times %v", ideal.TTFTs)
		}
		return ideal.HitRate
	}
	requests := []*workload.Request{request(1, 2), request(1, 2), request(3, 4), request(1, 2)}
	if got := hitRate(4, requests); got != 0.5 {
		t.Fatalf("hit rate %g with room for all prompts", got)
	}
	if got := hitRate(2, requests); got != 0.25 {
		t.Fatalf("hit rate %g with room for one prompt", got)
	}
}

// TestWastedCountsPiecesHeldElsewhere checks that a prefill is wasted only while
// an engine has the piece cached.
func TestWastedCountsPiecesHeldElsewhere(t *testing.T) {
	c := NewWasteCounter()
	observe := func(op fakeengine.Op) { c.Observe(fakeengine.Observation{Engine: "e", Op: op, Piece: 1}) }
	observe(fakeengine.Prefill)
	observe(fakeengine.Store)
	if c.Wasted() != 0 {
		t.Fatal("the first prefill counts as wasted")
	}
	observe(fakeengine.Prefill)
	observe(fakeengine.Evict)
	observe(fakeengine.Prefill)
	if got := c.Wasted(); got != site.PieceTokens {
		t.Fatalf("%d wasted tokens", got)
	}
}
