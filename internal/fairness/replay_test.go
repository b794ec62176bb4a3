package fairness

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The load of the replay: 15 workspaces ask for 60 requests a second together, and a 16th
// for five times its usual 15. The engines answer 80.
const (
	replayStep    = 10 * time.Millisecond
	replayTime    = 30 * time.Second
	steadyFrom    = 5 * time.Second             // requests count that arrive from then on
	steadyTo      = replayTime - patience - run // until then
	exchangeEvery = 500 * time.Millisecond
	patience      = 4 * time.Second // callers wait so long for a place
	run           = 500 * time.Millisecond
	slots         = 40
	daemons       = 10
	others        = 15
	otherRate     = 4.0
	hotRate       = 75.0   // five times its usual
	busyRate      = 30.0   // twice its usual
	hot           = others // index of the workspace
	tokens        = 1000
	testService   = "engines"
)

// job is a request in the replay.
type job struct {
	workspace, urgency int
	arrived, endsAt    time.Time
	end                func()
}

// replay is a fleet of daemons in front of a pool of engines which orders what waits by
// urgency.
type replay struct {
	rng     *rand.Rand
	now     time.Time
	tables  []*Table
	lost    func(from, to int) bool // whether a state is lost
	claims  func(from int) []Use    // replaces what a daemon tells; nil result: the truth
	plain   bool                    // shares aren't used
	rate    float64                 // requests a second of the hot workspace
	running []*job
	waiting []*job
	asked   [others + 1]int
	served  [others + 1]int
	waits   [others + 1]time.Duration
	idle    int // places that were free while something waited
}

func newReplay(seed uint64) *replay {
	r := &replay{
		rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(0, 0), rate: hotRate,
		lost: func(int, int) bool { return false }, claims: func(int) []Use { return nil },
	}
	for range daemons {
		r.tables = append(r.tables, New(func(uint32) float64 { return 10 * slots * tokens }))
	}
	return r
}

// play runs the load and returns the replay.
func (r *replay) play() *replay {
	for i := range int(replayTime / replayStep) {
		r.now = r.now.Add(replayStep)
		r.finish()
		for w := range others {
			r.arrive(w, otherRate)
		}
		r.arrive(hot, r.rate)
		r.admit()
		if i%int(exchangeEvery/replayStep) == 0 {
			r.exchange()
		}
	}
	return r
}

// steady reports whether requests that arrive at a time count.
func (r *replay) steady(at time.Time) bool {
	since := at.Sub(time.Unix(0, 0))
	return since >= steadyFrom && since <= steadyTo
}

// finish ends the jobs whose time has come, and those whose callers have left.
func (r *replay) finish() {
	r.running = slices.DeleteFunc(r.running, func(j *job) bool {
		if r.now.Before(j.endsAt) {
			return false
		}
		j.end()
		if r.steady(j.arrived) {
			r.served[j.workspace]++
			r.waits[j.workspace] += r.now.Add(-run).Sub(j.arrived)
		}
		return true
	})
	r.waiting = slices.DeleteFunc(r.waiting, func(j *job) bool {
		if r.now.Sub(j.arrived) <= patience {
			return false
		}
		j.end()
		return true
	})
}

// arrive lets requests of a workspace come to random daemons.
func (r *replay) arrive(workspace int, rate float64) {
	if r.rng.Float64() >= rate*replayStep.Seconds() {
		return
	}
	if r.steady(r.now) {
		r.asked[workspace]++
	}
	t := r.tables[r.rng.IntN(daemons)]
	flow := NewFlow(testService, fmt.Sprint(workspace))
	j := &job{workspace: workspace, arrived: r.now, end: t.Begin(flow, tokens)}
	if !r.plain && t.Place(flow, 0, r.rng.Uint64(), r.now).Behind {
		j.urgency = 1
	}
	before := 0
	for _, other := range r.waiting {
		if other.urgency <= j.urgency {
			before++
		}
	}
	ahead := time.Duration(before) * run / slots
	if ahead > patience {
		j.end() // refused at once
		return
	}
	t.Observe(flow.Service, 0, ahead, run, r.now)
	r.waiting = append(r.waiting, j)
}

// admit starts the most urgent jobs that wait, the oldest first.
func (r *replay) admit() {
	slices.SortStableFunc(r.waiting, func(a, b *job) int { return a.urgency - b.urgency })
	for len(r.running) < slots && len(r.waiting) > 0 {
		j := r.waiting[0]
		r.waiting = r.waiting[1:]
		j.endsAt = r.now.Add(run)
		r.running = append(r.running, j)
	}
	if len(r.waiting) > 0 {
		r.idle += slots - len(r.running)
	}
}

// exchange lets each pair of daemons tell each other their work.
func (r *replay) exchange() {
	for from, t := range r.tables {
		uses := t.Own()
		if claim := r.claims(from); claim != nil {
			uses = claim
		}
		for to, other := range r.tables {
			if from != to && !r.lost(from, to) {
				other.SetPeer(fmt.Sprint(from), uses, r.now, r.now.Add(4*exchangeEvery))
			}
		}
	}
}

// servedOfOthers returns the share of the requests of all workspaces but the hot one that
// was served, and the share of the worst served.
func (r *replay) servedOfOthers() (all, worst float64) {
	asked, served := 0, 0
	worst = 1
	for w := range others {
		asked += r.asked[w]
		served += r.served[w]
		worst = min(worst, float64(r.served[w])/float64(r.asked[w]))
	}
	return float64(served) / float64(asked), worst
}

// meanWait returns the mean wait of the others' requests that began.
func (r *replay) meanWait() time.Duration {
	sum, n := time.Duration(0), 0
	for w := range others {
		sum += r.waits[w]
		n += r.served[w]
	}
	return sum / time.Duration(max(1, n))
}

// hotPerSecond returns the requests a second that the hot workspace was served.
func (r *replay) hotPerSecond() float64 {
	return float64(r.served[hot]) / (steadyTo - steadyFrom).Seconds()
}

// capacityLeft is what the engines have left when the others are served in full.
const capacityLeft = slots/0.5 - others*otherRate

// A workspace at five times its usual must not delay 15 others that are within their
// shares; it gets the room that they leave, and no place stays free while requests wait.
func TestOneWorkspaceAtFiveTimesItsUsual(t *testing.T) {
	for seed := range uint64(5) {
		plain := newReplay(seed)
		plain.plain = true
		plain.play()
		r := newReplay(seed).play()
		all, worst := r.servedOfOthers()
		before, _ := plain.servedOfOthers()
		t.Logf("seed %d: others served %.3f (%.3f without shares), worst %.3f, wait %v (%v), the hot one %.1f/s (%.1f)",
			seed, all, before, worst, r.meanWait(), plain.meanWait(), r.hotPerSecond(), plain.hotPerSecond())
		r.check(t)
		if r.meanWait() > plain.meanWait()/2 {
			t.Errorf("seed %d: the others wait %v, %v without shares", seed, r.meanWait(), plain.meanWait())
		}
	}
}

// At twice its usual the engines are hardly short of room: the workspace's own requests
// wait, not those of the others.
func TestOneWorkspaceAtTwiceItsUsual(t *testing.T) {
	for seed := range uint64(5) {
		plain, r := newReplay(seed), newReplay(seed)
		plain.plain = true
		plain.rate, r.rate = busyRate, busyRate
		plain.play()
		r.play().check(t)
		t.Logf("seed %d: others wait %v (%v without shares)", seed, r.meanWait(), plain.meanWait())
		if r.meanWait() > plain.meanWait()/4 {
			t.Errorf("seed %d: the others wait %v, %v without shares", seed, r.meanWait(), plain.meanWait())
		}
	}
}

// check checks that the others are served, the hot workspace doesn't starve, and room
// isn't left unused.
func (r *replay) check(t *testing.T) {
	t.Helper()
	if all, worst := r.servedOfOthers(); all < 0.98 || worst < 0.95 {
		t.Errorf("the others got %.3f of their requests, the worst served %.3f", all, worst)
	}
	if got := r.hotPerSecond(); got < 0.8*capacityLeft {
		t.Errorf("the hot workspace got %.1f requests a second, the others leave %.1f", got, capacityLeft)
	}
	if r.idle > 0 {
		t.Errorf("%d places were free while requests waited", r.idle)
	}
}

// The states of half of the daemons are lost: shares come from the counts of the others.
func TestSharesWhenStatesAreLost(t *testing.T) {
	r := newReplay(1)
	r.lost = func(from, to int) bool { return from < daemons/2 }
	r.play().check(t)
}

// A daemon that reaches no other judges by its own requests.
func TestSharesWithoutContact(t *testing.T) {
	r := newReplay(1)
	r.lost = func(from, to int) bool { return from == 0 || to == 0 }
	r.play().check(t)
}

// A daemon claims work of a workspace that it doesn't have: more than can be isn't
// believed, and what is believed costs that workspace a step and no service.
func TestDaemonThatClaimsFalseWork(t *testing.T) {
	flow := NewFlow(testService, "3")
	for _, claim := range []uint32{1 << 31, 5 * slots * tokens} {
		r := newReplay(1)
		r.claims = func(from int) []Use {
			if from != 0 {
				return nil
			}
			return []Use{{flow, claim}}
		}
		r.play().check(t)
	}
}
