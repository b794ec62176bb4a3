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
	submitTimeout  = 40 * time.Second
	inForceTimeout = 20 * time.Second
	outageLength   = 2 * time.Second
	restartDelay   = 300 * time.Millisecond
	workspaces     = 10
)

// publisher carries out the publications.
type publisher struct {
	fleet        *fleet
	watcher      *watcher
	flags        *flags
	rand         *rand.Rand
	contentCount int // makes each content differ
	times        map[kind][]time.Duration
	refused      []string
	wrongInForce int             // wrong versions seen in force
	frozenTimes  []time.Duration // with a frozen daemon
}

func newPublisher(fl *fleet, w *watcher, f *flags) *publisher {
	return &publisher{fleet: fl, watcher: w, flags: f, rand: rand.New(rand.NewPCG(f.seed, 0)), //nolint:gosec // a test's faults
		times: make(map[kind][]time.Duration)}
}

// content returns a configuration with the given number of workspaces.
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

// submit publishes set and waits for the verdict.
func (p *publisher) submit(ctx context.Context, set *config.Set) (publish.Decision, error) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	s := publish.NewSubmitter(httplog.New(p.fleet.logURL, http.DefaultClient), func(string) {})
	return s.Submit(ctx, publish.Submission{Set: set, Author: "fleet"})
}

// first publishes the version that the others follow.
func (p *publisher) publishFirst(ctx context.Context) error {
	set, err := p.nextContent(workspaces)
	if err != nil {
		return err
	}
	return p.publishTimed(ctx, "first", set)
}

// publish carries out publication n.
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

// timed publishes set and measures until every daemon has it in force.
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

func (p *publisher) noteRefusal(k kind, d publish.Decision) {
	reason := fmt.Sprintf("%s: candidate %d %s: %s", k, d.Candidate, d.Result, publish.RefusalText(d.Refusals))
	p.refused = append(p.refused, reason)
	fmt.Fprintln(os.Stderr, reason)
}

// race publishes two contents at once; one must win.
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

// publishWrong publishes a version that must be refused.
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

// publishFrozen publishes while one daemon does not run: it must be refused,
// or committed without that daemon once it is declared dead.
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

// killOne kills a daemon and starts it again.
func (p *publisher) killOne(ctx context.Context) {
	v := p.fleet.vms[p.rand.IntN(len(p.fleet.vms))]
	p.watcher.setSkipped(v.name, true)
	p.fleet.kill(v)
	time.Sleep(restartDelay)
	if ctx.Err() == nil && p.fleet.start(v) == nil {
		p.watcher.setSkipped(v.name, false)
	}
}

// logOutage takes the log down for a while.
func (p *publisher) logOutage() {
	delay := int(p.flags.append.Milliseconds())
	time.Sleep(time.Duration(p.rand.IntN(delay+1)) * time.Millisecond)
	p.fleet.log.SetFaults(fakelog.Faults{Outage: true})
	time.Sleep(outageLength)
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

func median(times []time.Duration) int64 {
	sorted := slices.Sorted(slices.Values(times))
	return sorted[len(sorted)/2].Milliseconds()
}
