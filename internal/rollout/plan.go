// Package rollout updates engines to the newest weights version that operators
// announced. One daemon at a time, the holder of a lease, gives the orders.
//
// The plan is a pure function of the known state of the engines. It also works
// when versions are announced faster than all engines can load them: superseded
// versions are skipped, the engines that are furthest behind are updated first,
// and only a few engines are out of service at once.
package rollout

import (
	"cmp"
	"slices"
	"time"

	"currantpulley/internal/catalog"
)

const (
	// loadingDivisor limits the engines that load weights at once to one in
	// loadingDivisor. More would share the bandwidth of the same weight store and
	// only take longer.
	loadingDivisor = 4
	// orderTimeout is the time after which an order without effect is repeated.
	orderTimeout = 4 * time.Second
)

// Engine holds the state of one engine that the plan depends on.
type Engine struct {
	Key            catalog.Key
	Version        uint64    // version served; 0: unknown
	OrderedVersion uint64    // version of an order whose outcome is not known yet; 0: none
	OrderedAt      time.Time // time of that order
	RetryAt        time.Time // earliest time of the next order
	Load           float64   // number of requests in progress
	ShortLane      bool      // reserved for short work; the two lanes are limited separately
}

// loading reports whether the engine has an order in progress.
func (e *Engine) loading(now time.Time) bool {
	return e.OrderedVersion > e.Version && now.Sub(e.OrderedAt) < orderTimeout
}

// MaxLoading returns how many of the n engines of a lane may load weights at
// once.
func MaxLoading(n int) int { return max(1, n/loadingDivisor) }

// Plan returns the engines that should now be ordered to load version target,
// most urgent first.
func Plan(engines []Engine, target uint64, now time.Time) []catalog.Key {
	size := make(map[bool]int)
	for _, e := range engines {
		size[e.ShortLane]++
	}
	free := make(map[bool]int, len(size))
	for lane, n := range size {
		free[lane] = MaxLoading(n)
	}
	var behind []Engine
	for _, e := range engines {
		if e.loading(now) {
			free[e.ShortLane]--
			continue
		}
		if e.Version < target && !now.Before(e.RetryAt) {
			behind = append(behind, e)
		}
	}
	slices.SortFunc(behind, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Load, b.Load), cmp.Compare(a.Key.ID, b.Key.ID))
	})
	var chosen []catalog.Key
	for _, e := range behind {
		if free[e.ShortLane] > 0 {
			free[e.ShortLane]--
			chosen = append(chosen, e.Key)
		}
	}
	return chosen
}
