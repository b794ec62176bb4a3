// Command bench measures the routing decisions. It runs real daemons over
// loopback against simulated engines and prints one JSON object for each policy
// and seed. These runs check the measurement itself:
//
//	bench -scenario steady -policy random,full   # random must be clearly worse
//	bench -scenario steady -ignore-cache         # hit_rate must be 0
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"sync"

	"github.com/alecthomas/kingpin/v2"
	"golang.org/x/sync/errgroup"

	"currantpulley/bench/actions"
	"currantpulley/bench/scenario"
	"currantpulley/bench/site"
	"currantpulley/bench/table"
)

// Command names.
const (
	commandRun   = "run"
	commandTable = "table"
)

type flags struct {
	command     string
	site        string
	scenario    string
	policies    string
	seed        uint64
	load        float64
	parallel    int
	json        bool
	ignoreCache bool

	quick     bool
	seeds     int
	out       string
	sites     []string
	scenarios []string
}

// parse reads the command line.
func parse(args []string) (*flags, error) {
	f := &flags{}
	app := kingpin.New("bench", "Measures routing decisions against baselines.")
	app.Flag("parallel", "Number of concurrent runs.").Default("2").IntVar(&f.parallel)
	runCommand := app.Command(commandRun, "Run one scenario.").Default()
	runCommand.Flag("site", "Deployment: atlas or indus.").Default("atlas").StringVar(&f.site)
	runCommand.Flag("scenario", "One of "+strings.Join(scenario.Names, ", ")+", "+scenarioActions+".").Default("steady").StringVar(&f.scenario)
	runCommand.Flag("policy", "Policies, separated by commas: "+strings.Join(policyNames, ", ")+".").Default(policyFull).StringVar(&f.policies)
	runCommand.Flag("seed", "Seed of the workload.").Default("1").Uint64Var(&f.seed)
	runCommand.Flag("load", "Load as a share of capacity; 0 is the default of the scenario.").Default("0").Float64Var(&f.load)
	runCommand.Flag("json", "No effect: the output is always JSON.").BoolVar(&f.json)
	runCommand.Flag("ignore-cache", "Engines ignore their caches; the hit rate must then be 0, which checks the measurement.").BoolVar(&f.ignoreCache)
	tableCommand := app.Command(commandTable, "Run all scenarios with all policies at all sites and write MEASURES.md.")
	tableCommand.Flag("quick", "Only seed 1.").BoolVar(&f.quick)
	tableCommand.Flag("seeds", "Number of seeds, starting at 1.").Default("5").IntVar(&f.seeds)
	tableCommand.Flag("only-site", "Run only this site; may be repeated.").Default(site.Names...).EnumsVar(&f.sites, site.Names...)
	tableCommand.Flag("only-scenario", "Run only this scenario; may be repeated.").EnumsVar(&f.scenarios, scenario.Names...)
	tableCommand.Flag("out", "Directory of the page and its plots.").Default("docs").StringVar(&f.out)
	command, err := app.Parse(longFlags(args))
	f.command = command
	return f, err
}

// longFlags rewrites long flags with one dash to two dashes. kingpin would read
// the former as a group of short flags.
func longFlags(args []string) []string {
	out := make([]string, len(args))
	for i, a := range args {
		if len(a) > 2 && a[0] == '-' && a[1] != '-' {
			a = "-" + a
		}
		out[i] = a
	}
	return out
}

// run runs the scenario with each policy and prints the figures of each run when
// it ends.
func run(ctx context.Context, f *flags) error {
	if f.scenario == scenarioActions {
		return runActions(ctx, f.seed)
	}
	s, err := site.Named(f.site)
	if err != nil {
		return err
	}
	var out sync.Mutex
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(max(1, f.parallel))
	for _, name := range strings.Split(f.policies, ",") {
		placement, err := placementFor(name)
		if err != nil {
			return err
		}
		g.Go(func() error {
			figures, err := scenario.Run(ctx, scenario.Options{
				Scenario: f.scenario, Site: s, Policy: name, Placement: placement,
				Seed: f.seed, Load: f.load, IgnoreCache: f.ignoreCache,
			})
			if err != nil {
				return fmt.Errorf("policy %s: %w", name, err)
			}
			out.Lock()
			defer out.Unlock()
			return json.NewEncoder(os.Stdout).Encode(figures)
		})
	}
	return g.Wait()
}

// scenarioActions measures calls that must run at most once. It has no policies.
const scenarioActions = "actions"

// runActions prints the result and fails if a call ran twice or a refusal was
// false.
func runActions(ctx context.Context, seed uint64) error {
	result, err := actions.Run(ctx, seed)
	if err != nil {
		return err
	}
	if err := json.NewEncoder(os.Stdout).Encode(result); err != nil {
		return err
	}
	if result.Doubles > 0 || result.FalseRefusals > 0 {
		return fmt.Errorf("%d calls ran twice and %d refusals were false", result.Doubles, result.FalseRefusals)
	}
	return nil
}

// runTable runs the selected scenarios with all policies and writes the page.
func runTable(ctx context.Context, f *flags) error {
	o := table.Options{Scenarios: f.scenarios, Seeds: f.seeds, Parallel: f.parallel, Progress: os.Stdout}
	if f.quick {
		o.Seeds = 1
	}
	for _, name := range f.sites {
		s, err := site.Named(name)
		if err != nil {
			return err
		}
		o.Sites = append(o.Sites, s)
	}
	for _, name := range policyNames {
		placement, err := placementFor(name)
		if err != nil {
			return err
		}
		o.Policies = append(o.Policies, table.Policy{Name: name, Placement: placement})
	}
	t, err := table.Run(ctx, o)
	if err != nil {
		return err
	}
	return t.Write(f.out)
}

// dispatch runs the selected command.
func dispatch(ctx context.Context, f *flags) error {
	if f.command == commandTable {
		return runTable(ctx, f)
	}
	return run(ctx, f)
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	f, err := parse(os.Args[1:])
	if err == nil {
		err = dispatch(ctx, f)
	}
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}
