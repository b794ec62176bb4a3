package workload

import (
	"math"
	"sync"
)

// zipfShape holds the parameters of a Zipf distribution.
type zipfShape struct {
	n    int
	skew float64
}

var zipfCache sync.Map // caches weights: zipfShape to []float64

// zipfWeights returns the unnormalised weights of n ranks.
func zipfWeights(n int, skew float64) []float64 {
	shape := zipfShape{n, skew}
	if w, ok := zipfCache.Load(shape); ok {
		return w.([]float64)
	}
	weights := make([]float64, n)
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -skew)
	}
	zipfCache.Store(shape, weights)
	return weights
}
