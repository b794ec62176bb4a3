package measure

import (
	"testing"
	"time"

	"currantpulley/bench/site"
	"currantpulley/bench/workload"
	"currantpulley/internal/fake/fakeengine"
)

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
		t.Fatalf("%g with room for all", got)
	}
	if got := hitRate(2, requests); got != 0.25 {
		t.Fatalf("%g with room for one", got)
	}
}

func TestWastedCountsPiecesHeldElsewhere(t *testing.T) {
	c := NewWasteCounter()
	observe := func(op fakeengine.Op) { c.Observe(fakeengine.Observation{Engine: "e", Op: op, Piece: 1}) }
	observe(fakeengine.Prefill)
	observe(fakeengine.Store)
	if c.Wasted() != 0 {
		t.Fatal("the first prefill is no waste")
	}
	observe(fakeengine.Prefill)
	observe(fakeengine.Evict)
	observe(fakeengine.Prefill)
	if got := c.Wasted(); got != site.PieceTokens {
		t.Fatalf("%d wasted tokens", got)
	}
}
