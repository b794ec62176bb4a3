package orders

import (
	"fmt"
	"os"
	"strconv"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

const (
	historyLength = 200
	historiesEnv  = "CURRANTPULLEY_HISTORIES"
)

// histories returns the number of histories to run: that in the environment, or
// else short.
func histories(t *testing.T, short int) int {
	text := os.Getenv(historiesEnv)
	if text == "" {
		return short
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("%s: %v", historiesEnv, err)
	}
	return n
}

// ordersProperty runs random histories with pauses longer than the lease, late
// orders, lost replies, log outages and crashes of daemons and engines.
func ordersProperty(ignoreExpiry bool, sent *int) gopter.Prop {
	return prop.ForAllNoShrink(func(ops []uint32) string {
		s := newSimulation()
		s.ignoreExpiry = ignoreExpiry
		for _, op := range ops {
			if s.step(op); s.violation != "" {
				return s.violation
			}
		}
		s.converge()
		*sent += s.sent
		return s.violation
	}, gen.SliceOfN(historyLength, gen.UInt32()))
}

// TestOrdersAreSafeAndConverge checks that only the lease holder sends orders,
// that no order of an earlier holder takes effect after one of a later holder,
// that the limit of concurrent loads holds and that the engines converge.
func TestOrdersAreSafeAndConverge(t *testing.T) {
	for _, seed := range []int64{1, 2, 3} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			p := gopter.DefaultTestParametersWithSeed(seed)
			p.MinSuccessfulTests = histories(t, 100)
			sent := 0
			properties := gopter.NewProperties(p)
			properties.Property("only the lease holder sends orders and the engines converge", ordersProperty(false, &sent))
			properties.TestingRun(t)
			t.Logf("seed %d: %d orders", seed, sent)
			if sent == 0 {
				t.Error("no order was sent")
			}
		})
	}
}

// TestOrdersCheckerFindsPlantedBug checks that the property of
// TestOrdersAreSafeAndConverge fails if orders are sent after their lease expired.
func TestOrdersCheckerFindsPlantedBug(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(1)
	p.MinSuccessfulTests = 5000
	sent := 0
	result := ordersProperty(true, &sent).Check(p)
	if result.Passed() {
		t.Fatal("orders sent after the lease expired were not detected")
	}
	t.Logf("detected after %d histories: %v", result.Succeeded, result.Labels)
}
