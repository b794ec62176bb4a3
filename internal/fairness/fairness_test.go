package fairness

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const testRoom = 100_000

func testTable() *Table { return New(func(uint32) float64 { return testRoom }) }

// short makes the table see a wait that is three times as long as the service.
func short(t *Table, now time.Time) {
	t.Observe(ServiceID(testService), 0, 3*time.Second, time.Second, now)
}

// placedWithin returns the part of many requests that keeps its rank.
func placedWithin(t *Table, f Flow, now time.Time) float64 {
	rng, within := rand.New(rand.NewPCG(1, 2)), 0
	for range 1000 {
		if !t.Place(f, 0, rng.Uint64(), now).Behind {
			within++
		}
	}
	return float64(within) / 1000
}

// Nothing changes while requests don't wait, where one workspace is alone, and once the
// latest wait is long past.
func TestNobodyGoesBehindWithoutNeed(t *testing.T) {
	now := time.Unix(10, 0)
	a, b := NewFlow(testService, "a"), NewFlow(testService, "b")
	table := testTable()
	table.Begin(a, 9000)
	short(table, now)
	if got := placedWithin(table, a, now); got != 1 {
		t.Errorf("alone: %.3f of the requests keep their rank", got)
	}
	table.Begin(b, 1000)
	if got := placedWithin(table, a, now); got == 1 {
		t.Error("beside another one all requests keep their rank")
	}
	if got := placedWithin(table, b, now); got != 1 {
		t.Errorf("within its share %.3f keep their rank", got)
	}
	if got := placedWithin(table, a, now.Add(waitMaxAge+1)); got != 1 {
		t.Errorf("after a while %.3f keep their rank", got)
	}
	calm := testTable()
	calm.Begin(a, 9000)
	calm.Begin(b, 1000)
	calm.Observe(a.Service, 0, 100*time.Millisecond, 2*time.Second, now)
	if got := placedWithin(calm, a, now); got != 1 {
		t.Errorf("with room %.3f keep their rank", got)
	}
}

// The part of a workspace's requests that keeps its rank is its share of what it asks.
func TestPartWithinTheShare(t *testing.T) {
	now := time.Unix(10, 0)
	table := testTable()
	hot, medium := NewFlow(testService, "hot"), NewFlow(testService, "medium")
	end := table.Begin(hot, 16_000)
	table.Begin(medium, 1000)
	table.Begin(NewFlow(testService, "small"), 1000)
	table.SetPeer("other", []Use{{medium, 1000}}, now, now.Add(time.Second))
	short(table, now) // room for 5,000 of 19,000; an equal part is 6,333
	if got := placedWithin(table, hot, now); math.Abs(got-6333.0/16_000) > 0.05 {
		t.Errorf("%.3f of the hot workspace's requests keep their rank, not 0.396", got)
	}
	if got := placedWithin(table, medium, now); got != 1 {
		t.Errorf("%.3f of the medium workspace's requests keep their rank", got)
	}
	end()
	end() // counts once
	if got := len(table.Own()); got != 2 {
		t.Errorf("%d workspaces in use, not 2", got)
	}
}

// The division uses all room, and gives nobody more than it asks.
func TestDivisionUsesAllRoom(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	for range 1000 {
		asked, sum := make([]float64, 1+rng.IntN(20)), 0.0
		for i := range asked {
			asked[i] = 1 + float64(rng.Int64N(1<<rng.IntN(20)))
			sum += asked[i]
		}
		slices.Sort(asked)
		room := rng.Float64() * sum
		l, given := divide(asked, room), 0.0
		for _, tokens := range asked {
			given += min(l, tokens)
		}
		if math.Abs(given-room) > 1e-6*sum {
			t.Fatalf("of %v with room for %.1f, %.1f are given", asked, room, given)
		}
	}
}

// What a daemon told ends with its time, with its next state, and is kept when the next
// one can't be.
func TestPeersThatAreSilentOrWrong(t *testing.T) {
	now := time.Unix(10, 0)
	table := testTable()
	f := NewFlow(testService, "a")
	table.Begin(f, testRoom) // so much that all of what the other daemon tells counts
	asked := func(now time.Time) float64 {
		table.expire(now)
		return table.asked(f.Service)[f.Workspace] - testRoom
	}
	until := now.Add(time.Second)
	table.SetPeer("p", []Use{{f, 500}}, now, until)
	table.SetPeer("p", []Use{{f, 700}}, now, until)
	if got := asked(now); got != 700 {
		t.Errorf("%.0f tokens after two states, not 700", got)
	}
	if table.SetPeer("p", []Use{{f, maxQueued*testRoom + 1}}, now, now.Add(time.Hour)) {
		t.Error("a claim of more than could wait was believed")
	}
	if got := asked(now); got != 700 {
		t.Errorf("%.0f tokens after a wrong state, not 700", got)
	}
	if got := asked(until.Add(expirePeriod)); got != 0 {
		t.Errorf("%.0f tokens of a silent daemon", got)
	}
	table.SetPeer("p", []Use{{f, 700}}, now, until)
	if table.SetPeer("p", nil, now, until); asked(now) != 0 {
		t.Error("a daemon without work still counts")
	}
	end := table.Begin(NewFlow(testService, "b"), 10)
	defer end()
	table.SetPeer("p", []Use{{NewFlow(testService, "b"), 5000}}, now, until)
	if got := table.asked(f.Service)[NewFlow(testService, "b").Workspace]; got != 20 {
		t.Errorf("%.0f tokens where one daemon tells 5,000 and the others have 10", got)
	}
}

// A state holds at most MaxUses workspaces, the largest.
func TestOwnIsBounded(t *testing.T) {
	table := testTable()
	for i := range 2 * MaxUses {
		table.Begin(Flow{1, uint32(i)}, 1+i)
	}
	own := table.Own()
	if len(own) != MaxUses || own[0].Tokens != 2*MaxUses {
		t.Errorf("%d workspaces, the first with %d tokens", len(own), own[0].Tokens)
	}
}

// Waits that make no sense are left out.
func TestImpossibleWaits(t *testing.T) {
	table, now := testTable(), time.Unix(10, 0)
	table.Observe(1, 0, -time.Second, time.Second, now)
	table.Observe(1, 0, 0, 0, now)
	if len(table.waits) != 0 {
		t.Error("a wait was recorded")
	}
	table.Observe(1, 0, time.Second, time.Second, now)
	table.Observe(1, 0, time.Second, 0, now.Add(-time.Minute)) // the clock jumps back
	if got := table.waits[rank{1, 0}].part(); got < 0 || got > 1 {
		t.Errorf("the part is %v", got)
	}
}
