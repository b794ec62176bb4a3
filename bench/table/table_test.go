package table

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"currantpulley/bench/scenario"
	"currantpulley/bench/site"
)

// newTestTable returns a table in which the figures of the baselines are the same
// in every cell and own returns those of the router's own policy.
func newTestTable(own func(seed int) scenario.Figures) *Table {
	t := newTable(Options{
		Sites:    []site.Site{{Name: "atlas"}},
		Policies: []Policy{{Name: "full"}, {Name: "random"}, {Name: "hash"}},
		Seeds:    3,
	})
	for _, c := range t.cells {
		for seed := 1; seed <= 3; seed++ {
			f := scenario.Figures{HitRate: 0.4, IdealHitRate: 0.8, WastedShare: 0.4, TTFTP99: 900, InDeadline: 0.5}
			if c.policy.Name == "full" {
				f = own(seed)
			}
			c.figures = append(c.figures, &f)
		}
	}
	return t
}

// passing returns figures that meet all targets.
func passing(int) scenario.Figures {
	return scenario.Figures{
		HitRate: 0.78, IdealHitRate: 0.8, WastedShare: 0.1, TTFTP99: 300, InDeadline: 0.7, HitRateBefore: 0.8, HitRateAfter: 0.78,
		WorkShare: 1, AdmittedP99: 0.9, RecoverySeconds: 2, ShortRatio: 1.2, TTFTRatio: 1.2,
	}
}

// TestPageListsMissedTargets checks that a missed target of each type (median,
// ratio to the ideal, highest over seeds, ratio to a baseline) is reported.
func TestPageListsMissedTargets(t *testing.T) {
	if page := newTestTable(passing).page(); !strings.Contains(page, "Nothing.") || strings.Contains(page, "**no**") {
		t.Fatal(page)
	}
	for name, c := range map[string]struct {
		change func(*scenario.Figures, int)
		want   string
	}{
		"median":   {func(f *scenario.Figures, seed int) { f.TTFTP99 = float64(400 * seed) }, "ttft_p99 / best baseline is 0.889"},
		"ideal":    {func(f *scenario.Figures, _ int) { f.HitRate = 0.72 }, "hit_rate / ideal is 0.9"},
		"any seed": {func(f *scenario.Figures, seed int) { f.Violations = seed / 3 }, "violations, any seed is 1"},
		"crest":    {func(f *scenario.Figures, _ int) { f.InDeadline = 0.6 }, "in_deadline_share / best baseline is 1.2"},
	} {
		t.Run(name, func(t *testing.T) {
			page := newTestTable(func(seed int) scenario.Figures {
				f := passing(seed)
				c.change(&f, seed)
				return f
			}).page()
			if !strings.Contains(page, c.want) {
				t.Fatal(page)
			}
		})
	}
}

func TestPlotsAreWritten(t *testing.T) {
	directory := t.TempDir()
	if err := newTestTable(passing).Write(directory); err != nil {
		t.Fatal(err)
	}
	for _, c := range charts {
		data, err := os.ReadFile(filepath.Join(directory, plotDirectory, c.file+".svg"))
		if err != nil || !strings.Contains(string(data), "<svg") {
			t.Fatalf("%s: %v", c.file, err)
		}
	}
}
