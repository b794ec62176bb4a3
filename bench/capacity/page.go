package main

import (
	"cmp"
	"fmt"
	"math"
	"os"
	"slices"
	"strconv"
	"strings"
)

// rewrite replaces the text between the begin and end markers of each section.
func rewrite(page string, sections map[string]string) error {
	data, err := os.ReadFile(page)
	if err != nil {
		return fmt.Errorf("read page: %w", err)
	}
	text := string(data)
	for section, content := range sections {
		begin, end := "<!-- "+section+":begin -->", "<!-- "+section+":end -->"
		head, rest, ok := strings.Cut(text, begin)
		_, tail, also := strings.Cut(rest, end)
		if !ok || !also {
			return fmt.Errorf("%s has no section %q", page, section)
		}
		text = head + begin + "\n" + content + end + tail
	}
	return os.WriteFile(page, []byte(text), 0o644) //nolint:gosec // a documentation page, readable by all
}

// slopesTable returns the table of all measured values with their spread.
func slopesTable(m measures) string {
	names := make([]metric, 0, len(m))
	for n := range m {
		names = append(names, n)
	}
	slices.SortFunc(names, func(a, b metric) int {
		return cmp.Or(cmp.Compare(a.bench, b.bench), cmp.Compare(a.unit, b.unit))
	})
	var b strings.Builder
	b.WriteString("| benchmark | unit | median | spread | runs |\n| --- | --- | --- | --- | --- |\n")
	for _, n := range names {
		s := m[n]
		fmt.Fprintf(&b, "| %s | %s | %s | ±%.0f%% | %d |\n", n.bench, n.unit, number(s.median()), 100*s.spread(), len(s))
	}
	return b.String()
}

// readSlopes reads the medians from the table of slopes on the page.
func readSlopes(page string) (measures, error) {
	data, err := os.ReadFile(page)
	if err != nil {
		return nil, fmt.Errorf("read page: %w", err)
	}
	_, rest, _ := strings.Cut(string(data), "<!-- slopes:begin -->")
	m := make(measures)
	for line := range strings.SplitSeq(rest, "\n") {
		cells := strings.Split(line, " | ")
		if len(cells) != 5 {
			continue
		}
		if v, err := strconv.ParseFloat(cells[2], 64); err == nil {
			m[metric{strings.TrimPrefix(cells[0], "| "), cells[1]}] = sample{v}
		}
	}
	return m, nil
}

// number formats a value with a precision that depends on its size.
func number(v float64) string {
	switch size := math.Abs(v); {
	case size >= 100:
		return fmt.Sprintf("%.0f", v)
	case size >= 1:
		return fmt.Sprintf("%.1f", v)
	}
	return fmt.Sprintf("%.4f", v)
}
