package main

import (
	"bytes"
	"context"
	_ "embed"
	"fmt"
	"os"
	"os/exec"
	"strings"
)

// knownSeeds lists the seeds that once had findings, one command line each. A comment
// before it says what was found and why.
//
//go:embed seeds.txt
var knownSeeds string

// runKnown runs all known seeds, one after the other. It returns errFindings if one
// has findings.
func runKnown(ctx context.Context, f *flags) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	failed := 0
	for line := range strings.Lines(knownSeeds) {
		args := strings.Fields(line)
		if len(args) == 0 || args[0] == "#" {
			continue
		}
		args = append([]string{commandRun, "--binary", f.binary, "--template", f.template}, args...)
		out, err := exec.CommandContext(ctx, self, args...).CombinedOutput() //nolint:gosec // this program
		fmt.Printf("%s: %v\n", strings.TrimSpace(line), result(err))
		if err != nil {
			failed++
			_, _ = os.Stdout.Write(bytes.TrimSpace(out))
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	if failed > 0 {
		return errFindings
	}
	return nil
}

// result returns the result of a run as text.
func result(err error) string {
	if err != nil {
		return err.Error()
	}
	return "no findings"
}
