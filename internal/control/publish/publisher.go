package publish

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/semaphore"

	"currantpulley/internal/backing"
	"currantpulley/internal/config"
	"currantpulley/internal/control/loop"
	pb "currantpulley/internal/control/publish/publishpb"
	"currantpulley/internal/event"
	"currantpulley/internal/fleet"
	"currantpulley/internal/peer"
)

const (
	tickPeriod       = 100 * time.Millisecond
	appendTimeout    = 10 * time.Second // for one append to the log
	stageTimeout     = 2 * time.Second  // for one stage request
	fetchTimeout     = 3 * time.Second  // for one state request
	maxStageRequests = 64               // in progress at once
	maxParsedSets    = 4                // parsed configurations in the cache
)

// Options configures a Publisher.
type Options struct {
	Loop     *loop.Loop
	Log      backing.Log
	Pool     *peer.Pool
	View     func() fleet.View // called on the control goroutine
	Traffic  TrafficCheck      // nil: no check against traffic
	Recorder event.Recorder    // nil: events are dropped
	Site     string            // overlay that this daemon serves
	Self     string            // name of this VM

	// Apply brings a version into force in the daemon. It is called on the
	// control goroutine.
	Apply func(version uint64, set *config.Set)
	// OnDetached is called when requests must no longer be admitted, with the
	// reason, and when they may be again. It is called on the control goroutine.
	OnDetached func(detached bool, reason string)
}

// Publisher runs a Machine on the control goroutine.
type Publisher struct {
	opts         Options
	machine      *Machine    // owned by the control goroutine
	current      *config.Set // applied last; nil: none; owned by the control goroutine
	detachReason string      // why detached; empty: attached; owned by the control goroutine
	detached     atomic.Bool
	sets         *lru.Cache[string, *config.Set] // cache of parsed configurations by content hash
	stageSlots   *semaphore.Weighted             // limits stage requests in progress
	states       *stateServer
	ctx          context.Context // of Run, for the actions' goroutines
}

// New returns a Publisher. Run starts it.
func New(opts Options) *Publisher {
	if opts.Recorder == nil {
		opts.Recorder = event.Discard{}
	}
	if opts.OnDetached == nil {
		opts.OnDetached = func(bool, string) {}
	}
	sets, err := lru.New[string, *config.Set](maxParsedSets)
	if err != nil {
		panic(err) // the only error is a size that is not positive
	}
	return &Publisher{
		opts:       opts,
		machine:    NewMachine(opts.Self, DefaultTiming(), time.Now()),
		sets:       sets,
		stageSlots: semaphore.NewWeighted(maxStageRequests),
		states:     newStateServer(),
		ctx:        context.Background(),
	}
}

// Version returns the version in force on this VM, or 0 if there is none. It
// must be called on the control goroutine.
func (p *Publisher) Version() uint64 { return p.machine.Version() }

// Detached reports whether requests must not be admitted, because a newer
// version may be in force elsewhere. It is safe for concurrent use.
func (p *Publisher) Detached() bool { return p.detached.Load() }

// PeerVersionReceived passes the version in force at another VM to the machine.
// It must be called on the control goroutine.
func (p *Publisher) PeerVersionReceived(vm string, version uint64, now time.Time) {
	p.machine.PeerVersionReceived(now, vm, version)
	p.dispatch(now)
}

// Run reads the log, boots from the peers and ticks the machine until ctx ends.
// The loop must be running.
func (p *Publisher) Run(ctx context.Context) error {
	if err := p.opts.Loop.Do(ctx, func(time.Time) { p.ctx = ctx }); err != nil {
		return err
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return (&tail{p: p, stream: backing.StreamConfig}).run(ctx) })
	g.Go(func() error { return p.boot(ctx) })
	p.opts.Loop.Every(ctx, tickPeriod, func(now time.Time) {
		p.machine.Tick(now, p.opts.View())
		p.dispatch(now)
	})
	return g.Wait()
}

// do runs f with the machine on the control goroutine and executes the resulting
// actions. It waits until f has returned.
func (p *Publisher) do(ctx context.Context, f func(now time.Time, m *Machine)) error {
	return p.opts.Loop.Do(ctx, func(now time.Time) {
		f(now, p.machine)
		p.dispatch(now)
	})
}

// post is do without waiting.
func (p *Publisher) post(f func(now time.Time, m *Machine)) {
	p.opts.Loop.Post(func(now time.Time) {
		f(now, p.machine)
		p.dispatch(now)
	})
}

// dispatch executes the machine's actions. It runs on the control goroutine and
// starts a goroutine for each action that blocks.
func (p *Publisher) dispatch(now time.Time) {
	for actions := p.machine.TakeActions(); len(actions) > 0; actions = p.machine.TakeActions() {
		for _, a := range actions {
			p.execute(now, a)
		}
	}
}

func (p *Publisher) execute(now time.Time, a Action) {
	ctx := p.ctx
	switch a := a.(type) {
	case Append:
		go p.append(ctx, a)
	case RequestStage:
		p.requestStage(ctx, a)
	case Fetch:
		go p.fetch(ctx, a, p.address(a.VM))
	case Check:
		c := &checker{self: p.opts.Self, site: p.opts.Site, traffic: p.opts.Traffic, before: p.current, override: a.Override}
		go p.check(c, a)
	case Apply:
		p.apply(now, a)
	case Detach:
		p.setDetached(a)
	case RecordEvent:
		p.opts.Recorder.Record(a.Event)
	}
}

// append appends a record to the configuration stream and posts the result to
// the machine.
func (p *Publisher) append(ctx context.Context, a Append) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	data, err := encodeRecord(a.Record)
	if err == nil {
		_, err = p.opts.Log.Append(ctx, backing.StreamConfig, data)
	}
	p.post(func(now time.Time, m *Machine) { m.Appended(now, a.Record, err) })
}

// parsedSet returns the parsed configuration of content from the cache, or
// parses it. It fails if the canonical form's hash is not hash.
func (p *Publisher) parsedSet(hash string, content []byte) (*config.Set, error) {
	if s, ok := p.sets.Get(hash); ok {
		return s, nil
	}
	s, err := config.ParseCanonical(content)
	if err != nil {
		return nil, err
	}
	if s.Hash() != hash {
		return nil, fmt.Errorf("the content is not in canonical form: hash %.12s, expected %.12s", s.Hash(), hash)
	}
	p.sets.Add(hash, s)
	return s, nil
}

// check runs the checks of a candidate and posts the refusals to the machine.
func (p *Publisher) check(c *checker, a Check) {
	var found []*pb.Refusal
	s, err := p.parsedSet(a.Hash, a.Content)
	if err != nil {
		found = toRefusals(p.opts.Self, asProblems(err))
	} else {
		found = c.check(s)
	}
	p.post(func(now time.Time, m *Machine) { m.Checked(now, a.Candidate, found) })
}

// apply brings a version into force in the daemon. If that fails, the machine
// detaches: the daemon has no configuration with which to admit requests.
func (p *Publisher) apply(now time.Time, a Apply) {
	s, err := p.parsedSet(a.Hash, a.Content)
	var site *config.Config
	if err == nil {
		site, err = s.Site(p.opts.Site)
	}
	if err != nil {
		p.opts.Recorder.Record(event.Event{ID: event.ConfigUnusable, Version: a.Version, Step: "apply configuration", Err: err})
		p.machine.ApplyFailed(now, err.Error())
		return
	}
	p.current = s
	p.machine.SetTiming(timing(site.Publish))
	p.opts.Apply(a.Version, s)
	p.opts.Recorder.Record(event.Event{ID: event.ConfigApplied, Version: a.Version, Step: "apply configuration", Detail: a.Hash})
}

// timing returns the timing set by the configuration in force.
func timing(c config.Publish) Timing {
	return Timing{
		AckTimeout:    c.AckTimeout.Std(),
		Takeover:      c.Takeover.Std(),
		Detach:        c.Detach.Std(),
		Reappend:      c.Reappend.Std(),
		StageInterval: defaultStageInterval,
	}
}

func (p *Publisher) setDetached(a Detach) {
	id := event.DaemonReattached
	if a.Detached {
		id = event.DaemonDetached
	}
	p.detachReason = a.Reason
	p.detached.Store(a.Detached)
	p.opts.Recorder.Record(event.Event{ID: id, Version: p.machine.Version(), Step: "publish", Detail: a.Reason})
	p.opts.OnDetached(a.Detached, a.Reason)
}
