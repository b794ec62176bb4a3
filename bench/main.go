// Command bench measures the decisions of the router: it runs real daemons
// over loopback against stand-ins of engines and prints one JSON object for
// each policy and seed. Checks of the measuring itself:
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

// Names of the commands.
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

func parse(args []string) (*flags, error) {
	f := &flags{}
	app := kingpin.New("bench", "Measures the router's decisions against baselines.")
	app.Flag("parallel", "Runs at the same time.").Default("2").IntVar(&f.parallel)
	runCommand := app.Command(commandRun, "Run one scenario.").Default()
	runCommand.Flag("site", "Deployment: atlas or indus.").Default("atlas").StringVar(&f.site)
	runCommand.Flag("scenario", "One of "+strings.Join(scenario.Names, ", ")+", "+scenarioActions+".").Default("steady").StringVar(&f.scenario)
	runCommand.Flag("policy", "Policies, separated by commas: "+strings.Join(policyNames, ", ")+".").Default(policyFull).StringVar(&f.policies)
	runCommand.Flag("seed", "Seed of the workload.").Default("1").Uint64Var(&f.seed)
	runCommand.Flag("load", "Share of capacity; 0 is the scenario's usual load.").Default("0").Float64Var(&f.load)
	runCommand.Flag("json", "Print JSON, as is always done.").BoolVar(&f.json)
	runCommand.Flag("ignore-cache", "Engines ignore their caches, to check the measuring: the hit rate must be 0.").BoolVar(&f.ignoreCache)
	tableCommand := app.Command(commandTable, "Run all scenarios, policies and sites and write the page of measures.")
	tableCommand.Flag("quick", "Only seed 1.").BoolVar(&f.quick)
	tableCommand.Flag("seeds", "Seeds from 1 on.").Default("5").IntVar(&f.seeds)
	tableCommand.Flag("only-site", "Only this site; may be repeated.").Default(site.Names...).EnumsVar(&f.sites, site.Names...)
	tableCommand.Flag("only-scenario", "Only this scenario; may be repeated.").EnumsVar(&f.scenarios, scenario.Names...)
	tableCommand.Flag("out", "Directory of the page and its plots.").Default("docs").StringVar(&f.out)
	command, err := app.Parse(longFlags(args))
	f.command = command
	return f, err
}

// longFlags lets long flags begin with one dash as well.
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

// run runs each policy and prints its figures as soon as they are there.
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

// scenarioActions measures calls that must not repeat; policies do not matter to it.
const scenarioActions = "actions"

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

// runTable runs everything and writes the page.
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
