package quarantine

import (
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var start = time.Unix(1_000_000, 0)

// at returns the time after the given number of seconds.
func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// Parts of the tests, by their names.
const (
	template Part = iota + 1
	other
	site
	harmful
	sound
)

// waited is the time from the send of a request until its upstream ends.
const waited = 50 * time.Millisecond

// step is what happens at a time: an upstream ends before the response to a request
// with the parts began, or, without an upstream, such a response begins.
type step struct {
	seconds  float64
	upstream uint32
	parts    []Part
}

func apply(t *Table, steps []step) {
	for _, s := range steps {
		if s.upstream == 0 {
			t.Began(s.parts, at(s.seconds))
			continue
		}
		t.Crashed(s.upstream, s.parts, at(s.seconds).Add(-waited), at(s.seconds))
	}
}

// The part that crashes upstreams must be found among those that it comes with.
func TestVerdicts(t *testing.T) {
	for name, tc := range map[string]struct {
		steps []step
		want  map[Part]Verdict
	}{
		"one crash": {
			[]step{{0, 1, []Part{template, harmful}}}, map[Part]Verdict{},
		},
		"two crashes": {
			[]step{{0, 1, []Part{template, harmful}}, {1, 2, []Part{other, harmful}}}, map[Part]Verdict{harmful: Suspected},
		},
		"a part under several templates": {
			[]step{{0, 1, []Part{template, harmful}}, {1, 2, []Part{other, harmful}}, {2, 3, []Part{template, harmful}}},
			map[Part]Verdict{harmful: Quarantined},
		},
		"always under one template, which nobody else uses": {
			[]step{{0, 1, []Part{template, harmful}}, {1, 2, []Part{template, harmful}}, {2, 3, []Part{template, harmful}}},
			map[Part]Verdict{harmful: Quarantined},
		},
		"the template itself": {
			[]step{{0, 1, []Part{template, harmful}}, {1, 2, []Part{template, site}}, {2, 3, []Part{template, sound}}},
			map[Part]Verdict{template: Quarantined},
		},
		"two parts": {
			[]step{
				{0, 1, []Part{template, harmful}}, {1, 2, []Part{template, site}}, {2, 3, []Part{template, harmful}},
				{3, 4, []Part{template, site}}, {4, 5, []Part{template, harmful}}, {4.5, 0, []Part{template, sound}}, {5, 6, []Part{template, site}},
			},
			map[Part]Verdict{harmful: Quarantined, site: Quarantined},
		},
		"upstreams that end at the same time": {
			[]step{{0, 1, []Part{template}}, {0.01, 2, []Part{template}}, {0.02, 3, []Part{template}}, {0.03, 4, []Part{template}}},
			map[Part]Verdict{},
		},
		"one after the other in a short time": {
			[]step{{0, 1, []Part{template}}, {0.06, 2, []Part{template}}, {0.12, 3, []Part{template}}},
			map[Part]Verdict{template: Quarantined},
		},
		"a response began": {
			[]step{{0, 1, []Part{template}}, {1, 2, []Part{template}}, {1.5, 0, []Part{template, sound}}, {2, 3, []Part{template}}},
			map[Part]Verdict{},
		},
		"a response began after the verdict": {
			[]step{{0, 1, []Part{template}}, {1, 2, []Part{template}}, {2, 3, []Part{template}}, {2.5, 0, []Part{template}}},
			map[Part]Verdict{},
		},
		"an upstream seen to end twice": {
			[]step{{0, 1, []Part{template}}, {1, 1, []Part{template}}, {2, 1, []Part{template}}},
			map[Part]Verdict{},
		},
		"bystanders": {
			[]step{
				{0, 1, []Part{template, harmful}}, {0, 1, []Part{template, sound}}, {1, 2, []Part{other, harmful}}, {1, 2, []Part{other, sound}},
				{2, 3, []Part{other, harmful}},
			},
			map[Part]Verdict{harmful: Quarantined},
		},
	} {
		t.Run(name, func(t *testing.T) {
			table := New(Options{})
			apply(table, tc.steps)
			for p := template; p <= sound; p++ {
				if got := table.verdicts[p]; got != tc.want[p] {
					t.Errorf("part %d is %s, want %s", p, got, tc.want[p])
				}
			}
		})
	}
}

// crashesOf returns n crashes of requests with the part, one a second.
func crashesOf(p Part, n int) []step {
	var steps []step
	for i := range n {
		steps = append(steps, step{float64(i), uint32(i + 1), []Part{p}})
	}
	return steps
}

// Requests with a suspected part must be sent once, with a quarantined one not at all,
// all others always.
func TestCheck(t *testing.T) {
	for _, tc := range []struct {
		crashes       int
		first, repeat bool // are held back
	}{{1, false, false}, {2, false, true}, {3, true, true}} {
		table := New(Options{})
		apply(table, crashesOf(harmful, tc.crashes))
		now := at(float64(tc.crashes))
		if got := table.Check([]Part{template, harmful}, false, now) != nil; got != tc.first {
			t.Errorf("%d crashes: a first send is held back: %t", tc.crashes, got)
		}
		if got := table.Check([]Part{template, harmful}, true, now) != nil; got != tc.repeat {
			t.Errorf("%d crashes: a repeat is held back: %t", tc.crashes, got)
		}
		if table.Check([]Part{template, sound}, true, now) != nil {
			t.Errorf("%d crashes: a sound request is held back", tc.crashes)
		}
	}
}

// A wrong verdict must be found out with few requests: one at a time, on one daemon,
// and the rarer the more upstreams ended.
func TestTrials(t *testing.T) {
	turn := true
	table := New(Options{Turn: func(Part, int64) bool { return turn }})
	apply(table, crashesOf(harmful, quarantineCrashes))
	last := float64(quarantineCrashes - 1)
	parts := []Part{harmful}
	letsThrough := func(seconds float64) bool { return table.Check(parts, false, at(seconds)) == nil }
	if letsThrough(last + 19) {
		t.Error("let through before the wait is over")
	}
	if turn = false; letsThrough(last + 21) {
		t.Error("let through although it is another daemon's turn")
	}
	if turn = true; !letsThrough(last + 21) {
		t.Error("not let through")
	}
	if letsThrough(last + 22) {
		t.Error("a second one was let through")
	}
	if table.Check(parts, true, at(last+40)) == nil {
		t.Error("a repeat was let through")
	}
	table.Crashed(99, parts, at(last+23), at(last+23))
	if letsThrough(last+23+79) || !letsThrough(last+23+81) {
		t.Error("the wait did not grow to four times its length")
	}
	table.Began(parts, at(last+110))
	for range 2 {
		if !letsThrough(last + 110) {
			t.Error("held back after a response began")
		}
	}
}

// Of a part that does crash upstreams, no more than three requests may be let through
// within ten minutes of the fifth crash.
func TestTrialsOfAHarmfulPart(t *testing.T) {
	table := New(Options{})
	apply(table, crashesOf(harmful, 5))
	sent := 0
	for seconds := 4.0; seconds < 604; seconds += 0.1 {
		if table.Check([]Part{harmful}, false, at(seconds)) == nil {
			sent++
			table.Crashed(uint32(100+sent), []Part{harmful}, at(seconds), at(seconds))
		}
	}
	if sent == 0 || sent > 3 {
		t.Errorf("%d requests let through, want 1 to 3", sent)
	}
}

// Evidence of parts that nobody asks for must expire, and the memory be bounded
// whatever parts callers choose.
func TestMemoryIsBounded(t *testing.T) {
	table := New(Options{})
	apply(table, crashesOf(harmful, quarantineCrashes))
	for n := range 4 * maxParts {
		table.Crashed(uint32(1000+n), []Part{Part(1000 + n)}, at(3+float64(n)/100), at(3+float64(n)/100))
	}
	if n := len(table.records); n > maxParts {
		t.Errorf("%d parts are kept, at most %d may be", n, maxParts)
	}
	if table.Quarantined() != 1 {
		t.Error("the quarantined part was dropped")
	}
	for n := range 3 * maxCrashes {
		table.Crashed(uint32(9000+n), []Part{harmful}, at(20+float64(n)), at(20+float64(n)))
	}
	if n := len(table.records[harmful].crashes); n > maxCrashes {
		t.Errorf("%d crashes of a part are kept, at most %d may be", n, maxCrashes)
	}
	table.Crashed(1, []Part{sound}, at(100).Add(2*idleMax), at(100).Add(2*idleMax))
	if n := len(table.records); n != 1 {
		t.Errorf("%d parts are kept after %v without crashes and requests, want 1", n, 2*idleMax)
	}
}

// Daemons that hear the same evidence in any order and repeatedly must come to the
// same verdict as one that has seen it all.
func TestMergeOrder(t *testing.T) {
	properties := gopter.NewProperties(&gopter.TestParameters{MinSuccessfulTests: 200, Rng: gopter.DefaultTestParametersWithSeed(7).Rng, MaxSize: 30, Workers: 1})
	properties.Property("same verdicts", prop.ForAll(func(order []int) bool {
		var said []Suspect
		var seconds float64 // of the current step
		origin := New(Options{Announce: func(s Suspect) { said = append(said, s.Older(at(1).Sub(at(seconds)))) }})
		for _, s := range []step{
			{0, 1, []Part{template, harmful}}, {0.3, 2, []Part{other, harmful}}, {0.4, 0, []Part{other, sound}}, {0.6, 3, []Part{template, harmful}},
			{0.7, 4, []Part{template, site}}, {0.8, 0, []Part{template, sound}}, {1, 5, []Part{other, harmful}},
		} {
			seconds = s.seconds
			apply(origin, []step{s})
		}
		heard := New(Options{})
		for _, n := range order {
			heard.Merge(said[n%len(said)], at(1))
		}
		for _, s := range said {
			heard.Merge(s, at(1))
		}
		for p := template; p <= sound; p++ {
			if origin.verdicts[p] != heard.verdicts[p] {
				return false
			}
		}
		return heard.verdicts[harmful] == Quarantined
	}, gen.SliceOf(gen.IntRange(0, 50))))
	properties.TestingRun(t)
}

// A daemon that starts later must learn every quarantined part from what the others
// share.
func TestShareGoesRound(t *testing.T) {
	table, late := New(Options{}), New(Options{})
	parts := []Part{10, 20, 30}
	for i, p := range parts {
		for n := range quarantineCrashes {
			table.Crashed(uint32(100*i+n), []Part{p}, at(float64(n)+float64(i)*10), at(float64(n)+float64(i)*10))
		}
	}
	for range parts {
		s, ok := table.Share(at(40))
		if !ok {
			t.Fatal("nothing is shared")
		}
		late.Merge(s, at(40))
	}
	for _, p := range parts {
		if late.verdicts[p] != Quarantined {
			t.Errorf("part %d is %s", p, late.verdicts[p])
		}
	}
	if _, ok := New(Options{}).Share(at(0)); ok {
		t.Error("an empty table shares something")
	}
}

// Changes of verdicts must be reported once.
func TestOnVerdict(t *testing.T) {
	var got []Verdict
	table := New(Options{OnVerdict: func(_ Part, v Verdict, _ int) { got = append(got, v) }})
	apply(table, crashesOf(harmful, quarantineCrashes+1))
	table.Began([]Part{harmful}, at(10))
	if want := []Verdict{Suspected, Quarantined, Sound}; !slices.Equal(got, want) {
		t.Errorf("reported %v, want %v", got, want)
	}
}

// A part that nobody asked for must be free at the next request, and must not be shared
// any more, so that daemons don't keep telling each other.
func TestEvidenceExpires(t *testing.T) {
	var verdicts []Verdict
	table := New(Options{OnVerdict: func(_ Part, v Verdict, _ int) { verdicts = append(verdicts, v) }})
	apply(table, crashesOf(harmful, maxCrashes))
	last := at(maxCrashes)
	if _, ok := table.Share(last.Add(idleMax * 2 / 3)); ok {
		t.Error("evidence that is about to expire is shared")
	}
	if table.Check([]Part{harmful}, false, last.Add(idleMax/2)) == nil {
		t.Error("a request is let through too early")
	}
	if h := table.Check([]Part{harmful}, true, last.Add(idleMax/2+idleMax+time.Second)); h != nil {
		t.Errorf("held back after %v without requests: %+v", idleMax, h)
	}
	if want := []Verdict{Suspected, Quarantined, Sound}; !slices.Equal(verdicts, want) {
		t.Errorf("verdicts %v, want %v", verdicts, want)
	}
}

// Guards against a popular part that is held back for an hour because all upstreams
// ended at once, and two more later, before a response with it began.
func TestManyUpstreamsThatEndAtOnceDelayNoTrial(t *testing.T) {
	table := New(Options{})
	for n := range uint32(maxCrashes) {
		table.Crashed(n, []Part{template}, at(-1), at(0))
	}
	apply(table, []step{{5, 100, []Part{template}}, {10, 101, []Part{template}}})
	if table.verdicts[template] != Quarantined {
		t.Fatal("not quarantined")
	}
	if h := table.Check([]Part{template}, false, at(10).Add(trialWait+time.Second)); h != nil {
		t.Errorf("held back %v after the last crash, for another %v", trialWait, h.RetryAfter)
	}
}
