package scenario

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"currantpulley/bench/caller"
	"currantpulley/bench/cluster"
	"currantpulley/bench/measure"
	"currantpulley/bench/site"
	"currantpulley/internal/fake/fakeengine"
	"currantpulley/internal/pipe"
)

// grace is how long a run waits for responses after its last phase.
const grace = 6 * time.Second

// Options of a run.
type Options struct {
	Scenario    string
	Site        site.Site
	Policy      string
	Placement   func() []pipe.Filter // nil: the router's own
	Seed        uint64
	Load        float64 // share of capacity; 0: the default of the scenario
	IgnoreCache bool    // engines ignore their caches
	Scale       float64 // multiplies the length of all phases; 0: 1
}

// reading holds the counters of the engines and of processor time at the start of
// a phase.
type reading struct {
	stats  fakeengine.Stats
	wasted int
	cpu    measure.CPU
}

// run is the state of one run.
type run struct {
	Options
	plan     *plan
	cluster  *cluster.Cluster
	waste    *measure.WasteCounter
	engines  engineCheck
	readings []reading // one per phase and one at the end
	results  []*caller.Result
}

// Run runs a scenario and returns its figures.
func Run(ctx context.Context, o Options) (*Figures, error) {
	p, err := newPlan(o.Scenario, o.Site, o.Load, o.Seed)
	if err != nil {
		return nil, err
	}
	if o.Scale > 0 {
		p.scale(o.Scale)
	}
	started := time.Now()
	r := &run{Options: o, plan: p, waste: measure.NewWasteCounter()}
	r.engines.admitted = make(map[string]bool)
	r.cluster, err = cluster.Start(ctx, cluster.Options{
		Site: o.Site, Placement: o.Placement, Waste: r.waste, OnAdmit: r.engines.check, IgnoreCache: o.IgnoreCache,
	})
	if err != nil {
		return nil, err
	}
	defer r.cluster.Close()
	if err := r.execute(ctx); err != nil {
		return nil, err
	}
	f := r.figures()
	f.WallSeconds = time.Since(started).Seconds()
	return f, nil
}

// execute sends the requests while runPhases steps through the phases.
func (r *run) execute(ctx context.Context) error {
	requests := r.plan.arrivals(r.Seed)
	callers := caller.New(r.cluster.Addresses(), r.cluster.Restarts)
	g, running := errgroup.WithContext(ctx)
	g.Go(func() error { return r.runPhases(running) })
	r.results = callers.Run(running, requests, r.plan.length(), grace)
	if err := g.Wait(); err != nil {
		return fmt.Errorf("scenario %s: %w", r.Scenario, err)
	}
	return ctx.Err()
}

// runPhases starts each phase on time, and takes a reading before each and at the
// end.
func (r *run) runPhases(ctx context.Context) error {
	next := time.Now()
	for _, ph := range r.plan.phases {
		r.takeReading()
		if ph.onStart != nil {
			if err := ph.onStart(ctx, r.cluster); err != nil {
				return err
			}
		}
		next = next.Add(ph.Length)
		select {
		case <-time.After(time.Until(next)):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	r.takeReading()
	return nil
}

func (r *run) takeReading() {
	r.readings = append(r.readings, reading{r.cluster.Stats(), r.waste.Wasted(), measure.ReadCPU()})
}

// engineCheck checks requests at the engines for violated guarantees.
type engineCheck struct {
	mu         sync.Mutex
	admitted   map[string]bool // by digest of the prompt
	violations []string
}

// check is called for each request that an engine admits. It checks the cache
// salt, which isolates workspaces, and the expected weights.
func (c *engineCheck) check(r *http.Request, text []byte) {
	owner, _, _ := strings.Cut(string(text), "/")
	c.mu.Lock()
	defer c.mu.Unlock()
	c.admitted[fakeengine.Digest(text)] = true
	if salt := r.Header.Get("X-Cache-Salt"); salt != owner {
		c.violations = append(c.violations, fmt.Sprintf("prompt of %s has cache salt %q", owner, salt))
	}
	if weights := r.Header.Get("X-Expect-Weights"); weights != site.Weights {
		c.violations = append(c.violations, fmt.Sprintf("request expects weights %q", weights))
	}
}

// markFalseRefusals marks requests as violations that were refused as not run
// although an engine admitted them.
func (c *engineCheck) markFalseRefusals(results []*caller.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range results {
		if r.Outcome == caller.Refused && c.admitted[fakeengine.Digest(r.Request.Text)] {
			r.Violation = "refused as not run, but an engine admitted it"
		}
	}
}
