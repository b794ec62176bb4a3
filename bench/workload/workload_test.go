package workload

import (
	"bytes"
	"testing"
	"time"
)

// TestSameSeedSameRequests guards the comparison of policies: runs with one seed
// must get the same requests at the same times.
func TestSameSeedSameRequests(t *testing.T) {
	phases := []Phase{{Length: 5 * time.Second, Mix: Usual, From: 20, To: 60}}
	a, b, other := New(1).Arrivals(phases), New(1).Arrivals(phases), New(2).Arrivals(phases)
	if len(a) != len(b) || len(a) < 100 {
		t.Fatalf("%d and %d requests", len(a), len(b))
	}
	for i := range a {
		if !bytes.Equal(a[i].Body, b[i].Body) || a[i].Due != b[i].Due {
			t.Fatalf("request %d differs", i)
		}
	}
	if bytes.Equal(a[0].Body, other[0].Body) {
		t.Fatal("seeds 1 and 2 give the same first request")
	}
}

// TestPromptsShareNestedPrefixesOnlyInTheirWorkspace checks that prompts share
// pieces within a workspace and never across workspaces.
func TestPromptsShareNestedPrefixesOnlyInTheirWorkspace(t *testing.T) {
	g := New(1)
	owner := make(map[uint64]int)
	shared := 0
	for range 500 {
		r := g.Next(Usual, 0)
		if len(r.Pieces) < 2 || len(r.Pieces) > 18 {
			t.Fatalf("%d pieces", len(r.Pieces))
		}
		for _, piece := range r.Pieces {
			if w, ok := owner[piece]; ok {
				shared++
				if w != r.Workspace {
					t.Fatal("two workspaces share a piece")
				}
			}
			owner[piece] = r.Workspace
		}
	}
	if shared == 0 {
		t.Fatal("no prefix is shared")
	}
}
