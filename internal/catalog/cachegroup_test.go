package catalog

import (
	"slices"
	"testing"
)

// configWith returns a configuration with the workspaces a, b, c and d, of which the
// named ones are isolated.
func configWith(isolated ...string) (*Config, map[string]*Workspace) {
	c := &Config{}
	c.Isolate(isolated)
	workspaces := make(map[string]*Workspace)
	for _, name := range []string{"a", "b", "c", "d"} {
		workspaces[name] = &Workspace{Name: name, Isolated: slices.Contains(isolated, name)}
	}
	return c, workspaces
}

// isolatedBy returns the names whose bit is set in mask.
func isolatedBy(mask int) []string {
	var out []string
	for i, name := range []string{"a", "b", "c", "d"} {
		if mask&(1<<i) != 0 {
			out = append(out, name)
		}
	}
	return out
}

// Guards against cache entries that a workspace left in the group of all others when it
// became isolated: in no series of configurations may two workspaces have had one group
// at any time if one of them is isolated now.
func TestIsolatedWorkspacesNeverShareAGroupWithEarlierOnes(t *testing.T) {
	const masks, length = 1 << 4, 3 // all series of this length
	for series := range masks * masks * masks {
		users := make(map[string]map[string]bool) // all workspaces that ever had a group
		for step, rest := 0, series; step < length; step, rest = step+1, rest/masks {
			config, workspaces := configWith(isolatedBy(rest % masks)...)
			for name, w := range workspaces {
				group := config.CacheGroup(w)
				if users[group] == nil {
					users[group] = make(map[string]bool)
				}
				users[group][name] = true
			}
			for name, w := range workspaces {
				for other := range users[config.CacheGroup(w)] {
					if other != name && (w.Isolated || workspaces[other].Isolated) {
						t.Fatalf("series %x: %s finds what %s left, isolated are %v", series, name, other, isolatedBy(rest%masks))
					}
				}
			}
		}
	}
}

func TestCacheGroup(t *testing.T) {
	none, _ := configWith()
	one, isolated := configWith("a")
	two, _ := configWith("b", "a")
	if none.CacheGroup(nil) != "shared" || none.CacheGroup(isolated["b"]) != "shared" {
		t.Error("without isolated workspaces there are several groups")
	}
	if one.CacheGroup(isolated["b"]) != one.CacheGroup(nil) || one.CacheGroup(nil) == two.CacheGroup(nil) {
		t.Error("the group of all others doesn't follow from the isolated workspaces")
	}
	same := &Config{}
	same.Isolate([]string{"a", "b", "a"})
	if same.CacheGroup(nil) != two.CacheGroup(nil) {
		t.Error("the group depends on the order of the workspaces")
	}
	if one.CacheGroup(&Workspace{Name: "a"}) != "workspace a" {
		t.Error("a request that came before its workspace was isolated shares cache entries")
	}
	if none.CacheGroup(isolated["a"]) != "workspace a" {
		t.Error("a request of a workspace that was isolated when it came shares cache entries")
	}
}
