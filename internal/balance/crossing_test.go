package balance

import (
	"fmt"
	"testing"
	"time"

	"currantpulley/internal/catalog"
	"currantpulley/internal/crossing"
)

// testPrices make 10 KB cost 6 ms.
var testPrices = crossing.Prices{RoundTrip: time.Millisecond, PerMB: 500 * time.Millisecond, PerCacheGB: 10 * time.Millisecond}

// newCrossingTest returns a balancer in data centre a, and engines in a and in b.
func newCrossingTest(inA, inB int, prices crossing.Prices) (*Balancer, *catalog.Watcher) {
	w := catalog.NewWatcher()
	for i := range inA + inB {
		u := &catalog.Upstream{
			ID: fmt.Sprintf("e%02d", i), Service: testService, Address: fmt.Sprintf("10.0.0.%d:80", i), DataCentre: "a",
			Slots: 64, Weights: map[string]uint64{testModel: 1},
		}
		if i >= inA {
			u.DataCentre = "b"
		}
		w.PutUpstream(u)
	}
	return New(Options{DataCentre: "a", Crossing: prices}), w
}

// crossed returns how many of n requests leave the data centre, by reason. They are all
// under way at once.
func crossed(b *Balancer, w *catalog.Watcher, n int, work func(i int) *Work) map[crossing.Reason]int {
	out := make(map[crossing.Reason]int)
	snap := w.Load()
	for i := range n {
		out[b.Pick(snap, work(i), testNow).Left]++
	}
	return out
}

func callOf(i int) *Work {
	return &Work{Service: testService, Bytes: 1000, Hash: uint64(i) * 0x9e3779b97f4a7c15}
}

// A data centre that loses its servers sends all of its requests elsewhere.
func TestAllLeaveADataCentreWithoutServers(t *testing.T) {
	b, w := newCrossingTest(0, 4, testPrices)
	if got := crossed(b, w, 40, callOf); got[crossing.NoneHere] != 40 {
		t.Errorf("left by reason: %v", got)
	}
	b, w = newCrossingTest(2, 4, testPrices)
	for _, u := range w.Load().UpstreamsOf(testService) {
		if u.DataCentre == "a" {
			b.Close(u.Key(), testNow.Add(time.Second), testNow)
		}
	}
	if got := crossed(b, w, 40, callOf); got[crossing.NoneHere] != 40 {
		t.Errorf("left by reason while the servers are closed: %v", got)
	}
}

// A data centre that is short of servers sends a part of its calls away; beside many
// neighbours, whose sends it doesn't see yet, a daemon sends a smaller part.
func TestFewerLeaveBesideManyNeighbours(t *testing.T) {
	left := func(neighbours int, prices crossing.Prices) int {
		b, w := newCrossingTest(1, 12, prices)
		b.UseNeighbours(func() (int, time.Duration) { return neighbours, time.Second })
		return crossed(b, w, 300, callOf)[crossing.Wait]
	}
	alone, many, unpriced := left(1, testPrices), left(100, testPrices), left(100, crossing.Prices{})
	if alone < 150 || many > alone/2 || many == 0 {
		t.Errorf("%d of 300 calls leave alone, %d beside 99 neighbours", alone, many)
	}
	if unpriced < 150 {
		t.Errorf("%d of 300 calls leave where no prices are set", unpriced)
	}
}

// Long shared parts have one owner for all data centres, parts that are read sooner than a
// request crosses have one in each.
func TestOwnersOfLongAndShortParts(t *testing.T) {
	b, w := newCrossingTest(6, 6, testPrices)
	observeAnswers(b, w)
	long, short := 0, 0
	for i := range 60 {
		lw, sw := longWork(fmt.Sprint("s", i)), shortWork(fmt.Sprint("s", i))
		lw.Bytes, sw.Bytes = 10_000, 20_000 // a note that carries much
		if b.ownedNear(lw, w.Load().UpstreamsOf(testService)) {
			long++
		}
		if b.ownedNear(sw, w.Load().UpstreamsOf(testService)) {
			short++
		}
	}
	if long != 0 || short != 60 {
		t.Errorf("%d of 60 long and %d of 60 short parts have an owner in each data centre", long, short)
	}
	if none := New(Options{DataCentre: "a"}); none.ownedNear(shortWork("s"), w.Load().UpstreamsOf(testService)) {
		t.Error("without prices owners are chosen near")
	}
}

// Cache entries that cross cost their size.
func TestCacheEntriesThatCrossCost(t *testing.T) {
	b, w := newCrossingTest(1, 1, testPrices)
	w.SetConfig(&catalog.Config{Services: map[string]*catalog.Service{
		testService: {Name: testService, Engine: &catalog.Engine{TokenBytes: 300_000}},
	}})
	snap := w.Load()
	all := snap.UpstreamsOf(testService)
	r := reuse{fetched: 1000, from: all[1].Address}
	if got := b.cacheCrossingCost(snap, longWork("s"), all[0], r); got != 3*time.Millisecond {
		t.Errorf("0.3 GB cost %v, want 3ms", got)
	}
	r.from = all[0].Address
	if got := b.cacheCrossingCost(snap, longWork("s"), all[0], r); got != 0 {
		t.Errorf("entries of the same data centre cost %v", got)
	}
}
