// Command slopes measures how a daemon's costs grow, and extrapolates them to
// the size that the design is made for. It prints one JSON object a line.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

type flags struct {
	only     string
	sizes    []int
	siteSize int
	seconds  int
	warmUp   time.Duration
	json     bool
}

func parse(args []string) (*flags, error) {
	f := &flags{}
	app := kingpin.New("slopes", "Measures how a daemon's costs grow.")
	app.Flag("only", "What to measure: control.").Default("control").EnumVar(&f.only, "control")
	app.Flag("sizes", "Daemons; may be repeated.").Default("3", "12", "21", "60").IntsVar(&f.sizes)
	app.Flag("site-size", "Daemons of a site in the series that grows the fleet.").Default("12").IntVar(&f.siteSize)
	app.Flag("seconds", "Length of each measurement.").Default("10").IntVar(&f.seconds)
	app.Flag("warm-up", "Time before a measurement, in which the fleet's start settles.").Default("75s").DurationVar(&f.warmUp)
	app.Flag("json", "Print JSON, as is always done.").BoolVar(&f.json)
	_, err := app.Parse(longFlags(args))
	return f, err
}

// longFlags lets long flags begin with one dash as well.
func longFlags(args []string) []string {
	out := slices.Clone(args)
	for i, a := range out {
		if len(a) > 2 && a[0] == '-' && a[1] != '-' {
			out[i] = "-" + a
		}
	}
	return out
}

func main() {
	f, err := parse(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if err := run(f); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(f *flags) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	return measureControl(ctx, f)
}

// measureControl measures one site that grows and a fleet that grows by sites
// of a fixed size, and prints the fits.
func measureControl(ctx context.Context, f *flags) error {
	length := time.Duration(f.seconds) * time.Second
	var oneSite, manySites []controlFigures
	for _, n := range f.sizes {
		figures, err := runControl(ctx, controlSize{daemons: n, siteSize: n, warmUp: f.warmUp}, length)
		if err != nil {
			return err
		}
		oneSite = append(oneSite, figures)
		printLine(figures)
	}
	for _, n := range f.sizes {
		if n%f.siteSize != 0 {
			continue
		}
		figures, err := runControl(ctx, controlSize{daemons: n, siteSize: f.siteSize, warmUp: f.warmUp}, length)
		if err != nil {
			return err
		}
		manySites = append(manySites, figures)
		printLine(figures)
	}
	for _, line := range fitControl(oneSite, manySites) {
		printLine(line)
	}
	return nil
}

func printLine(value any) { _ = json.NewEncoder(os.Stdout).Encode(value) }
