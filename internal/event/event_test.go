package event

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// Numbers and names must be unique and well formed, since log queries and the
// timeline select events by them.
func TestCatalogueIsUnambiguous(t *testing.T) {
	snake := regexp.MustCompile(`^[a-z]+(_[a-z0-9]+)*$`)
	numbers, names := map[ID]string{}, map[string]ID{}
	for _, d := range Catalogue() {
		if other, ok := numbers[d.ID]; ok {
			t.Errorf("number %d is used by %s and %s", d.ID, other, d.Name)
		}
		if other, ok := names[d.Name]; ok {
			t.Errorf("name %s is used by %d and %d", d.Name, other, d.ID)
		}
		numbers[d.ID], names[d.Name] = d.Name, d.ID
		if !snake.MatchString(d.Name) || d.Text == "" {
			t.Errorf("event %d has the name %q and the text %q", d.ID, d.Name, d.Text)
		}
		switch d.Level {
		case Debug, Info, Warn, Error:
		default:
			t.Errorf("event %d has the level %q", d.ID, d.Level)
		}
	}
}

// docs/EVENTS.md is generated, and goes out of date when the catalogue changes
// without it.
func TestPageMatchesCatalogue(t *testing.T) {
	page, err := os.ReadFile("../../docs/EVENTS.md")
	if err != nil {
		t.Fatal(err)
	}
	if string(page) != Markdown() {
		t.Error("docs/EVENTS.md differs from the catalogue; run go generate ./internal/event")
	}
}

// The catalogue must not list events that no code records: operators would look
// for them in vain.
func TestEveryEventIsRecordedSomewhere(t *testing.T) {
	source := readSources(t, "../..")
	constant := regexp.MustCompile(`(?m)^\t([A-Z]\w+) +ID = \d+`)
	for _, text := range readSources(t, ".") {
		for _, m := range constant.FindAllStringSubmatch(text, -1) {
			used := regexp.MustCompile(`\bevent\.` + m[1] + `\b`)
			if !slices.ContainsFunc(source, used.MatchString) {
				t.Errorf("%s is in the catalogue, but no code records it", m[1])
			}
		}
	}
}

// readSources returns the contents of the non-test Go files below dir.
func readSources(t *testing.T, dir string) []string {
	t.Helper()
	var out []string
	err := filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		data, err := os.ReadFile(path)
		out = append(out, string(data))
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return out
}
