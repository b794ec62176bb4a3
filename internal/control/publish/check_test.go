package publish

import (
	"strings"
	"testing"

	"currantpulley/internal/config"
)

// TestGuards edits a valid pair of files and expects the refusal of a guard, or
// none.
func TestGuards(t *testing.T) {
	second := strings.NewReplacer("engine-1", "engine-2", "9001", "9002").Replace(overlayText[strings.Index(overlayText, "[upstreams"):])
	third := strings.NewReplacer("engine-1", "engine-3", "9001", "9003").Replace(overlayText[strings.Index(overlayText, "[upstreams"):])
	parse := func(overlay string) *config.Set {
		set, err := config.Parse([]config.File{
			{Name: "base.toml", Data: []byte(strings.Replace(baseText, "%s", "w", 1))},
			{Name: "punjab.toml", Data: []byte(overlay)},
		})
		if err != nil {
			t.Fatal(err)
		}
		return set
	}
	before := parse(overlayText + second + third)
	for _, c := range []struct {
		name     string
		overlay  string
		override bool
		key      string // of the first refusal; empty: no refusal
	}{
		{"no change", overlayText + second + third, false, ""},
		{"one engine removed", overlayText + second, false, ""},
		{"two of three engines removed", overlayText, false, "models.notes"},
		{"two of three engines removed with an override", overlayText, true, ""},
		{"site of the VM removed", strings.Replace(overlayText, "punjab", "sindh", 1), true, "site"},
		{"nearly everything changed", strings.ReplaceAll(overlayText+second+third, `data_centre = "a"`, `data_centre = "b"`) +
			"[retry]\nbudget = 0.2\n[admission]\nqueue_max = 8\n[orders]\nloads_at_once = 3\n", false, "publish.change_max"},
	} {
		t.Run(c.name, func(t *testing.T) {
			k := &checker{self: "vm-1", site: "punjab", before: before, override: c.override}
			got := k.check(parse(c.overlay))
			if (len(got) == 0) != (c.key == "") || len(got) > 0 && got[0].GetKey() != c.key {
				t.Fatalf("got %v, want %q", got, c.key)
			}
		})
	}
}
