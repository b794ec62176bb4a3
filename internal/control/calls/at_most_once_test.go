package calls

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
	historyLength = 240
	historiesEnv  = "CURRANTPULLEY_HISTORIES"
)

// histories returns the number of histories per seed: the value of
// historiesEnv, or short if it is not set.
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

func testParameters(seed int64, tests int) *gopter.TestParameters {
	p := gopter.DefaultTestParametersWithSeed(seed)
	p.MinSuccessfulTests = tests
	return p
}

// runHistory simulates a history and returns the violation that the checker
// found, or an empty string. It adds the outcomes to total.
func runHistory(b bug, ops []uint32, total *outcomeCounts) string {
	sim := newSimulation(b)
	for _, op := range ops {
		sim.step(op)
		if sim.violation != "" {
			break
		}
	}
	if total != nil {
		total.runs += sim.counts.runs
		total.replays += sim.counts.replays
		total.notRun += sim.counts.notRun
		total.unknown += sim.counts.unknown
	}
	return sim.violation
}

// atMostOnce is the property that a simulation with bug b has no violation.
func atMostOnce(b bug, total *outcomeCounts) gopter.Prop {
	return prop.ForAllNoShrink(func(ops []uint32) string { return runHistory(b, ops, total) },
		gen.SliceOfN(historyLength, gen.UInt32()))
}

// TestAtMostOnce checks random histories with retries through other daemons,
// crashes, restarts, pauses, lost replies, delayed appends, outages of the log
// and trimmed records. No call may run twice within the horizon, and no call
// that ran may be refused as not run.
func TestAtMostOnce(t *testing.T) {
	for _, seed := range []int64{1, 2, 3} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			var total outcomeCounts
			properties := gopter.NewProperties(testParameters(seed, histories(t, 300)))
			properties.Property("no call runs twice and no refusal is false", atMostOnce(noBug, &total))
			properties.TestingRun(t)
			t.Logf("seed %d: %+v", seed, total)
			if total.runs == 0 || total.replays == 0 || total.notRun == 0 || total.unknown == 0 {
				t.Errorf("some outcome was never reached: %+v", total)
			}
		})
	}
}

// TestCheckerFindsPlantedBugs guards against a checker that accepts everything:
// the checker of TestAtMostOnce must find each planted bug.
func TestCheckerFindsPlantedBugs(t *testing.T) {
	for name, b := range map[string]bug{
		"dispatch before the intent is read back": winBeforeReadBack,
		"retry after a reset":                     resendAfterReset,
		"void after a byte left":                  voidAfterSend,
		"not-run claimed without knowing":         claimNotRunWhenDown,
	} {
		t.Run(name, func(t *testing.T) {
			result := atMostOnce(b, nil).Check(testParameters(1, 5_000))
			if result.Passed() {
				t.Fatal("the checker found nothing")
			}
			t.Logf("found after %d histories: %v", result.Succeeded, result.Labels)
		})
	}
}
