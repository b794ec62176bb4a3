// Command slopes measures how the control traffic and processor time of a daemon
// grow with the fleet, and extrapolates them to the size that the system is
// designed for. It prints one JSON object per line.
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
	app := kingpin.New("slopes", "Measures how the costs of a daemon grow with the fleet.")
	app.Flag("only", "What to measure: control.").Default("control").EnumVar(&f.only, "control")
	app.Flag("sizes", "Number of daemons; may be repeated.").Default("3", "12", "21", "60").IntsVar(&f.sizes)
	app.Flag("site-size", "Daemons per site in the series with several sites.").Default("12").IntVar(&f.siteSize)
	app.Flag("seconds", "Seconds per measurement.").Default("10").IntVar(&f.seconds)
	app.Flag("warm-up", "Time before a measurement, in which start-up traffic ends.").Default("75s").DurationVar(&f.warmUp)
	app.Flag("json", "No effect: the output is always JSON.").BoolVar(&f.json)
	_, err := app.Parse(longFlags(args))
	return f, err
}

// longFlags rewrites long flags with one dash to two dashes. kingpin would read
// the former as a group of short flags.
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

// measureControl measures one series with a single site of growing size and one
// with a growing number of sites of a fixed size, and prints the fits. The second
// series leaves out sizes that are no multiple of the site size.
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

// printLine prints value as one line of JSON.
func printLine(value any) { _ = json.NewEncoder(os.Stdout).Encode(value) }
