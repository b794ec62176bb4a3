package holders

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

func TestTableIsBounded(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("prefixes and holders are bounded, and an upstream has one entry per prefix", prop.ForAll(func(prefixes []uint8, upstreams []int32) bool {
		table := New(10)
		at := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
		for i, p := range prefixes {
			for _, u := range upstreams {
				at = at.Add(time.Second)
				table.Add(uint64(p), Holder{Upstream: u % 7, Epoch: uint32(i), At: at})
			}
			seen := map[int32]bool{}
			for _, h := range table.Find(uint64(p)) {
				if seen[h.Upstream] {
					return false
				}
				seen[h.Upstream] = true
			}
			if len(seen) > PerPrefix {
				return false
			}
		}
		return table.Len() <= 10
	}, gen.SliceOf(gen.UInt8()), gen.SliceOf(gen.Int32())))
	properties.TestingRun(t)
}

func TestOldestHolderIsReplaced(t *testing.T) {
	table := New(10)
	at := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	for u := range int32(PerPrefix + 1) {
		table.Add(1, Holder{Upstream: u, At: at.Add(time.Duration(u) * time.Second)})
	}
	for _, h := range table.Find(1) {
		if h.Upstream == 0 {
			t.Error("the oldest holder was not replaced")
		}
	}
	table.Drop(1, 2)
	if n := len(table.Find(1)); n != PerPrefix-1 {
		t.Errorf("%d holders after one was dropped, expected %d", n, PerPrefix-1)
	}
}
