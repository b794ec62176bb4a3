package branches

import (
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

func TestBranchesAreWherePromptsDiverge(t *testing.T) {
	a := New(100)
	a.Learn([]uint64{1, 2, 3, 4})
	if at := a.Next([]uint64{1, 2, 3, 4}, 0); at != -1 {
		t.Fatalf("branch at %d after one prompt", at)
	}
	a.Learn([]uint64{1, 2, 5, 6})
	for from, want := range []int{1, 1, -1} {
		if at := a.Next([]uint64{1, 2, 3, 4}, from); at != want {
			t.Errorf("first branch from index %d is %d, expected %d", from, at, want)
		}
	}
}

func TestTwoDaemonsFindABranchTogether(t *testing.T) {
	a, b := New(100), New(100)
	a.Learn([]uint64{1, 2, 3})
	b.Learn([]uint64{1, 2, 4})
	fromA, fromB := a.TakeUnshared(100), b.TakeUnshared(100)
	a.Merge(fromB)
	b.Merge(fromA)
	if a.Next([]uint64{1, 2, 3}, 0) != 1 || b.Next([]uint64{1, 2, 3}, 0) != 1 {
		t.Error("the two daemons did not find a branch of which each saw one follower")
	}
	if len(a.TakeUnshared(100)) != 0 {
		t.Error("facts merged from another daemon are shared again")
	}
	if known := a.Known(10); len(known) != 1 || known[0].Piece != 2 {
		t.Errorf("known branches are %v, expected piece 2", known)
	}
}

func TestTrackerIsBounded(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("pieces and returned facts are bounded", prop.ForAll(func(prompts [][]uint64) bool {
		a := New(20)
		for _, p := range prompts {
			a.Learn(p)
		}
		return a.Len() <= 20 && len(a.TakeUnshared(5)) <= 5
	}, gen.SliceOf(gen.SliceOf(gen.UInt64()))))
	properties.TestingRun(t)
}
