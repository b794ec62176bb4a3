package cli

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"strings"

	"currantpulley/internal/explain"
	"currantpulley/internal/timeline"
)

// explainFromLogs prints what the log files contain about a request.
func (a *App) explainFromLogs(files []string, id string) error {
	log, err := readLogs(files)
	if err != nil {
		return usage(err)
	}
	x := explain.Request(log, id)
	if err := a.printResult(x, loggedExplanationText(x)); err != nil {
		return err
	}
	if len(x.Events) == 0 {
		return refused(fmt.Errorf("no line in %s refers to request %q", strings.Join(files, ", "), id))
	}
	return nil
}

// readLogs reads several log files as one log.
func readLogs(files []string) (*timeline.Log, error) {
	var all []io.Reader
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		defer func() { _ = f.Close() }()
		all = append(all, f, strings.NewReader("\n"))
	}
	return timeline.ReadLog(io.MultiReader(all...))
}

// loggedExplanationText formats an explanation that was made from logs.
func loggedExplanationText(x *explain.Explanation) string {
	var b bytes.Buffer
	fmt.Fprintf(&b, "request %s: %s\n", x.Request, x.Cause)
	for _, part := range []struct {
		title   string
		entries []timeline.Entry
	}{{"events of the request", x.Events}, {"events of its upstreams and VMs, from 10 s before", x.Context}} {
		if len(part.entries) == 0 {
			continue
		}
		fmt.Fprintf(&b, "\n%s:\n", part.title)
		_ = timeline.WriteText(&b, timeline.Timeline{Entries: part.entries}) // writing to a buffer can't fail
	}
	if len(x.Missing) > 0 {
		b.WriteString("\nmissing:\n")
		for _, m := range x.Missing {
			fmt.Fprintf(&b, "  %s\n", m)
		}
	}
	return strings.TrimRight(b.String(), "\n")
}
