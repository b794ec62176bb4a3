package table

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"time"
)

// Write writes MEASURES.md and the plots into the directory.
func (t *Table) Write(directory string) error {
	if err := t.plots(filepath.Join(directory, plotDirectory)); err != nil {
		return fmt.Errorf("plot measures: %w", err)
	}
	page := filepath.Join(directory, "MEASURES.md")
	if err := os.WriteFile(page, []byte(t.page()), 0o644); err != nil {
		return fmt.Errorf("write measures: %w", err)
	}
	return nil
}

// commit returns a description of the checked-out commit.
func commit() string {
	out, err := exec.Command("git", "describe", "--always", "--dirty").Output()
	if err != nil {
		return "unknown"
	}
	return strings.TrimSpace(string(out))
}

const intro = `# Measures

Written by ` + "`make bench`" + `; do not edit. Real daemons run over loopback against
engine stand-ins in one process. A load is a share of capacity: the requests
per second at which consistent hashing of the whole prompt saturates its
busiest engine, from a replay of the workload through one LRU cache per engine.
Latency counts from the time a request was due. A request that the daemon gave
up after its deadline counts as an error, and its wait as its time to first
token. The ideal is one LRU cache with the capacity of all, and engines without
queues. Network delays between data centres are not modelled.

## On the users' platform

What the users' bench measured stands in [platform](measures/platform.md).

`

// page returns the text of MEASURES.md.
func (t *Table) page() string {
	var b strings.Builder
	b.WriteString(intro)
	fmt.Fprintf(&b, "Date: %s. Commit: %s. Seeds: 1 to %d; medians unless said otherwise. ",
		t.started.UTC().Format("2006-01-02 15:04 UTC"), commit(), t.options.Seeds)
	fmt.Fprintf(&b, "Whole run: %s, %d at a time on %d cores.\n", t.elapsed.Round(time.Second), t.options.Parallel, runtime.NumCPU())
	if len(t.rows) < len(allRows) {
		b.WriteString("Partial: not all scenarios were run.\n")
	}
	t.writeMissed(&b)
	for _, s := range t.options.Sites {
		fmt.Fprintf(&b, "\n## Site %s\n\n", s.Name)
		t.writeTargets(&b, s.Name)
		t.writeFigures(&b, s.Name)
	}
	t.writePlots(&b)
	return b.String()
}

// writeMissed lists the missed targets.
func (t *Table) writeMissed(b *strings.Builder) {
	b.WriteString("\n## What fell short\n\n")
	missed := 0
	for _, s := range t.options.Sites {
		t.eachTarget(s.Name, func(r row, g target, v float64) {
			if !g.met(v) {
				missed++
				fmt.Fprintf(b, "- %s, %s: %s is %s, target %s\n", s.Name, r.title(), g.text, number(v), g.limit())
			}
		})
	}
	if missed == 0 {
		b.WriteString("Nothing.\n")
	}
}

// eachTarget calls f with every target of the site and its measured value.
func (t *Table) eachTarget(siteName string, f func(r row, g target, v float64)) {
	for _, r := range t.rows {
		for _, g := range targetsOf(r) {
			f(r, g, g.value(t, siteName, r))
		}
	}
}

// limit returns the bound as text.
func (g target) limit() string {
	if g.isMaximum {
		return "at most " + number(g.bound)
	}
	return "at least " + number(g.bound)
}

// number formats a value with three significant digits.
func number(v float64) string { return fmt.Sprintf("%.3g", v) }

// writeTargets writes the table of targets of a site.
func (t *Table) writeTargets(b *strings.Builder, siteName string) {
	b.WriteString("| scenario | measure | target | figure | met |\n| --- | --- | --- | --- | --- |\n")
	t.eachTarget(siteName, func(r row, g target, v float64) {
		met := "yes"
		if !g.met(v) {
			met = "**no**"
		}
		fmt.Fprintf(b, "| %s | %s | %s | %s | %s |\n", r.title(), g.text, g.limit(), number(v), met)
	})
}

// columns are the figures in the table of a site.
var columns = []struct {
	title string
	value measure
}{
	{"hit_rate", hitRate}, {"of ideal", hitRateOfIdeal}, {"wasted_share", wastedShare},
	{"ttft_p50_ms", ttftP50}, {"ttft_p99_ms", ttftP99}, {"ideal p99", idealP99}, {"short_ttft_p99_ms", shortP99},
	{"in_deadline_share", inDeadline}, {"cpu_share", cpuShare}, {"send_late_p99_ms", sendLate},
}

// writeFigures writes the table of figures of a site.
func (t *Table) writeFigures(b *strings.Builder, siteName string) {
	b.WriteString("\n| scenario | policy |")
	for _, c := range columns {
		fmt.Fprintf(b, " %s |", c.title)
	}
	b.WriteString("\n|" + strings.Repeat(" --- |", len(columns)+2) + "\n")
	for _, r := range t.rows {
		for _, p := range t.options.Policies {
			fmt.Fprintf(b, "| %s | %s |", r.title(), p.Name)
			for _, c := range columns {
				fmt.Fprintf(b, " %s |", number(t.cell(siteName, p.Name, r).median(c.value)))
			}
			b.WriteString("\n")
		}
	}
}
