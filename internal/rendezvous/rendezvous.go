// Package rendezvous ranks names for a key by rendezvous hashing, that is by
// highest random weight (Thaler and Ravishankar, 1998). Every process that knows
// the same names computes the same ranking, and removing a name moves only the
// keys that it owned.
package rendezvous

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// goldenGamma is the increment of the SplitMix64 generator.
const goldenGamma = 0x9e3779b97f4a7c15

// Hash returns the 64-bit hash of a name or a key.
func Hash(s string) uint64 { return xxhash.Sum64String(s) }

// Weight returns the weight of a hashed name for a hashed key. It mixes the two
// with the output function of SplitMix64.
func Weight(name, key uint64) uint64 {
	z := name ^ (key * goldenGamma)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// Fraction maps a hash to a number from 0 to below 1.
func Fraction(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }

// ranked is a name's index with its weight.
type ranked struct {
	index  int
	weight uint64
}

// Top returns the indices of the n names with the highest weight for key, highest
// first. Names and key are hashed with Hash. It returns all indices when there
// are fewer than n names.
func Top(names []uint64, key uint64, n int) []int {
	n = min(n, len(names))
	if n <= 0 {
		return nil
	}
	best := make([]ranked, 0, n+1)
	for i, name := range names {
		w := Weight(name, key)
		if len(best) == n && w <= best[n-1].weight {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, w, func(r ranked, w uint64) int {
			if r.weight > w {
				return -1
			}
			return 1
		})
		best = slices.Insert(best, at, ranked{i, w})
		if len(best) > n {
			best = best[:n]
		}
	}
	out := make([]int, len(best))
	for i, r := range best {
		out[i] = r.index
	}
	return out
}
