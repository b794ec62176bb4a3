package main

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"currantpulley/bench/soak/check"
	"currantpulley/bench/soak/record"
	"currantpulley/bench/soak/site"
)

// maxDetails is the number of findings of a rule that are printed in full.
const maxDetails = 4

// printReport prints what was injected, what callers got and which promises were
// broken.
func printReport(out io.Writer, seed uint64, all *record.All, findings []check.Finding) {
	faults, outcomes, memory := make(map[string]int), make(map[string]int), 0.0
	for _, s := range all.Spans {
		faults[s.Kind]++
	}
	for _, c := range all.Calls {
		outcomes[fmt.Sprintf("%s %s %d", c.Route, c.Outcome, c.Status)]++
	}
	for _, m := range all.Memory {
		memory = max(memory, m.PeakMB)
	}
	troubles := make(map[string]int)
	for _, a := range all.Arrivals {
		troubles[cmp.Or(a.Trouble, map[bool]string{true: "none", false: "refused"}[a.Ran])]++
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(w, "seed %d\n", seed)
	_, _ = fmt.Fprintf(w, "faults\t%s\n", counts(faults))
	_, _ = fmt.Fprintf(w, "arrivals\t%d: %s\n", len(all.Arrivals), counts(troubles))
	_, _ = fmt.Fprintf(w, "calls\t%d: %s\n", len(all.Calls), counts(outcomes))
	for _, u := range check.Usages(all, site.RetryRatio, site.RetryExtra, site.RetryWindow) {
		_, _ = fmt.Fprintf(w, "budget\t%v\n", u)
	}
	_, _ = fmt.Fprintf(w, "memory\t%.0f MB at most\n", memory)
	_ = w.Flush()
	byRule := make(map[string][]check.Finding)
	for _, f := range findings {
		byRule[f.Rule] = append(byRule[f.Rule], f)
	}
	for _, rule := range check.Rules {
		_, _ = fmt.Fprintf(out, "%-9s %d\n", rule, len(byRule[rule]))
		for _, f := range byRule[rule][:min(maxDetails, len(byRule[rule]))] {
			_, _ = fmt.Fprintf(out, "    %s %s\n", f.At.Format("15:04:05.000"), f.Detail)
		}
	}
}

// counts returns counts as text, sorted by name.
func counts(m map[string]int) string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(m)) {
		out = append(out, fmt.Sprintf("%s %d", name, m[name]))
	}
	return strings.Join(out, ", ")
}
