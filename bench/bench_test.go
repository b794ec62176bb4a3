package main

import (
	"context"
	"slices"
	"sync"
	"testing"

	"currantpulley/bench/scenario"
	"currantpulley/bench/site"
)

// shortScale shortens the phases so that each run takes a few seconds.
const shortScale = 0.15

// runSteady runs the scenario "steady" and fails the test if no request succeeded
// or a guarantee was violated.
func runSteady(t *testing.T, policy string, ignoreCache bool) *scenario.Figures {
	t.Helper()
	s, err := site.Named("atlas")
	if err != nil {
		t.Fatal(err)
	}
	placement, err := placementFor(policy)
	if err != nil {
		t.Fatal(err)
	}
	f, err := scenario.Run(context.Background(), scenario.Options{
		Scenario: "steady", Site: s, Policy: policy, Placement: placement, Seed: 1, IgnoreCache: ignoreCache, Scale: shortScale,
	})
	if err != nil {
		t.Fatal(err)
	}
	if f.OK == 0 || f.Violations != 0 {
		t.Fatalf("%+v", f)
	}
	return f
}

// TestEnginesThatIgnoreTheirCachesShowNoHits checks the measurement: hits must be
// counted at the engines, not expected from the prompts.
func TestEnginesThatIgnoreTheirCachesShowNoHits(t *testing.T) {
	if f := runSteady(t, policyHash, true); f.HitRate != 0 || f.IdealHitRate == 0 {
		t.Fatalf("hit rate %g, ideal %g", f.HitRate, f.IdealHitRate)
	}
}

// TestRandomIsClearlyWorse checks that the benchmark can tell policies apart.
func TestRandomIsClearlyWorse(t *testing.T) {
	var random, full *scenario.Figures
	var wait sync.WaitGroup
	wait.Go(func() { random = runSteady(t, policyRandom, false) })
	wait.Go(func() { full = runSteady(t, policyFull, false) })
	wait.Wait()
	if random.HitRate > 0.9*full.HitRate || random.WastedShare < full.WastedShare {
		t.Fatalf("random: hit rate %g, wasted %g; full: %g, %g",
			random.HitRate, random.WastedShare, full.HitRate, full.WastedShare)
	}
}

// TestFlagsWithOneDash checks that long flags are accepted with one dash and that
// other arguments are not changed.
func TestFlagsWithOneDash(t *testing.T) {
	f, err := parse([]string{"-site", "indus", "--policy=full,hash", "-seed", "3", "-json"})
	if err != nil || f.site != "indus" || f.policies != "full,hash" || f.seed != 3 {
		t.Fatalf("%+v, %v", f, err)
	}
	if got := longFlags([]string{"-x", "--y", "z"}); !slices.Equal(got, []string{"-x", "--y", "z"}) {
		t.Fatalf("%v", got)
	}
}
