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

// kind is the kind of a publication: the fault or conflict during it.
type kind string

// Kinds of publications. They take turns.
const (
	plain  kind = "plain"
	race   kind = "race"   // two operators publish at once
	wrong  kind = "wrong"  // removes most workspaces and must be refused
	killed kind = "killed" // a daemon is killed as the version is published, and restarted
	outage kind = "outage" // the log has an outage while the operator waits
	frozen kind = "frozen" // a daemon is suspended while the operator waits
)

var kinds = []kind{plain, race, wrong, killed, outage, frozen}

const (
	submitTimeout  = 40 * time.Second
	inForceTimeout = 20 * time.Second
	outageLength   = 2 * time.Second
	restartDelay   = 300 * time.Millisecond
	workspaces     = 10
)

// publisher makes the publications and collects their results.
type publisher struct {
	fleet        *fleet
	watcher      *watcher
	flags        *flags
	rand         *rand.Rand
	contentCount int // contents made so far; makes each one differ
	times        map[kind][]time.Duration
	refused      []string        // reasons
	wrongInForce int             // versions that had to be refused but were committed or seen in force
	frozenTimes  []time.Duration // times to a decision with a frozen daemon
}

func newPublisher(fl *fleet, w *watcher, f *flags) *publisher {
	return &publisher{fleet: fl, watcher: w, flags: f, rand: rand.New(rand.NewPCG(f.seed, 0)), //nolint:gosec // random faults need no secure source
		times: make(map[kind][]time.Duration)}
}

// nextContent returns a new configuration with the given number of workspaces.
func (p *publisher) nextContent(workspaceCount int) (*config.Set, error) {
	p.contentCount++
	base := fmt.Sprintf("schema = 1\n[models.m]\nweights = \"w1\"\n[admission]\nqueue_max = %d\n", 1000+p.contentCount)
	for i := range workspaceCount {
		base += fmt.Sprintf("[workspaces.w%d]\nkey_sha256 = [\"%064x\"]\n", i, i+1)
	}
	overlay := "schema = 1\nsite = \"s\"\ndata_centres = [\"dc-0\", \"dc-1\", \"dc-2\"]\n"
	for i, address := range p.fleet.engines {
		overlay += fmt.Sprintf("[upstreams.e%d]\nkind = \"engine\"\naddress = %q\ndata_centre = \"dc-%d\"\nmodels = [\"m\"]\n",
			i, address, i%dataCentres)
	}
	return config.Parse([]config.File{{Name: "base.toml", Data: []byte(base)}, {Name: "s.toml", Data: []byte(overlay)}})
}

// submit publishes set and waits for the decision.
func (p *publisher) submit(ctx context.Context, set *config.Set) (publish.Decision, error) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	s := publish.NewSubmitter(httplog.New(p.fleet.logURL, http.DefaultClient), func(string) {})
	return s.Submit(ctx, publish.Submission{Set: set, Author: "fleet"})
}

// publishFirst publishes the initial version.
func (p *publisher) publishFirst(ctx context.Context) error {
	set, err := p.nextContent(workspaces)
	if err != nil {
		return err
	}
	return p.publishTimed(ctx, "first", set)
}

// publish makes publication n, whose kind depends on n.
func (p *publisher) publish(ctx context.Context, n int) error {
	k := kinds[n%len(kinds)]
	workspaceCount := workspaces
	if k == wrong {
		workspaceCount = 1
	}
	set, err := p.nextContent(workspaceCount)
	if err != nil {
		return err
	}
	switch k {
	case race:
		return p.publishRace(ctx, set)
	case wrong:
		return p.publishWrong(ctx, set)
	case frozen:
		return p.publishFrozen(ctx, set)
	case killed:
		go p.killOne(ctx)
	case outage:
		go p.logOutage()
	}
	return p.publishTimed(ctx, k, set)
}

// publishTimed publishes set and measures the time until it is in force on every
// daemon. A refusal is noted.
func (p *publisher) publishTimed(ctx context.Context, k kind, set *config.Set) error {
	start := time.Now()
	d, err := p.submit(ctx, set)
	if err != nil {
		return err
	}
	if d.Result != publish.Committed {
		p.noteRefusal(k, d)
		return nil
	}
	return p.await(k, d.Candidate, start)
}

// await waits until version is in force on every daemon and records the time since
// start.
func (p *publisher) await(k kind, version uint64, start time.Time) error {
	for !p.watcher.inForceEverywhere(version) {
		if time.Since(start) > inForceTimeout {
			return fmt.Errorf("version %d is not in force everywhere after %v", version, inForceTimeout)
		}
		time.Sleep(pollInterval / 2)
	}
	elapsed := time.Since(start)
	p.times[k] = append(p.times[k], elapsed)
	fmt.Fprintf(os.Stderr, "%-7s version %d in force everywhere after %v\n", k, version, elapsed.Round(10*time.Millisecond))
	return nil
}

// noteRefusal records why a publication was not committed.
func (p *publisher) noteRefusal(k kind, d publish.Decision) {
	reason := fmt.Sprintf("%s: candidate %d %s: %s", k, d.Candidate, d.Result, publish.FormatRefusals(d.Refusals))
	p.refused = append(p.refused, reason)
	fmt.Fprintln(os.Stderr, reason)
}

// publishRace publishes two contents at once. Each is either committed or noted as
// refused.
func (p *publisher) publishRace(ctx context.Context, set *config.Set) error {
	other, err := p.nextContent(workspaces)
	if err != nil {
		return err
	}
	otherErr := make(chan error, 1)
	go func() { otherErr <- p.publishTimed(ctx, race, other) }()
	err = p.publishTimed(ctx, race, set)
	if second := <-otherErr; err == nil {
		err = second
	}
	return err
}

// publishWrong publishes a version that must be refused, and counts it if it is
// not.
func (p *publisher) publishWrong(ctx context.Context, set *config.Set) error {
	d, err := p.submit(ctx, set)
	if err != nil {
		return err
	}
	p.noteRefusal(wrong, d)
	if d.Result == publish.Committed || p.watcher.inForceAnywhere(d.Candidate) {
		p.wrongInForce++
	}
	return nil
}

// publishFrozen publishes while one daemon is suspended. The version is either
// refused or, once that daemon is declared dead, committed without it.
func (p *publisher) publishFrozen(ctx context.Context, set *config.Set) error {
	v := p.fleet.vms[p.rand.IntN(len(p.fleet.vms))]
	p.watcher.setSkipped(v.name, true)
	v.setFrozen(true)
	start := time.Now()
	d, err := p.submit(ctx, set)
	p.frozenTimes = append(p.frozenTimes, time.Since(start))
	v.setFrozen(false)
	if err != nil {
		return err
	}
	time.Sleep(p.flags.settle)
	p.watcher.setSkipped(v.name, false)
	if d.Result != publish.Committed {
		p.noteRefusal(frozen, d)
		return nil
	}
	return p.await(frozen, d.Candidate, start)
}

// killOne kills a random daemon and restarts it after restartDelay.
func (p *publisher) killOne(ctx context.Context) {
	v := p.fleet.vms[p.rand.IntN(len(p.fleet.vms))]
	p.watcher.setSkipped(v.name, true)
	p.fleet.kill(v)
	time.Sleep(restartDelay)
	if ctx.Err() == nil && p.fleet.start(v) == nil {
		p.watcher.setSkipped(v.name, false)
	}
}

// logOutage takes the log down for outageLength, at a random point of the append.
func (p *publisher) logOutage() {
	delay := int(p.flags.append.Milliseconds())
	time.Sleep(time.Duration(p.rand.IntN(delay+1)) * time.Millisecond)
	p.fleet.log.SetFaults(fakelog.Faults{Outage: true})
	time.Sleep(outageLength)
	p.fleet.log.SetFaults(fakelog.Faults{AppendDelayMS: delay})
}

// Report is the result as JSON. Times are in milliseconds, from the start of a
// publication until the version is in force on the last daemon.
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
	FrozenMax    int64              `json:"frozen_decided_max_ms"` // time to a decision with a frozen daemon
}

// KindTimes holds the times of one kind of publication, in milliseconds.
type KindTimes struct {
	P50 int64 `json:"p50_ms"`
	Max int64 `json:"max_ms"`
}

// report summarises the publications.
func (p *publisher) report() Report {
	r := Report{Daemons: len(p.fleet.vms), Seed: p.flags.seed, Refused: len(p.refused), Refusals: p.refused,
		ByKind: make(map[kind]KindTimes), WrongInForce: p.wrongInForce}
	var all []time.Duration
	for k, times := range p.times {
		all = append(all, times...)
		r.ByKind[k] = KindTimes{median(times), slices.Max(times).Milliseconds()}
	}
	r.Committed = len(all)
	if len(all) > 0 {
		r.P50, r.Max = median(all), slices.Max(all).Milliseconds()
	}
	if len(p.frozenTimes) > 0 {
		r.FrozenMax = slices.Max(p.frozenTimes).Milliseconds()
	}
	p.watcher.mu.Lock()
	defer p.watcher.mu.Unlock()
	r.Reverts, r.Splits = p.watcher.reverts, p.watcher.splits
	return r
}

// median returns the median in milliseconds. times must not be empty.
func median(times []time.Duration) int64 {
	sorted := slices.Sorted(slices.Values(times))
	return sorted[len(sorted)/2].Milliseconds()
}
