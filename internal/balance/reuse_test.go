package balance

import (
	"fmt"
	"testing"
	"time"

	"currantpulley/internal/catalog"
	"currantpulley/internal/placement/cost"
)

const (
	testStore  = "10.9.0.1:80"
	testMemory = 100_000 // tokens that an engine has room for
)

// withStore adds a store of cache entries to the catalog, and the engines' memory.
func withStore(w *catalog.Watcher) {
	c := &catalog.Config{Version: 1, Services: make(map[string]*catalog.Service)}
	c.AddService(&catalog.Service{Name: "cache", Store: &catalog.CacheStore{Address: testStore, DataCentre: "a"}})
	c.AddService(&catalog.Service{Name: testService, Engine: &catalog.Engine{CacheTokens: testMemory}})
	w.SetConfig(c)
}

// fill lets the engines compute new prompts that take the given share of their memory.
func fill(b *Balancer, w *catalog.Watcher, share float64, now time.Time) {
	for tokens := share * testMemory * float64(len(w.Load().UpstreamsOf(testService))); tokens > 0; tokens -= 9200 {
		work := longWork("other")
		work.Prompt.Parts = []Part{{fmt.Sprint("other ", tokens), work.Prompt.Tokens}}
		serve(b, w, work, now)
	}
}

// serve picks an upstream for a request and reports it as served.
func serve(b *Balancer, w *catalog.Watcher, work *Work, now time.Time) *Pick {
	p := b.Pick(w.Load(), work, now)
	b.Began(p, now)
	b.Done(p, Served, now)
	return p
}

// Under load an engine evicts a prefix before its next use, while a store, which
// has room for all prefixes, still holds it.
func TestPrefixOutlivesItsEngineInTheStore(t *testing.T) {
	b, w := newTest(12)
	withStore(w)
	first := serve(b, w, longWork("s"), testNow)
	if first.Save != testStore || first.Fetch != "" {
		t.Errorf("first request: save %q, fetch %q", first.Save, first.Fetch)
	}
	later := testNow.Add(time.Second)
	fill(b, w, 1, later)
	second := b.Pick(w.Load(), longWork("s"), later)
	if second.Fetch != testStore || second.prefillTokens != 2900 || second.Save != "" {
		t.Errorf("after the engine evicted it: fetch %q, %d tokens to compute, save %q", second.Fetch, second.prefillTokens, second.Save)
	}
	third := b.Pick(w.Load(), longWork("s"), testNow.Add(storedTTL+time.Second))
	if third.Fetch == testStore && third.Save == "" {
		t.Error("the store is expected to keep an unused prefix for ever")
	}
}

// A prefix that its engine surely holds is fetched from there rather than from the store,
// whose link all engines share. What counts is not how long ago it was used, but what came
// to the engine since.
func TestRecentPrefixComesFromItsEngine(t *testing.T) {
	b, w := newTest(12)
	withStore(w)
	first := serve(b, w, longWork("s"), testNow)
	again := longWork("s")
	again.Tried = []catalog.Key{first.Upstream.Key()}
	later := testNow.Add(storedTTL / 2)
	if p := b.Pick(w.Load(), again, later); p.Fetch != first.Upstream.Address {
		t.Errorf("later, nothing came meanwhile: fetch %q", p.Fetch)
	}
	fill(b, w, sureShare, later)
	if p := b.Pick(w.Load(), again, later); p.Fetch != testStore {
		t.Errorf("after half of the memory was filled: fetch %q", p.Fetch)
	}
}

// Saves take a part of the store's link, so short prompts are not saved. Entries
// of one weights version are never fetched for another.
func TestStoreReceivesOnlyLongPrompts(t *testing.T) {
	b, w := newTest(4)
	withStore(w)
	if p := b.Pick(w.Load(), shortWork("s"), testNow); p.Save != "" {
		t.Error("a short prompt is saved")
	}
	serve(b, w, longWork("s"), testNow)
	for _, u := range w.Load().UpstreamsOf(testService) {
		b.RecordVersion(u.Key(), testModel, 2, testNow)
	}
	if p := b.Pick(w.Load(), longWork("s"), testNow); p.Fetch != "" || p.Save != testStore {
		t.Errorf("after new weights: fetch %q, save %q", p.Fetch, p.Save)
	}
}

// A store that is down is not used. One that returns with its entries is used
// again, and one that returns empty receives the prefixes again.
func TestStoreThatIsDownOrEmptyIsNotAsked(t *testing.T) {
	b, w := newTest(12)
	withStore(w)
	shortID := (&catalog.CacheStore{Address: testStore}).ShortID()
	b.StoreUp(shortID, 7, testNow.Add(-time.Second))
	serve(b, w, longWork("s"), testNow)
	later := testNow.Add(time.Second)
	fill(b, w, 1, later)
	b.StoreDown(shortID, later.Add(2*time.Second))
	if p := b.Pick(w.Load(), longWork("s"), later); p.Fetch != "" || p.Save != "" {
		t.Errorf("while the store is down: fetch %q, save %q", p.Fetch, p.Save)
	}
	b.StoreUp(shortID, 7, later)
	if p := b.Pick(w.Load(), longWork("s"), later); p.Fetch != testStore {
		t.Errorf("after it returned with its entries: fetch %q", p.Fetch)
	}
	b.StoreUp(shortID, 8, later)
	if p := b.Pick(w.Load(), longWork("s"), later); p.Fetch != "" || p.Save != testStore {
		t.Errorf("after it returned empty: fetch %q, save %q", p.Fetch, p.Save)
	}
}

// When two requests of one session arrive shortly after each other, the second
// goes to the engine that is about to compute the first, also at another daemon
// that received the report, so that no second engine computes the same parts.
func TestConcurrentPromptsMeetAtOneEngine(t *testing.T) {
	b, w := newTest(12)
	other, _ := newTest(12)
	first := b.Pick(w.Load(), longWork("s"), testNow)
	for _, h := range b.Computed(testNow.Add(-time.Second), 8) {
		other.RecordHolder(h, testNow)
	}
	for range 3 { // finished work, so that other engines score slightly better
		p := other.Pick(w.Load(), shortWork("x"), testNow)
		other.Done(p, Served, testNow)
	}
	uses := map[catalog.Key]Use{first.Upstream.Key(): {Requests: 1, Tokens: 4000}}
	other.SetPeerWork("vm-1", uses, testNow, testNow.Add(time.Second))
	if p := other.Pick(w.Load(), longWork("s"), testNow); p.Upstream.Key() != first.Upstream.Key() || p.Held != 6300 {
		t.Errorf("goes to %s with %d tokens held, the first one went to %s", p.Upstream.ID, p.Held, first.Upstream.ID)
	}
	later := testNow.Add(pendingTTL)
	if p := other.Pick(w.Load(), longWork("s"), later); p.Held != 0 {
		t.Errorf("after %v %d tokens are expected to be held", pendingTTL, p.Held)
	}
}

// An engine that has just used the first part of a prompt is no better source than a store
// that holds all parts: the rest would be computed again while the caller waits.
func TestStoreWithMoreOfAPromptGoesBeforeAnEngine(t *testing.T) {
	b, w := newTest(12)
	withStore(w)
	serve(b, w, longWork("s"), testNow)
	now := testNow.Add(storedTTL / 2)
	fill(b, w, 1, now) // engines drop it
	first := serve(b, w, longWork("t"), now)
	work := longWork("s")
	work.Tried = []catalog.Key{first.Upstream.Key()}
	if p := b.Pick(w.Load(), work, now); p.Fetch != testStore || p.Fetched != 6300 {
		t.Errorf("%d tokens come from %q, the store at %s holds 6300", p.Fetched, p.Fetch, testStore)
	}
}

// A second copy evicts as many other entries, so it costs what the engines of the service
// take to compute these again, at whatever speed they do.
func TestSecondCopiesCostWhatTheyEvict(t *testing.T) {
	b, _ := newTest(2)
	tm := b.timingOf(testService)
	for _, perToken := range []time.Duration{20 * time.Microsecond, 200 * time.Microsecond} {
		p := &Pick{prompt: &Prompt{Tokens: 10_000}, first: cost.Work{Tokens: 10_000}, medianWait: time.Second, pace: 1}
		for range 200 {
			tm.observeFirst(p, 10_000*perToken)
		}
		want := 6300 * perToken
		if got := tm.copyCost(6300); got < want*9/10 || got > want*11/10 {
			t.Errorf("a copy of 6300 tokens at %v a token costs %v, want %v", perToken, got, want)
		}
	}
}
