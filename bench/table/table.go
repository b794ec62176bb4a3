// Package table runs all scenarios with all policies and seeds at both sites and
// writes MEASURES.md with its plots.
package table

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"currantpulley/bench/scenario"
	"currantpulley/bench/site"
	"currantpulley/internal/pipe"
)

// Policy is a named placement. A nil Placement is the router's own.
type Policy struct {
	Name      string
	Placement func() []pipe.Filter
}

// Options configures a Table.
type Options struct {
	Sites     []site.Site
	Scenarios []string // empty: all
	Policies  []Policy // the router's own first
	Seeds     int
	Parallel  int       // number of concurrent runs
	Progress  io.Writer // receives the figures of each run as JSON
}

// row is a row of the table: a scenario at a load.
type row struct {
	scenario string
	load     float64 // 0: the default of the scenario
}

var allRows = []row{
	{"steady", 0.5}, {"steady", 0.8}, {"crest", 0}, {"hol", 0}, {"slow", 0}, {"shift", 0}, {"restart", 0},
}

func (r row) title() string {
	if r.load == 0 {
		return r.scenario
	}
	return fmt.Sprintf("%s %.1f", r.scenario, r.load)
}

// cell holds the runs of one row at one site with one policy, one run per seed.
type cell struct {
	site    site.Site
	policy  Policy
	row     row
	figures []*scenario.Figures
}

// run runs the scenario with one seed.
func (c *cell) run(ctx context.Context, seed int) (*scenario.Figures, error) {
	f, err := scenario.Run(ctx, scenario.Options{
		Scenario: c.row.scenario, Site: c.site, Policy: c.policy.Name, Placement: c.policy.Placement,
		Seed: uint64(seed), Load: c.row.load,
	})
	if err != nil {
		return nil, fmt.Errorf("%s, %s, policy %s, seed %d: %w", c.site.Name, c.row.title(), c.policy.Name, seed, err)
	}
	return f, nil
}

// Table holds the figures of all runs.
type Table struct {
	options Options
	rows    []row
	cells   []*cell // ordered by row, site and policy
	started time.Time
	elapsed time.Duration
}

// newTable returns a table without figures.
func newTable(o Options) *Table {
	t := &Table{options: o, started: time.Now()}
	for _, r := range allRows {
		if len(o.Scenarios) > 0 && !slices.Contains(o.Scenarios, r.scenario) {
			continue
		}
		t.rows = append(t.rows, r)
		for _, s := range o.Sites {
			for _, p := range o.Policies {
				t.cells = append(t.cells, &cell{site: s, policy: p, row: r})
			}
		}
	}
	return t
}

// Run runs all cells. For each seed of a row it runs all sites and policies before
// it goes on to the next seed.
func Run(ctx context.Context, o Options) (*Table, error) {
	t := newTable(o)
	var mu sync.Mutex
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(max(1, o.Parallel))
	for cells := range slices.Chunk(t.cells, len(o.Sites)*len(o.Policies)) {
		for seed := 1; seed <= o.Seeds; seed++ {
			for _, c := range cells {
				g.Go(func() error {
					f, err := c.run(ctx, seed)
					if err != nil {
						return err
					}
					mu.Lock()
					defer mu.Unlock()
					c.figures = append(c.figures, f)
					return json.NewEncoder(o.Progress).Encode(f)
				})
			}
		}
	}
	err := g.Wait()
	t.elapsed = time.Since(t.started)
	return t, err
}

// cell returns the cell of a site, policy and row.
func (t *Table) cell(siteName, policy string, r row) *cell {
	i := slices.IndexFunc(t.cells, func(c *cell) bool {
		return c.site.Name == siteName && c.policy.Name == policy && c.row == r
	})
	return t.cells[i]
}

// measure reads one figure of a run.
type measure func(*scenario.Figures) float64

// median returns the median over the seeds.
func (c *cell) median(m measure) float64 {
	if len(c.figures) == 0 {
		return 0
	}
	values := make([]float64, len(c.figures))
	for i, f := range c.figures {
		values[i] = m(f)
	}
	slices.Sort(values)
	return (values[(len(values)-1)/2] + values[len(values)/2]) / 2
}

// highest returns the largest value over the seeds, at least 0.
func (c *cell) highest(m measure) float64 {
	highest := 0.0
	for _, f := range c.figures {
		highest = max(highest, m(f))
	}
	return highest
}

// ownPolicy returns the name of the router's own policy.
func (t *Table) ownPolicy() string { return t.options.Policies[0].Name }

// baselines returns the medians of all policies except the router's own.
func (t *Table) baselines(siteName string, r row, m measure) []float64 {
	var medians []float64
	for _, p := range t.options.Policies[1:] {
		medians = append(medians, t.cell(siteName, p.Name, r).median(m))
	}
	return medians
}
