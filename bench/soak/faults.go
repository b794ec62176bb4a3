package main

import (
	"context"
	"strings"
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
			if f.Kind == plan.KillUpstream || f.Kind == plan.DrainUpstream {
				span.Instance = s.in.instance(f.Target)
			}
			s.inject(ctx, f)
			span.To = time.Now()
			s.record(record.Line{Span: span})
		})
	}
	all.Wait()
}

// targetName returns the address of a daemon or the name of an upstream.
func (s *soak) targetName(f plan.Fault) string {
	switch {
	case f.Kind == plan.CutDaemons:
		return s.cutDaemons(f)
	case f.Target == plan.Everywhere:
		return "all"
	case plan.IsDaemon(f.Kind):
		return s.plan.Daemons[f.Target]
	}
	return s.plan.Proxies[f.Target].To
}

// cutDaemons returns the addresses of the daemons that a fault partitions.
func (s *soak) cutDaemons(f plan.Fault) string {
	var out []string
	for i, daemon := range s.plan.Daemons {
		if f.Cuts(i, len(s.plan.Daemons)) {
			out = append(out, daemon)
		}
	}
	return strings.Join(out, " ")
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

// restoreDelay is the time from a restoration of the store until the operators write
// the configuration again.
const restoreDelay = 200 * time.Millisecond

// inject carries out a fault of a process or of the operators from its beginning to its
// end, and waits for the end of other faults.
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
	case plan.UpgradeDaemon:
		d := s.in.daemons[f.Target]
		d.useProgram(s.in.newBuild)
		d.stop(syscall.SIGTERM, site.StopGrace+killGrace)
		sleepUntil(ctx, end)
		s.check(d.start())
	case plan.ReloadDaemon:
		s.in.daemons[f.Target].signal(syscall.SIGHUP)
		sleepUntil(ctx, end)
		s.check(s.in.daemons[f.Target].start()) // the signal ends a program that has just begun to start
	case plan.KillUpstream:
		s.killUpstream(ctx, f.Target, end)
	case plan.DrainUpstream:
		s.drainUpstream(ctx, f.Target, end)
	case plan.ChangeConfig:
		s.check(s.in.operator.change(ctx))
		sleepUntil(ctx, end)
		s.check(s.in.operator.change(ctx))
	case plan.StoreRestored:
		sleepUntil(ctx, end.Add(restoreDelay))
		s.check(s.in.operator.repeat(ctx))
		go s.removeEnded(ctx, end.Add(site.EntryTimeout))
	default:
		sleepUntil(ctx, end)
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
	old := s.in.instance(number)
	s.in.upstreams[number].stop(syscall.SIGKILL, time.Second)
	killed := time.Now()
	sleepUntil(ctx, end)
	s.check(s.in.startUpstream(number))
	if sleepUntil(ctx, killed.Add(site.EntryTimeout)) {
		s.removeEntry(ctx, old)
	}
}

// drainUpstream makes an upstream leave and starts a new instance at its address.
func (s *soak) drainUpstream(ctx context.Context, number int, end time.Time) {
	old := s.in.instance(number)
	s.in.upstreams[number].stop(syscall.SIGTERM, 2*site.Drain+time.Second)
	s.removeEntry(ctx, old)
	sleepUntil(ctx, end)
	s.check(s.in.startUpstream(number))
}

// removeEntry removes the entry of an instance that has ended.
func (s *soak) removeEntry(ctx context.Context, instance string) {
	w := names.NewStoreWriter(s.plan.Store)
	for w.RemoveEntry(ctx, instance) != nil && ctx.Err() == nil {
		time.Sleep(storePoll)
	}
}

// removeEnded removes the entries of instances that have ended, at a time: a store that
// was restored from a copy has them again, and nobody renews them.
func (s *soak) removeEnded(ctx context.Context, at time.Time) {
	if !sleepUntil(ctx, at) {
		return
	}
	for _, instance := range s.in.ended() {
		s.removeEntry(ctx, instance)
	}
}

// Times of engines that end under a request.
const (
	crashPoll    = 20 * time.Millisecond
	crashRestart = 1500 * time.Millisecond // from the end to the next start
)

// restartCrashed starts upstreams again that have ended under a request, until ctx
// ends.
func (s *soak) restartCrashed(ctx context.Context) {
	var all sync.WaitGroup
	for number := range s.in.upstreams {
		all.Go(func() {
			for sleepUntil(ctx, time.Now().Add(crashPoll)) {
				if s.in.upstreams[number].current().endedWith(upstream.CrashStatus) {
					s.restart(ctx, number)
				}
			}
		})
	}
	all.Wait()
}

// restart records the end of an upstream and starts it again as a new instance.
func (s *soak) restart(ctx context.Context, number int) {
	old, ended := s.in.instance(number), time.Now()
	s.record(record.Line{Span: &record.Span{
		Kind: plan.CrashingPart, Target: s.plan.Proxies[number].To, From: ended.Add(-2 * crashPoll), To: ended.Add(crashRestart), Instance: old,
	}})
	sleepUntil(ctx, ended.Add(crashRestart))
	s.check(s.in.startUpstream(number))
	go func() {
		if sleepUntil(ctx, ended.Add(site.EntryTimeout)) {
			s.removeEntry(ctx, old)
		}
	}()
}
