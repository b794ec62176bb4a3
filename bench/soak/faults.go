package main

import (
	"context"
	"sync"
	"syscall"
	"time"

	"currantpulley/bench/soak/plan"
	"currantpulley/bench/soak/record"
	"currantpulley/bench/soak/site"
	"currantpulley/bench/soak/upstream"
	"currantpulley/platform/standin/names"
)

// killGrace is the time beyond the daemons' stop grace after which they are killed.
const killGrace = 200 * time.Millisecond

// injectAll carries out the plan's faults of processes and records all faults. It
// returns when the last one has ended.
func (s *soak) injectAll(ctx context.Context) {
	var all sync.WaitGroup
	for _, f := range s.plan.Faults {
		all.Go(func() {
			if !sleepUntil(ctx, s.plan.Start.Add(f.From)) {
				return
			}
			span := &record.Span{Kind: f.Kind, Target: s.targetName(f), From: time.Now()}
			if f.Kind == plan.KillUpstream {
				span.Instance = upstream.InstanceID(f.Target, s.in.starts[f.Target]-1)
			}
			if plan.IsProcess(f.Kind) {
				s.inject(ctx, f)
			} else {
				sleepUntil(ctx, s.plan.Start.Add(f.To))
			}
			span.To = time.Now()
			s.record(record.Line{Span: span})
		})
	}
	all.Wait()
}

// targetName returns the address of a daemon or the name of an upstream.
func (s *soak) targetName(f plan.Fault) string {
	switch {
	case f.Target == plan.Everywhere:
		return "all"
	case f.Kind == plan.PauseDaemon, f.Kind == plan.KillDaemon, f.Kind == plan.StopDaemon:
		return s.plan.Daemons[f.Target]
	}
	return s.plan.Proxies[f.Target].To
}

// sleepUntil sleeps until t. It returns false if ctx ended before.
func sleepUntil(ctx context.Context, t time.Time) bool {
	select {
	case <-time.After(time.Until(t)):
		return true
	case <-ctx.Done():
		return false
	}
}

// inject carries out a fault of a process from its beginning to its end.
func (s *soak) inject(ctx context.Context, f plan.Fault) {
	end := s.plan.Start.Add(f.To)
	switch f.Kind {
	case plan.PauseDaemon:
		pause(ctx, s.in.daemons[f.Target], end)
	case plan.PauseUpstream:
		pause(ctx, s.in.upstreams[f.Target], end)
	case plan.KillDaemon:
		s.in.daemons[f.Target].stop(syscall.SIGKILL, time.Second)
		sleepUntil(ctx, end)
		s.check(s.in.daemons[f.Target].start())
	case plan.StopDaemon:
		s.in.daemons[f.Target].stop(syscall.SIGTERM, site.StopGrace+killGrace)
		sleepUntil(ctx, end)
		s.check(s.in.daemons[f.Target].start())
	case plan.KillUpstream:
		s.killUpstream(ctx, f.Target, end)
	}
}

func pause(ctx context.Context, p *process, end time.Time) {
	p.signal(syscall.SIGSTOP)
	sleepUntil(ctx, end)
	p.signal(syscall.SIGCONT)
}

// killUpstream kills an upstream and starts it again as a new instance. The entry of
// the old one is removed when its time is over.
func (s *soak) killUpstream(ctx context.Context, number int, end time.Time) {
	old := upstream.InstanceID(number, s.in.starts[number]-1)
	s.in.upstreams[number].stop(syscall.SIGKILL, time.Second)
	killed := time.Now()
	sleepUntil(ctx, end)
	s.check(s.in.startUpstream(number))
	if !sleepUntil(ctx, killed.Add(site.EntryTimeout)) {
		return
	}
	w := names.NewStoreWriter(s.plan.Store)
	for w.RemoveEntry(ctx, old) != nil && ctx.Err() == nil {
		time.Sleep(storePoll)
	}
}
