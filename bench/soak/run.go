package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/rs/zerolog"

	"currantpulley/bench/soak/check"
	"currantpulley/bench/soak/plan"
	"currantpulley/bench/soak/record"
	"currantpulley/bench/soak/site"
)

// Times of a soak.
const (
	maxCalm        = 4 * time.Second  // from the start to the first fault; drawn
	settleTime     = 12 * time.Second // at most, for calls in progress after the time to recover
	memoryInterval = 250 * time.Millisecond
	daemonPackage  = "./cmd/currantpulleyd"
)

// soak is one run.
type soak struct {
	flags   *flags
	plan    *plan.Plan
	in      *installation
	records *record.Log
	log     zerolog.Logger

	pressure pressure
}

// runSoak runs one seed and prints the report.
func runSoak(ctx context.Context, f *flags, log zerolog.Logger) error {
	dir, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", f.seed))
	if err != nil {
		return err
	}
	if f.binary == "" {
		f.binary = filepath.Join(dir, "currantpulleyd")
		if out, err := exec.CommandContext(ctx, "go", "build", "-o", f.binary, daemonPackage).CombinedOutput(); err != nil { //nolint:gosec // fixed program
			return fmt.Errorf("build of the daemon: %w: %s", err, out)
		}
	}
	s := &soak{flags: f, log: log, plan: &plan.Plan{Seed: f.seed, Duration: maxCalm + f.duration, Dir: dir, Planted: f.planted}}
	s.plan.Draw(maxCalm, f.daemons, site.Upstreams, f.only)
	if f.oldBuild != "" {
		s.plan.AddUpgrade(f.daemons)
	}
	if err := s.play(ctx); err != nil {
		return err
	}
	return s.report()
}

// play starts everything, injects the faults and waits until all have recovered.
func (s *soak) play(ctx context.Context) error {
	var err error
	if s.records, err = record.Open(s.plan.Dir, "soak"); err != nil {
		return err
	}
	defer func() { _ = s.records.Close() }()
	if s.in, err = newInstallation(s.flags, s.plan); err != nil {
		return err
	}
	s.plan.Start = time.Now()
	if err := s.plan.Save(s.in.planFile); err != nil {
		return err
	}
	s.in.callers.argv = append(s.in.callers.argv, "--until", s.plan.Duration.String())
	defer s.in.endAll()
	if err := s.in.startAll(ctx); err != nil {
		return err
	}
	sampling, stop := context.WithCancel(ctx)
	defer stop()
	memory, pressed := s.sampleMemory(sampling), measurePressure(sampling)
	go s.restartCrashed(sampling)
	s.recordPlantedCut()
	s.injectAll(ctx)
	s.awaitRecovery(ctx)
	s.in.callers.current().wait(settleTime)
	if s.in.callers.current().running() {
		return errors.New("the callers did not end, so their last calls are not recorded")
	}
	stop()
	s.pressure = <-pressed
	for name, peak := range <-memory {
		if s.plan.Plants(check.RuleMemory) {
			peak += site.MemoryMB
		}
		s.record(record.Line{Memory: &record.Memory{Daemon: name, PeakMB: peak}})
	}
	return ctx.Err()
}

// recordPlantedCut records a partition that did not take place, if that is planted.
func (s *soak) recordPlantedCut() {
	if s.plan.Plants(check.RuleCut) {
		s.record(record.Line{Span: &record.Span{
			Kind: plan.CutDaemons, Target: s.plan.Daemons[0], From: s.plan.Start.Add(-time.Hour), To: s.plan.Start.Add(time.Hour),
		}})
	}
}

// sampleMemory samples the memory of the daemons until ctx ends, and then sends the
// largest of each.
func (s *soak) sampleMemory(ctx context.Context) <-chan map[string]float64 {
	out := make(chan map[string]float64, 1)
	go func() {
		peaks := make(map[string]float64)
		for ctx.Err() == nil {
			for _, d := range s.in.daemons {
				peaks[d.name] = max(peaks[d.name], d.memoryMB())
			}
			time.Sleep(memoryInterval)
		}
		out <- peaks
	}()
	return out
}

func (s *soak) record(l record.Line) { s.check(s.records.Write(l)) }

// check logs an error of the soak itself.
func (s *soak) check(err error) {
	if err != nil {
		s.log.Error().Err(err).Msg("soak")
	}
}

// report checks the promises, prints the result and returns errFindings if one was
// broken.
func (s *soak) report() error {
	all, err := record.Load(s.plan.Dir)
	if err != nil {
		return err
	}
	findings := check.All(all)
	printReport(os.Stdout, s.plan.Seed, all, findings)
	fmt.Printf("pressure: %v\n", s.pressure)
	if len(findings) == 0 && !s.flags.keep {
		return os.RemoveAll(s.plan.Dir)
	}
	fmt.Printf("records and logs: %s\n", s.plan.Dir)
	if len(findings) == 0 {
		return nil
	}
	return errFindings
}
