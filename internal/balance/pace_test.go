package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"currantpulley/internal/catalog"
)

// Engines and daemons of the simulated fleets. An engine works in steps: in each it reads
// pieces of the oldest unread prompts, and makes a token of each answer.
const (
	fleetDaemons  = 24
	fleetEngines  = 15
	fleetPrompts  = 5.0 // long prompts a second for each engine, which keep it in use for over half of the time
	fleetCalls    = 220 // calls a second in all
	fleetTick     = time.Millisecond
	fleetExchange = 240 * time.Millisecond // between two reports of a daemon
	fleetPiece    = 2048                   // tokens of prompts read in a step
	fleetStep     = 4400 * time.Microsecond
	fleetPerToken = time.Second / 70_000
	fleetWarmUp   = 4 * time.Second // not counted
	fleetLength   = 24 * time.Second
	fleetSpell    = 3 * time.Second
	spellSlow     = 2.5 // times the usual time that work takes
	fleetSeeds    = 5
	// fleetBusiestMax bounds the time that the busiest engine is in use, relative to the mean.
	fleetBusiestMax = 1.3
)

// unevenFleet simulates daemons before engines of unequal speed.
type unevenFleet struct {
	rng     *rand.Rand
	daemons []*Balancer
	watcher *catalog.Watcher
	engines []*unevenEngine
	rate    float64         // requests a second
	work    func() *Work    // the next request
	unaware bool            // the daemons use no paces
	waits   []time.Duration // to the first token, or for a call's answer
}

type unevenEngine struct {
	upstream *catalog.Upstream
	speed    float64
	slowFrom time.Time // of its spell; zero: it has none
	queue    []*unevenRequest
	stepEnds time.Time
	inUse    time.Duration
}

type unevenRequest struct {
	daemon *Balancer
	pick   *Pick
	unread int           // tokens of the prompt
	left   int           // tokens of the answer
	run    time.Duration // that a call runs yet
	begun  bool
}

// newUnevenFleet returns a fleet whose upstreams have the speeds by turns.
func newUnevenFleet(seed uint64, w *catalog.Watcher, service string, speeds ...float64) *unevenFleet {
	f := &unevenFleet{rng: rand.New(rand.NewPCG(seed, 2)), watcher: w}
	for i, u := range w.Load().UpstreamsOf(service) {
		f.engines = append(f.engines, &unevenEngine{upstream: u, speed: speeds[i%len(speeds)]})
	}
	for range fleetDaemons {
		b := New(Options{DataCentre: "a", UsePaces: true})
		b.random = f.rng.Float64
		f.daemons = append(f.daemons, b)
	}
	return f
}

// newUnevenEngines returns a fleet of engines with long prompts.
func newUnevenEngines(seed uint64, speeds ...float64) *unevenFleet {
	w := catalog.NewWatcher()
	addEngines(w, fleetEngines, 1)
	f := newUnevenFleet(seed, w, testService, speeds...)
	f.rate = fleetPrompts * fleetEngines
	f.work = func() *Work {
		prompt := longWork(fmt.Sprint("s", f.rng.IntN(40)))
		prompt.Prompt.Parts[0].ID = fmt.Sprint("template ", f.rng.IntN(6))
		return prompt
	}
	return f
}

// run plays the load until the time, and calls each with the time of each tick.
func (f *unevenFleet) run(until time.Duration, each func(now time.Time)) {
	for now := testNow; now.Sub(testNow) < until; now = now.Add(fleetTick) {
		for _, e := range f.engines {
			f.advance(e, now)
		}
		f.report(now)
		if f.rng.Float64() < f.rate*fleetTick.Seconds() {
			f.send(now)
		}
		each(now)
	}
}

// send lets a request come to a random daemon.
func (f *unevenFleet) send(now time.Time) {
	b := f.daemons[f.rng.IntN(len(f.daemons))]
	b.opts.UsePaces = !f.unaware
	p := b.Pick(f.watcher.Load(), f.work(), now)
	i := slices.IndexFunc(f.engines, func(e *unevenEngine) bool { return e.upstream == p.Upstream })
	f.engines[i].queue = append(f.engines[i].queue, &unevenRequest{daemon: b, pick: p, unread: p.prefillTokens, left: p.output, run: testCall})
}

// slowness returns the time that work takes the engine at now, relative to speed 1.
func (e *unevenEngine) slowness(now time.Time) float64 {
	since := now.Sub(e.slowFrom)
	if !e.slowFrom.IsZero() && since >= 0 && since < fleetSpell {
		return spellSlow / e.speed
	}
	return 1 / e.speed
}

// advance lets a tick pass at an upstream.
func (f *unevenFleet) advance(e *unevenEngine, now time.Time) {
	if len(e.queue) > 0 && now.Sub(testNow) > fleetWarmUp {
		e.inUse += fleetTick
	}
	if e.upstream.Service != testService {
		f.runCalls(e, now)
		return
	}
	if now.Before(e.stepEnds) {
		return
	}
	if !e.stepEnds.IsZero() {
		f.endStep(e, now)
	}
	e.stepEnds = time.Time{}
	if len(e.queue) > 0 {
		e.stepEnds = now.Add(scale(fleetStep+time.Duration(e.piece())*fleetPerToken, e.slowness(now)))
	}
}

// piece returns the tokens of prompts that the engine reads in one step.
func (e *unevenEngine) piece() int {
	unread := 0
	for _, r := range e.queue {
		unread += r.unread
	}
	return min(fleetPiece, unread)
}

// endStep gives the requests what the engine's step has made.
func (f *unevenFleet) endStep(e *unevenEngine, now time.Time) {
	room := fleetPiece
	for _, r := range e.queue {
		read := min(room, r.unread)
		room -= read
		if r.unread -= read; r.unread > 0 {
			continue
		}
		r.left--
		if !r.begun {
			f.begin(r, now)
		}
	}
	f.end(e, now, func(r *unevenRequest) bool { return r.begun && r.left <= 0 })
}

// runCalls lets a tick pass at an upstream of plain calls.
func (f *unevenFleet) runCalls(e *unevenEngine, now time.Time) {
	for _, r := range e.queue[:min(e.upstream.Slots, len(e.queue))] {
		if r.run -= scale(fleetTick, 1/e.slowness(now)); r.run <= 0 {
			f.begin(r, now)
		}
	}
	f.end(e, now, func(r *unevenRequest) bool { return r.begun })
}

func (f *unevenFleet) begin(r *unevenRequest, now time.Time) {
	r.begun = true
	r.daemon.Began(r.pick, now)
	if now.Sub(testNow) > fleetWarmUp {
		f.waits = append(f.waits, now.Sub(r.pick.pickedAt))
	}
}

// end removes the requests that are served.
func (f *unevenFleet) end(e *unevenEngine, now time.Time, served func(*unevenRequest) bool) {
	e.queue = slices.DeleteFunc(e.queue, func(r *unevenRequest) bool {
		if !served(r) {
			return false
		}
		r.daemon.Done(r.pick, Served, now)
		return true
	})
}

// report tells the other daemons what one of them does and sees, each in turn.
func (f *unevenFleet) report(now time.Time) {
	turn, every := int(now.Sub(testNow)/fleetTick), int(fleetExchange/fleetTick)/len(f.daemons)
	if turn%every != 0 {
		return
	}
	i := turn / every % len(f.daemons)
	from, vm := f.daemons[i], fmt.Sprint("vm-", i)
	for j, to := range f.daemons {
		if i != j {
			to.SetPeerWork(vm, from.OwnWork(now), now, now.Add(4*fleetExchange))
			_ = to.MergePaces(vm, from.PaceClaims(2*fleetExchange, 32, now), now)
		}
	}
}

// busiest returns the time that the busiest upstream was in use, relative to the mean.
func (f *unevenFleet) busiest() float64 {
	var most, sum time.Duration
	for _, e := range f.engines {
		most = max(most, e.inUse)
		sum += e.inUse
	}
	return float64(most) / (float64(sum) / float64(len(f.engines)))
}

// wait returns the wait that the share of the requests doesn't exceed.
func (f *unevenFleet) wait(share float64) time.Duration {
	slices.Sort(f.waits)
	return f.waits[int(share*float64(len(f.waits)))]
}

func idle(time.Time) {}

// Engines of unequal speed, each slow for a while at times, are in use for about as long:
// no more work goes to the slow ones than they can do, the fast ones aren't piled up, and
// callers wait less than without paces.
func TestUnevenEnginesAreUsedAlike(t *testing.T) {
	checkUsedAlike(t, func(seed uint64) *unevenFleet {
		f := newUnevenEngines(seed, 0.6, 1, 1.6)
		for _, e := range f.engines {
			e.slowFrom = testNow.Add(time.Duration(f.rng.Int64N(int64(fleetLength))))
		}
		return f
	})
}

// The same for the replicas of a plain service.
func TestUnevenReplicasAreUsedAlike(t *testing.T) {
	checkUsedAlike(t, func(seed uint64) *unevenFleet {
		w := catalog.NewWatcher()
		for i := range 3 {
			w.PutUpstream(&catalog.Upstream{ID: fmt.Sprint("c", i), Service: "calls", DataCentre: "a", Slots: 6})
		}
		f := newUnevenFleet(seed, w, "calls", 0.6, 1, 1.6)
		f.rate = fleetCalls
		f.work = func() *Work { return &Work{Service: "calls"} }
		return f
	})
}

// checkUsedAlike checks how a fleet is used, and what its callers wait in all seeds
// together, with paces and without.
func checkUsedAlike(t *testing.T, newFleet func(seed uint64) *unevenFleet) {
	t.Helper()
	var waits, unawareWaits time.Duration
	for seed := range uint64(fleetSeeds) {
		f, unaware := newFleet(seed), newFleet(seed)
		unaware.unaware = true
		f.run(fleetLength, idle)
		unaware.run(fleetLength, idle)
		t.Logf("seed %d: busiest %.2f, %.2f without paces; waits %v, %v", seed, f.busiest(), unaware.busiest(), f.wait(0.9), unaware.wait(0.9))
		waits, unawareWaits = waits+f.wait(0.9), unawareWaits+unaware.wait(0.9)
		if got := f.busiest(); got > fleetBusiestMax {
			t.Errorf("seed %d: the busiest upstream is in use for %.2f times as long as the mean", seed, got)
		}
	}
	if waits > unawareWaits {
		t.Errorf("a tenth of the callers wait longer than %v, without paces than %v (sums over the seeds)", waits, unawareWaits)
	}
}

// A slow spell of one engine, and its end, are noticed within a few seconds. An engine gives
// few answers in that time, so the means over the daemons count.
func TestSlowSpellIsNoticed(t *testing.T) {
	const (
		noticed = 1.25 // pace from which an engine counts as slower
		within  = 3 * time.Second
	)
	after := 0.0
	for seed := range uint64(fleetSeeds) {
		f := newUnevenEngines(seed, 1)
		slow := f.engines[7]
		slow.slowFrom = testNow.Add(fleetLength / 2)
		inSpell := 0.0
		f.run(fleetLength/2+fleetSpell+within, func(now time.Time) {
			if now.Sub(slow.slowFrom) == within {
				inSpell = f.meanPace(slow)
			}
		})
		t.Logf("seed %d: pace %.2f in the spell, %.2f after it", seed, inSpell, f.meanPace(slow))
		if inSpell < noticed {
			t.Errorf("seed %d: an engine that is %.1f times slower is taken for %.2f times slower", seed, spellSlow, inSpell)
		}
		after += f.meanPace(slow) / fleetSeeds
	}
	if after >= noticed {
		t.Errorf("engines are still taken for %.2f times slower after their spells", after)
	}
}

// meanPace returns the mean of the paces that the daemons take an engine to have.
func (f *unevenFleet) meanPace(e *unevenEngine) float64 {
	sum := 0.0
	for _, b := range f.daemons {
		sum += b.Paces()[e.upstream.ID]
	}
	return sum / float64(len(f.daemons))
}

// Engines of equal speed are used as without paces: that some have more work before them
// than others doesn't count as their pace.
func TestEqualEnginesAreServedAsBefore(t *testing.T) {
	const tolerance = 1.05
	var waits, unawareWaits time.Duration
	var busiest, unawareBusiest float64
	for seed := range uint64(fleetSeeds) {
		f, unaware := newUnevenEngines(seed, 1), newUnevenEngines(seed, 1)
		unaware.unaware = true
		f.run(fleetLength, idle)
		unaware.run(fleetLength, idle)
		t.Logf("seed %d: busiest %.2f, %.2f without paces; waits %v, %v", seed, f.busiest(), unaware.busiest(), f.wait(0.9), unaware.wait(0.9))
		waits, unawareWaits = waits+f.wait(0.9), unawareWaits+unaware.wait(0.9)
		busiest, unawareBusiest = busiest+f.busiest(), unawareBusiest+unaware.busiest()
	}
	if waits > scale(unawareWaits, tolerance) || busiest > tolerance*unawareBusiest {
		t.Errorf("with paces callers wait %v and the busiest engine is in use for %.2f, without %v and %.2f (sums over the seeds)", waits, busiest, unawareWaits, unawareBusiest)
	}
}
