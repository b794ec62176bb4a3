package balance

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"currantpulley/internal/crossing"
)

// An explanation names the upstream that the next request gets, at every load, and takes
// nothing: it leaves this daemon's work as it was.
func TestExplanationIsTheNextChoice(t *testing.T) {
	b, w := newCrossingTest(4, 4, testPrices)
	observeAnswers(b, w)
	snap := w.Load()
	for i := range 200 {
		work := shortWork(fmt.Sprint("s", i%7))
		if i%3 == 0 {
			work = longWork(fmt.Sprint("s", i%5))
		}
		work.Left = TimeLeft{Whole: 2 * time.Second}
		work.Bytes, work.Hash = 5000, uint64(i)*0x9e3779b97f4a7c15
		before := b.OwnWork(testNow)
		x := b.Explain(snap, work, testNow)
		if after := b.OwnWork(testNow); !maps.Equal(before, after) {
			t.Fatalf("the work changed from %v to %v", before, after)
		}
		p := b.Pick(snap, work, testNow)
		if x.Picked.Upstream != p.Upstream || x.Picked.Late != p.Late || x.Picked.Left != p.Left {
			t.Fatalf("request %d goes to %s, explained was %s", i, p.Upstream.ID, x.Picked.Upstream.ID)
		}
		if len(x.Candidates) != 8 {
			t.Fatalf("%d candidates", len(x.Candidates))
		}
	}
}

// Candidates say why they get nothing and what the crossing costs.
func TestExplanationOfCandidates(t *testing.T) {
	b, w := newCrossingTest(1, 2, testPrices)
	snap := w.Load()
	call := callOf(1)
	closed := snap.UpstreamsOf(testService)[0]
	b.Close(closed.Key(), testNow.Add(time.Second), testNow)
	call.Reached = []string{snap.UpstreamsOf(testService)[1].Address}
	x := b.Explain(snap, call, testNow)
	if x.Picked.Left != crossing.NoneHere {
		t.Errorf("leaves because %v", x.Picked.Left)
	}
	for _, c := range x.Candidates {
		switch c.Upstream {
		case closed:
			if c.Closed != time.Second || c.Crossing != 0 {
				t.Errorf("closed %v, crossing %v", c.Closed, c.Crossing)
			}
		case x.Picked.Upstream:
			if c.Bar != NoBar || c.Crossing != testPrices.Request(call.Bytes) {
				t.Errorf("bar %q, crossing %v", c.Bar, c.Crossing)
			}
		default:
			if c.Bar != Tried {
				t.Errorf("bar %q of the upstream that had the request", c.Bar)
			}
		}
	}
}
