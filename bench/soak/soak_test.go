package main

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"currantpulley/bench/soak/check"
)

// build builds the soak and the daemon and returns the daemon's path and a function that
// runs the soak and returns its output.
func build(t *testing.T) (daemon string, run func(args ...string) (string, error)) {
	t.Helper()
	if testing.Short() {
		t.Skip("starts processes")
	}
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	c := exec.Command("go", "build", "-o", dir, "./bench/soak", daemonPackage)
	c.Dir = root
	if out, err := c.CombinedOutput(); err != nil {
		t.Fatalf("build: %v: %s", err, out)
	}
	daemon = filepath.Join(dir, filepath.Base(daemonPackage))
	return daemon, func(args ...string) (string, error) {
		args = append(args, "--binary", daemon, "--template", filepath.Join(root, "deploy/settings.toml"))
		c := exec.Command(filepath.Join(dir, "soak"), args...)
		c.Env = append(os.Environ(), "TMPDIR="+t.TempDir())
		out, err := c.CombinedOutput()
		return string(out), err
	}
}

// Guards against a soak whose parts together no longer find what each rule is for.
func TestPlantedFaultsAreFound(t *testing.T) {
	t.Parallel()
	_, run := build(t)
	args := []string{"--duration", "3s", "--daemons", "3", "--only", "close-idle"}
	for _, rule := range check.Rules {
		args = append(args, "--plant", rule)
	}
	out, err := run(args...)
	var exit *exec.ExitError
	if !errors.As(err, &exit) || exit.ExitCode() != 1 {
		t.Errorf("ended with %v, want status 1", err)
	}
	for line := range strings.Lines(out) {
		for _, rule := range check.Rules {
			if fields := strings.Fields(line); len(fields) == 2 && fields[0] == rule && fields[1] == "0" {
				t.Errorf("no finding of rule %s", rule)
			}
		}
	}
	if t.Failed() {
		t.Log(out)
	}
}

// Guards against broken promises under the faults of two seeds, one of them with all
// daemons replaced one after the other.
func TestSeeds(t *testing.T) {
	t.Parallel()
	daemon, run := build(t)
	for _, args := range [][]string{{"--seed", "1"}, {"--seed", "2", "--upgrade-from", daemon}} {
		if out, err := run(append(args, "--duration", "10s", "--daemons", "4")...); err != nil {
			t.Errorf("%v: %s", err, out)
		}
	}
}
