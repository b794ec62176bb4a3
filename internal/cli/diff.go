package cli

import (
	"context"
	"fmt"
	"path/filepath"
	"strings"

	"currantpulley/internal/config"
)

// diffReport is the JSON output of diff.
type diffReport struct {
	Changes []config.Change `json:"changes"`
	Share   float64         `json:"share"` // of the old items that were removed or changed
}

func addDiff(a *App) {
	var before, after string
	cmd := a.command("diff", "Show the differences between two directories of configuration files.", func(context.Context) error {
		old, err := loadDirectory(before)
		if err != nil {
			return err
		}
		current, err := loadDirectory(after)
		if err != nil {
			return err
		}
		report := diffReport{config.Diff(old, current), config.ChangeShare(old, current)}
		return a.printResult(report, diffText(report))
	})
	cmd.Arg("before", "Directory with a base and its overlays.").Required().ExistingDirVar(&before)
	cmd.Arg("after", "Directory with a base and its overlays.").Required().ExistingDirVar(&after)
}

// loadDirectory loads all TOML files of a directory as one configuration.
func loadDirectory(dir string) (*config.Set, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.toml"))
	if err != nil || len(paths) == 0 {
		return nil, usage(fmt.Errorf("directory %s has no .toml files", dir))
	}
	return loadSet(paths)
}

func diffText(report diffReport) string {
	if len(report.Changes) == 0 {
		return "no difference"
	}
	lines := make([]string, 0, len(report.Changes)+1)
	for _, c := range report.Changes {
		lines = append(lines, c.String())
	}
	lines = append(lines, fmt.Sprintf("%.0f%% of the items removed or changed", report.Share*100))
	return strings.Join(lines, "\n")
}
