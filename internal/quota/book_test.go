package quota

import (
	"errors"
	"math"
	"testing"
	"time"
)

// newTestBook returns the book of the only daemon, at the instant at which its bucket
// has been filling for a long time.
func newTestBook(q Quota) (*Book, time.Time) {
	now := time.Unix(1000, 0)
	b := NewBook(Tolerance{})
	b.SetQuotas(map[ID]Quota{simID: q}, now)
	b.SetPart(1, now)
	return b, now.Add(time.Minute)
}

// A caller that comes back when it was told to is served, if nobody else asks.
func TestWaitIsRight(t *testing.T) {
	b, now := newTestBook(Quota{Rate: 100, Burst: 100})
	b.TakeAll(simID, now)
	_, wait, ok := b.Take(simID, 20, now)
	if ok || wait < 190*time.Millisecond || wait > 210*time.Millisecond {
		t.Fatalf("granted %t, wait %v", ok, wait)
	}
	if _, _, ok := b.Take(simID, 20, now.Add(wait-10*time.Millisecond)); ok {
		t.Error("granted before the wait was over")
	}
	if _, _, ok := b.Take(simID, 20, now.Add(wait+time.Millisecond)); !ok {
		t.Error("refused after the wait")
	}
}

// A lowered quota clips what is held at once, a raised one fills nothing, and another
// unit empties the bucket.
func TestChangedQuota(t *testing.T) {
	before := Quota{Rate: 1000, Burst: 1000}
	for name, tc := range map[string]struct {
		after    Quota
		from, to float64 // tokens held right after
	}{
		"lowered":      {Quota{Rate: 100, Burst: 100}, 100, 180},
		"raised":       {Quota{Rate: 5000, Burst: 5000}, 1000, 1800},
		"another unit": {Quota{Rate: 1000, Burst: 1000, Unit: Tokens}, 0, 0},
		"closed":       {Quota{Closed: true}, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			b, now := newTestBook(before)
			b.SetQuotas(map[ID]Quota{simID: tc.after}, now)
			if held := Sum(b.TakeAll(simID, now)); held < tc.from || held > tc.to {
				t.Errorf("holds %.0f tokens, expected %.0f to %.0f", held, tc.from, tc.to)
			}
		})
	}
}

// A request above the burst passes, and the next one only when its debt is paid.
func TestLargeRequestPasses(t *testing.T) {
	b, now := newTestBook(Quota{Rate: 100, Burst: 100})
	if _, _, ok := b.Take(simID, 1000, now); !ok {
		t.Fatal("a full bucket refuses a large request")
	}
	if _, wait, ok := b.Take(simID, 1, now.Add(7*time.Second)); ok || wait < time.Second {
		t.Errorf("granted %t, wait %v, expected a refusal until the debt is paid", ok, wait)
	}
	if _, _, ok := b.Take(simID, 1, now.Add(9*time.Second)); !ok {
		t.Error("refused after the debt was paid")
	}
}

// Claims of other daemons that can't be are dropped.
func TestClaimsThatCantBe(t *testing.T) {
	b, now := newTestBook(Quota{Rate: 100, Burst: 100})
	b.TakeAll(simID, now)
	for name, lot := range map[string]Lot{
		"negative": {Amount: -1}, "not a number": {Amount: math.NaN()}, "infinite": {Amount: math.Inf(1)},
		"more than all daemons mint": {Amount: 200}, "from the future": {Age: -time.Second, Amount: 1},
	} {
		if err := b.Put(simID, []Lot{lot}, 0, now); !errors.Is(err, ErrClaim) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if err := b.Put(simID+1, nil, 0, now); !errors.Is(err, ErrUnknown) {
		t.Error(err)
	}
	if held := Sum(b.TakeAll(simID, now)); held != 0 {
		t.Errorf("holds %g tokens of false claims", held)
	}
	var s Share
	if s.Learn("vm", -1, now) || s.Learn("vm", 1<<30, now) {
		t.Error("an absurd number of daemons is believed")
	}
}

// Tokens live longer where operators tolerate more, and all that live at the start of a
// window fit into what they tolerate.
func TestLifeFollowsTheTolerance(t *testing.T) {
	tolerance := Tolerance{Window: 8 * time.Second, Overage: 0.1, Slack: 110_000}
	last := time.Hour
	for _, rate := range []float64{10, 29_000, 108_000, 700_000, 1e9} {
		q := Quota{Rate: rate, Burst: rate, Unit: Tokens}
		life := tolerance.life(q)
		if life > last {
			t.Errorf("%v: tokens live for %v, longer than those of a lower rate", q, life)
		}
		last = life
		taken := rate * (tolerance.Window + life).Seconds()
		if most := (rate*tolerance.Window.Seconds()+q.Burst)*(1+tolerance.Overage) + tolerance.Slack; taken > most {
			t.Errorf("%v: %g are taken in a window, %g are tolerated", q, taken, most)
		}
	}
}

// Load that it answers: all daemons were killed and start again together. What nobody
// minted until they know how many they are is there at once, and no more than that.
func TestFirstPartCountsFromTheStart(t *testing.T) {
	const rate, part = 1000.0, 0.25
	now := time.Unix(100, 0)
	b := NewBook(Tolerance{})
	b.SetQuotas(map[ID]Quota{simID: {Rate: rate, Burst: 2 * rate, Unit: Tokens}}, now)
	now = now.Add(time.Second)
	b.SetPart(0, now)
	if got := Sum(b.TakeAll(simID, now)); got != 0 {
		t.Errorf("%g tokens without a part", got)
	}
	now = now.Add(time.Second)
	b.SetPart(part, now)
	if got := Sum(b.TakeAll(simID, now)); math.Abs(got-2*part*rate) > 1 {
		t.Errorf("%g tokens 2 s after the start, want %g", got, 2*part*rate)
	}
	now = now.Add(time.Second)
	b.SetPart(0, now) // out of contact
	now = now.Add(time.Second)
	b.SetPart(part, now)
	if got := Sum(b.TakeAll(simID, now)); math.Abs(got-part*rate) > 1 {
		t.Errorf("%g tokens after a second with a part and one without, want %g", got, part*rate)
	}
}
