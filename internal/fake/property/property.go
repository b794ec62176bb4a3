// Package property gives property-based tests a fixed seed, so that every run
// has the same result.
package property

import (
	"os"
	"strconv"

	"github.com/leanovate/gopter"
)

// seedVariable names the environment variable that overrides the seed.
const seedVariable = "CURRANTPULLEY_SEED"

// Parameters returns parameters for the given number of runs, with a fixed seed
// or with the one in CURRANTPULLEY_SEED.
func Parameters(runs int) *gopter.TestParameters {
	seed := int64(1)
	if n, err := strconv.ParseInt(os.Getenv(seedVariable), 10, 64); err == nil {
		seed = n
	}
	p := gopter.DefaultTestParametersWithSeed(seed)
	p.MinSuccessfulTests = runs
	return p
}
