package table

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// plotDirectory is the directory of the plots, relative to that of the page.
const plotDirectory = "measures"

const (
	plotWidth  = 5 * vg.Inch
	plotHeight = 3 * vg.Inch
	barWidth   = 24 // points
)

// chart is a plot of one figure in one row.
type chart struct {
	file, title, axis string
	row               row
	value             measure
}

// charts show each of the six main figures in the scenario that it is about.
var charts = []chart{
	{"hit-rate", "Prefix hit rate, steady at 0.8", "hit rate", row{"steady", 0.8}, hitRate},
	{"ttft", "Tail time to first token, steady at 0.8", "p99, ms", row{"steady", 0.8}, ttftP99},
	{"wasted", "Wasted recomputation, steady at 0.8", "share", row{"steady", 0.8}, wastedShare},
	{"crest", "Service at the crest", "share in deadline", row{"crest", 0}, inDeadline},
	{"head-of-line", "Short work beside long work", "p99 of short work, ms", row{"hol", 0}, shortP99},
	{"slow", "Tail time to first token, slowed upstreams", "p99, ms", row{"slow", 0}, ttftP99},
}

// charts returns the charts whose rows were run.
func (t *Table) charts() []chart {
	return slices.DeleteFunc(slices.Clone(charts), func(c chart) bool { return !slices.Contains(t.rows, c.row) })
}

// plots writes the charts as SVG files.
func (t *Table) plots(directory string) error {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return err
	}
	for _, c := range t.charts() {
		if err := t.plot(c, filepath.Join(directory, c.file+".svg")); err != nil {
			return fmt.Errorf("%s: %w", c.file, err)
		}
	}
	return nil
}

// plot draws a group of bars for each site, with one bar per policy.
func (t *Table) plot(c chart, file string) error {
	p := plot.New()
	p.Title.Text = c.title
	p.Y.Label.Text = c.axis
	p.Y.Min = 0
	p.Legend.Top = true
	var names []string
	for _, s := range t.options.Sites {
		names = append(names, s.Name)
	}
	for i, policy := range t.options.Policies {
		var values plotter.Values
		for _, name := range names {
			values = append(values, t.cell(name, policy.Name, c.row).median(c.value))
		}
		bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
		if err != nil {
			return err
		}
		bars.Color = plotutil.Color(i) //nolint:misspell // names of the library
		bars.Offset = vg.Points(barWidth * (float64(i) - float64(len(t.options.Policies)-1)/2))
		p.Add(bars)
		p.Legend.Add(policy.Name, bars)
	}
	p.NominalX(names...)
	return p.Save(plotWidth, plotHeight, file)
}

// writePlots links the plots from the page.
func (t *Table) writePlots(b *strings.Builder) {
	b.WriteString("\n## Plots\n\n")
	for _, c := range t.charts() {
		fmt.Fprintf(b, "![%s](%s/%s.svg)\n", c.title, plotDirectory, c.file)
	}
}
