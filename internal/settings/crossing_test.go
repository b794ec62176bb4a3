package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Prices of a crossing that can't be are refused with their key.
func TestPricesOfACrossing(t *testing.T) {
	for text, want := range map[string]string{
		`round_trip = "1ms"`:        "",
		`wait_per_mb = "-1ms"`:      `"crossing.wait_per_mb"`,
		`wait_per_cache_gb = "20m"`: `"crossing.wait_per_cache_gb"`,
		`wait_per_mb = "500"`:       "crossing.wait_per_mb",
		`wait = "1ms"`:              `unknown key "crossing.wait"`,
	} {
		file := filepath.Join(t.TempDir(), "settings.toml")
		content := "vm = \"v\"\ndata_centre = \"d\"\nsite = \"s\"\n[crossing]\n" + text + "\n"
		if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		s, err := Load(file)
		if err == nil {
			err = s.Check()
		}
		if (err == nil) != (want == "") || (err != nil && !strings.Contains(err.Error(), want)) {
			t.Errorf("%s: %v, want %q", text, err, want)
		}
	}
}
