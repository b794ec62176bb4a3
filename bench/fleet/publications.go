package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"time"

	"currantpulley/internal/backing/httplog"
	"currantpulley/internal/config"
	"currantpulley/internal/control/publish"
	"currantpulley/internal/fake/fakelog"
)

// kind is what a publication meets.
type kind string

// Kinds of publications, in turn.
const (
	plain  kind = "plain"
	race   kind = "race"   // two operators at once
	wrong  kind = "wrong"  // removes most workspaces
	killed kind = "killed" // a daemon is killed right behind the append and started again
	outage kind = "outage" // the log is down while the operator waits
	frozen kind = "frozen" // a daemon does not run while the operator waits
)

var kinds = []kind{plain, race, wrong, killed, outage, frozen}

const (
	submitWithin = 40 * time.Second
	forceWithin  = 20 * time.Second
	outageTime   = 2 * time.Second
	downTime     = 300 * time.Millisecond
	workspaces   = 10
)

// publisher carries out the publications.
type publisher struct {
	fleet   *fleet
	watcher *watcher
	flags   *flags
	rand    *rand.Rand
	edition int // makes each content differ
	times   map[kind][]time.Duration
	refused []string
	wrong   int             // wrong versions seen in force
	decided []time.Duration // with a frozen daemon
}

func newPublisher(fl *fleet, w *watcher, f *flags) *publisher {
	return &publisher{fleet: fl, watcher: w, flags: f, rand: rand.New(rand.NewPCG(f.seed, 0)), //nolint:gosec // a test's faults
		times: make(map[kind][]time.Duration)}
}

// content returns a configuration with the given number of workspaces.
func (p *publisher) content(spaces int) (*config.Set, error) {
	p.edition++
	base := fmt.Sprintf("schema = 1\n[models.m]\nweights = \"w1\"\n[admission]\nqueue_max = %d\n", 1000+p.edition)
	for i := range spaces {
		base += fmt.Sprintf("[workspaces.w%d]\nkey_sha256 = [\"%064x\"]\n", i, i+1)
	}
	overlay := "schema = 1\nsite = \"s\"\ndata_centres = [\"dc-0\", \"dc-1\", \"dc-2\"]\n"
	for i, address := range p.fleet.engines {
		overlay += fmt.Sprintf("[upstreams.e%d]\nkind = \"engine\"\naddress = %q\ndata_centre = \"dc-%d\"\nmodels = [\"m\"]\n",
			i, address, i%dataCentres)
	}
	return config.Parse([]config.File{{Name: "base.toml", Data: []byte(base)}, {Name: "s.toml", Data: []byte(overlay)}})
}

// submit publishes set and waits for the verdict.
func (p *publisher) submit(ctx context.Context, set *config.Set) (publish.Decision, error) {
	ctx, cancel := context.WithTimeout(ctx, submitWithin)
	defer cancel()
	s := publish.NewSubmitter(httplog.New(p.fleet.logURL, http.DefaultClient), func(string) {})
	return s.Submit(ctx, publish.Submission{Set: set, Author: "fleet"})
}

// first publishes the version that the others follow.
func (p *publisher) first(ctx context.Context) error {
	set, err := p.content(workspaces)
	if err != nil {
		return err
	}
	return p.timed(ctx, "first", set)
}

// publish carries out publication n.
func (p *publisher) publish(ctx context.Context, n int) error {
	k := kinds[n%len(kinds)]
	spaces := workspaces
	if k == wrong {
		spaces = 1
	}
	set, err := p.content(spaces)
	if err != nil {
		return err
	}
	switch k {
	case race:
		return p.race(ctx, set)
	case wrong:
		return p.publishWrong(ctx, set)
	case frozen:
		return p.publishFrozen(ctx, set)
	case killed:
		go p.killOne(ctx)
	case outage:
		go p.logOutage()
	}
	return p.timed(ctx, k, set)
}

// timed publishes set and measures until every daemon has it in force.
func (p *publisher) timed(ctx context.Context, k kind, set *config.Set) error {
	start := time.Now()
	d, err := p.submit(ctx, set)
	if err != nil {
		return err
	}
	if d.Result != publish.Committed {
		p.note(k, d)
		return nil
	}
	return p.await(k, d.Candidate, start)
}

func (p *publisher) await(k kind, version uint64, start time.Time) error {
	for !p.watcher.everywhere(version) {
		if time.Since(start) > forceWithin {
			return fmt.Errorf("version %d is not in force everywhere after %v", version, forceWithin)
		}
		time.Sleep(pollEvery / 2)
	}
	took := time.Since(start)
	p.times[k] = append(p.times[k], took)
	fmt.Fprintf(os.Stderr, "%-7s version %d in force everywhere after %v\n", k, version, took.Round(10*time.Millisecond))
	return nil
}

func (p *publisher) note(k kind, d publish.Decision) {
	reason := fmt.Sprintf("%s: candidate %d %s: %s", k, d.Candidate, d.Result, publish.RefusalText(d.Refusals))
	p.refused = append(p.refused, reason)
	fmt.Fprintln(os.Stderr, reason)
}

// race publishes two contents at once; one must win.
func (p *publisher) race(ctx context.Context, set *config.Set) error {
	other, err := p.content(workspaces)
	if err != nil {
		return err
	}
	lost := make(chan error, 1)
	go func() { lost <- p.timed(ctx, race, other) }()
	err = p.timed(ctx, race, set)
	if second := <-lost; err == nil {
		err = second
	}
	return err
}

// publishWrong publishes a version that must be refused.
func (p *publisher) publishWrong(ctx context.Context, set *config.Set) error {
	d, err := p.submit(ctx, set)
	if err != nil {
		return err
	}
	p.note(wrong, d)
	if d.Result == publish.Committed || p.watcher.anywhere(d.Candidate) {
		p.wrong++
	}
	return nil
}

// publishFrozen publishes while one daemon does not run: it must be refused,
// or committed without that daemon once it is declared dead.
func (p *publisher) publishFrozen(ctx context.Context, set *config.Set) error {
	v := p.fleet.vms[p.rand.IntN(len(p.fleet.vms))]
	p.watcher.skip(v.name, true)
	v.freeze(true)
	start := time.Now()
	d, err := p.submit(ctx, set)
	p.decided = append(p.decided, time.Since(start))
	v.freeze(false)
	if err != nil {
		return err
	}
	time.Sleep(p.flags.settle)
	p.watcher.skip(v.name, false)
	if d.Result != publish.Committed {
		p.note(frozen, d)
		return nil
	}
	return p.await(frozen, d.Candidate, start)
}

// killOne kills a daemon and starts it again.
func (p *publisher) killOne(ctx context.Context) {
	v := p.fleet.vms[p.rand.IntN(len(p.fleet.vms))]
	p.watcher.skip(v.name, true)
	p.fleet.kill(v)
	time.Sleep(downTime)
	if ctx.Err() == nil && p.fleet.start(v) == nil {
		p.watcher.skip(v.name, false)
	}
}

// logOutage takes the log down for a while.
func (p *publisher) logOutage() {
	delay := int(p.flags.append.Milliseconds())
	time.Sleep(time.Duration(p.rand.IntN(delay+1)) * time.Millisecond)
	p.fleet.log.SetFaults(fakelog.Faults{Outage: true})
	time.Sleep(outageTime)
	p.fleet.log.SetFaults(fakelog.Faults{AppendDelayMS: delay})
}

// Report is the result as JSON. Times are in milliseconds from the call of
// the publisher to the last daemon having the version in force.
type Report struct {
	Daemons      int                `json:"daemons"`
	Seed         uint64             `json:"seed"`
	Committed    int                `json:"committed"`
	Refused      int                `json:"refused"`
	P50          int64              `json:"in_force_p50_ms"`
	Max          int64              `json:"in_force_max_ms"`
	ByKind       map[kind]KindTimes `json:"by_kind"`
	Refusals     []string           `json:"refusals"`
	Reverts      int                `json:"reverts"`
	Splits       int                `json:"splits"`
	WrongInForce int                `json:"wrong_in_force"`
	FrozenMax    int64              `json:"frozen_decided_max_ms"` // with a daemon that does not answer
}

// KindTimes are the times of one kind of publication.
type KindTimes struct {
	P50 int64 `json:"p50_ms"`
	Max int64 `json:"max_ms"`
}

func (p *publisher) report() Report {
	r := Report{Daemons: len(p.fleet.vms), Seed: p.flags.seed, Refused: len(p.refused), Refusals: p.refused,
		ByKind: make(map[kind]KindTimes), WrongInForce: p.wrong}
	var all []time.Duration
	for k, times := range p.times {
		all = append(all, times...)
		r.ByKind[k] = KindTimes{median(times), slices.Max(times).Milliseconds()}
	}
	r.Committed = len(all)
	if len(all) > 0 {
		r.P50, r.Max = median(all), slices.Max(all).Milliseconds()
	}
	if len(p.decided) > 0 {
		r.FrozenMax = slices.Max(p.decided).Milliseconds()
	}
	p.watcher.mu.Lock()
	defer p.watcher.mu.Unlock()
	r.Reverts, r.Splits = p.watcher.reverts, p.watcher.splits
	return r
}

func median(times []time.Duration) int64 {
	sorted := slices.Sorted(slices.Values(times))
	return sorted[len(sorted)/2].Milliseconds()
}
