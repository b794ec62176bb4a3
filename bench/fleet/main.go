// Command fleet runs many daemons as plain processes on loopback and publishes
// configuration versions while the log has outages and daemons are killed or
// frozen. It reports how long each version took to be in force on all daemons,
// whether a daemon ever reverted to an earlier version, and whether two versions
// were in force at the same time for too long.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

type flags struct {
	daemons  int
	versions int
	seed     uint64
	binary   string
	append   time.Duration
	settle   time.Duration
}

func parse(args []string) (*flags, error) {
	f := &flags{}
	app := kingpin.New("fleet", "Publishes versions to many daemons under faults.")
	app.Flag("daemons", "Number of daemons.").Default("21").IntVar(&f.daemons)
	app.Flag("versions", "Number of versions to publish.").Default("20").IntVar(&f.versions)
	app.Flag("seed", "Seed of the faults.").Default("1").Uint64Var(&f.seed)
	app.Flag("binary", "Path of the daemon's binary.").Default("bin/currantpulleyd").StringVar(&f.binary)
	app.Flag("append-delay", "Latency of an append to the log.").Default("100ms").DurationVar(&f.append)
	app.Flag("settle", "Longest time for which two versions may be in force at the same time.").Default("3s").DurationVar(&f.settle)
	_, err := app.Parse(args)
	return f, err
}

func main() {
	f, err := parse(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "fleet:", err)
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err = run(ctx, f)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "fleet:", err)
		os.Exit(1)
	}
}

// run starts the fleet, makes all publications and prints the report. It fails if
// a guarantee was violated.
func run(ctx context.Context, f *flags) error {
	fleet, err := startFleet(ctx, f)
	if err != nil {
		return err
	}
	defer fleet.stop()
	w := newWatcher(fleet, f.settle)
	go w.run(ctx)
	p := newPublisher(fleet, w, f)
	if err := p.publishFirst(ctx); err != nil {
		return err
	}
	for n := 1; n <= f.versions; n++ {
		if err := p.publish(ctx, n); err != nil {
			return fmt.Errorf("publication %d: %w", n, err)
		}
	}
	report := p.report()
	if err := json.NewEncoder(os.Stdout).Encode(report); err != nil {
		return err
	}
	if report.Reverts > 0 || report.Splits > 0 || report.WrongInForce > 0 {
		return fmt.Errorf("%d reverts, %d splits, %d wrong versions in force", report.Reverts, report.Splits, report.WrongInForce)
	}
	return nil
}
