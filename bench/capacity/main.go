// Command capacity measures on this machine how the costs of a daemon grow with
// load and fleet size, and rewrites the measured tables of docs/CAPACITY.md.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
)

type flags struct {
	page    string
	repeat  int
	warmUp  string
	seconds string
	control bool
	reuse   bool
}

func parse(args []string) (*flags, error) {
	f := &flags{}
	app := kingpin.New("capacity", "Measures costs per unit of load and rewrites docs/CAPACITY.md.")
	app.Flag("page", "Page to rewrite.").Default("docs/CAPACITY.md").StringVar(&f.page)
	app.Flag("repeat", "Number of runs of each benchmark.").Default("3").IntVar(&f.repeat)
	app.Flag("warm-up", "Warm-up of the fleets that measure control traffic.").Default("60s").StringVar(&f.warmUp)
	app.Flag("seconds", "Seconds per measurement of control traffic.").Default("8").StringVar(&f.seconds)
	app.Flag("control", "Measure control traffic as well.").Default("true").BoolVar(&f.control)
	app.Flag("reuse", "Compute the table of roles from the slopes on the page, without measuring.").BoolVar(&f.reuse)
	_, err := app.Parse(args)
	return f, err
}

func main() {
	f, err := parse(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(2)
	}
	if err := run(f); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

// run measures, or reads the slopes from the page, and rewrites the page.
func run(f *flags) error {
	if f.reuse {
		m, err := readSlopes(f.page)
		if err != nil {
			return err
		}
		return rewrite(f.page, map[string]string{"roles": rolesTable(m)})
	}
	m, err := benchmarks(f.repeat)
	if err != nil {
		return err
	}
	if f.control {
		if err := controlTraffic(f, m); err != nil {
			return err
		}
	}
	return rewrite(f.page, map[string]string{
		"slopes": slopesTable(m),
		"roles":  rolesTable(m),
	})
}
