package cli

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"currantpulley/internal/config"
)

// loadSet reads and validates a base and its overlays.
func loadSet(paths []string) (*config.Set, error) {
	files := make([]config.File, 0, len(paths))
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, usage(fmt.Errorf("read configuration: %w", err))
		}
		files = append(files, config.File{Name: filepath.Base(path), Data: data})
	}
	set, err := config.Parse(files)
	if err != nil {
		return nil, refused(fmt.Errorf("the configuration is invalid:\n%w", err))
	}
	return set, nil
}

// checkReport is the JSON output of check.
type checkReport struct {
	Hash  string   `json:"hash"`
	Sites []string `json:"sites"`
}

func addCheck(a *App) {
	var paths []string
	cmd := a.command("check", "Validate a base and its overlays without publishing them.", func(context.Context) error {
		set, err := loadSet(paths)
		if err != nil {
			return err
		}
		return a.printResult(checkReport{set.Hash(), set.Sites()},
			fmt.Sprintf("valid: sites %s, content hash %.12s", strings.Join(set.Sites(), ", "), set.Hash()))
	})
	cmd.Arg("files", "The base and the overlays.").Required().ExistingFilesVar(&paths)
}
