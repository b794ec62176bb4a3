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

// histories returns how many histories to try per seed.
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

// runHistory runs a history and returns what the checker found.
func runHistory(b bug, ops []uint32, total *outcomeCounts) string {
	w := newSimulation(b)
	for _, op := range ops {
		w.step(op)
		if w.violation != "" {
			break
		}
	}
	if total != nil {
		total.runs += w.counts.runs
		total.replays += w.counts.replays
		total.notRun += w.counts.notRun
		total.unknown += w.counts.unknown
	}
	return w.violation
}

func atMostOnce(b bug, total *outcomeCounts) gopter.Prop {
	return prop.ForAllNoShrink(func(ops []uint32) string { return runHistory(b, ops, total) },
		gen.SliceOfN(historyLength, gen.UInt32()))
}

// TestAtMostOnce tries histories of retries through other daemons, crashes,
// pauses, lost replies, late appends, outages, retention and restarts.
func TestAtMostOnce(t *testing.T) {
	for _, seed := range []int64{1, 2, 3} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			var total outcomeCounts
			properties := gopter.NewProperties(testParameters(seed, histories(t, 300)))
			properties.Property("no call runs twice and no refusal is false", atMostOnce(noBug, &total))
			properties.TestingRun(t)
			t.Logf("seed %d: %+v", seed, total)
			if total.runs == 0 || total.replays == 0 || total.notRun == 0 || total.unknown == 0 {
				t.Errorf("the histories did not reach every kind of end: %+v", total)
			}
		})
	}
}

// TestCheckerFindsPlantedBugs shows that the checker of TestAtMostOnce can fail.
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
