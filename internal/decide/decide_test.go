package decide

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"currantpulley/internal/config"
	"currantpulley/internal/pipe"
	"currantpulley/internal/placement/slowness"
	"currantpulley/internal/refusal"
	"currantpulley/internal/snapshot"
)

// changeRandomUpstream makes one random change to a random upstream of s.
func changeRandomUpstream(s *harness, r *rand.Rand) {
	i := r.IntN(len(s.snap.Upstreams))
	switch r.IntN(6) {
	case 0:
		s.change(i, func(u *snapshot.Upstream) { u.Health = snapshot.Down })
	case 1:
		s.change(i, func(u *snapshot.Upstream) { u.Health = snapshot.Loading })
	case 2:
		s.change(i, func(u *snapshot.Upstream) { u.Weights = map[string]string{"m": "w2"} })
	case 3:
		s.change(i, func(u *snapshot.Upstream) {
			c := *u.Upstream
			c.Leaving = true
			u.Upstream = &c
		})
	case 4:
		s.change(i, func(u *snapshot.Upstream) { u.Incarnation = fmt.Sprintf("i%d", r.IntN(100)) })
	case 5:
		next := *s.snap
		next.Upstreams = slices.Delete(slices.Clone(s.snap.Upstreams), i, i+1)
		next.BuiltAt = s.now.Add(time.Millisecond)
		if len(next.Upstreams) > 0 {
			s.snap = &next
		}
	}
	s.now = s.now.Add(10 * time.Millisecond)
}

// choiceAllowed reports whether the newest snapshot allows c for model m.
func choiceAllowed(s *harness, c pipe.Choice) bool {
	at := slices.IndexFunc(s.snap.Upstreams, func(u *snapshot.Upstream) bool { return u.Name == c.Upstream.Name })
	return at >= 0 && s.snap.Upstreams[at].AcceptsRequests() && s.snap.Upstreams[at].Serves(s.config.Models["m"])
}

func TestPicksOnlyEligibleUpstreams(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("picks are in the snapshot, accept requests and serve the weights", prop.ForAll(func(seed uint64) bool {
		r := rand.New(rand.NewPCG(seed, 0))
		s := newHarness(6, 3)
		var open []*pipe.Attempt
		for i := range 120 {
			if r.IntN(4) == 0 {
				changeRandomUpstream(s, r)
			}
			x := s.exchange(fmt.Sprintf("w%d", r.IntN(3)), pieces(fmt.Sprintf("p%d", r.IntN(5)), 1+r.IntN(6)))
			if _, err := s.admit(x); err != nil {
				if refusal.From(err).Effect != refusal.NotRun {
					return false
				}
				continue
			}
			if r.IntN(3) == 0 {
				changeRandomUpstream(s, r) // between admission and dispatch
			}
			a, err := s.startAttempt(x)
			if err != nil {
				continue
			}
			if !choiceAllowed(s, a.Choice) {
				t.Logf("request %d went to %s, which may not serve it", i, a.Choice.Upstream.Name)
				return false
			}
			open = append(open, a)
			for len(open) > 5 {
				s.finishAttempt(open[0], 20*time.Millisecond, 0)
				open = open[1:]
			}
		}
		return true
	}, gen.UInt64()))
	properties.TestingRun(t)
}

func TestDaemonsAgreeOnOwners(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("same snapshot and request, same owners", prop.ForAll(func(seed uint64, n int) bool {
		one, other := newHarness(n, 5), newHarness(n, 5)
		other.snap = one.snap
		for i := range 20 {
			chain := pieces(fmt.Sprintf("%d-%d", seed, i), 1+i%9)
			a := one.Explain(one.snap, one.exchange("w", chain).Prompt, "w")
			b := other.Explain(one.snap, other.exchange("w", chain).Prompt, "w")
			if a.Picked != b.Picked || a.Level != b.Level || len(a.Candidates) != len(b.Candidates) {
				return false
			}
			for j := range a.Candidates {
				if a.Candidates[j].Upstream != b.Candidates[j].Upstream {
					return false
				}
			}
		}
		return true
	}, gen.UInt64(), gen.IntRange(1, 40)))
	properties.TestingRun(t)
}

func TestPromptsOfASubtreeShareAnOwner(t *testing.T) {
	s := newHarness(12, 1)
	template := pieces("template", 2)
	document := func(site, doc int) []uint64 {
		chain := append(slices.Clone(template), pieces(fmt.Sprintf("site-%d", site), 2)...)
		return append(chain, pieces(fmt.Sprintf("doc-%d-%d", site, doc), 3)...)
	}
	const sites = 30 // so that none needs more than one owner
	for i := range 4 * sites {
		x := s.exchange("w", document(i%sites, i))
		if _, err := s.admit(x); err != nil {
			t.Fatal(err)
		}
		a, err := s.startAttempt(x)
		if err != nil {
			t.Fatal(err)
		}
		s.finishAttempt(a, 10*time.Millisecond, 0)
	}
	for siteNumber := range sites {
		picked := map[string]bool{}
		for doc := range 10 {
			e := s.Explain(s.snap, s.exchange("w", document(siteNumber, 1000+doc)).Prompt, "w")
			if e.Level != 2 {
				t.Errorf("level %d, expected the first piece after the template", e.Level)
			}
			picked[e.Picked] = true
		}
		if len(picked) != 1 {
			t.Errorf("documents of one site go to %d upstreams", len(picked))
		}
	}
}

func TestCacheEntriesInvalidatedByEngineChange(t *testing.T) {
	chain := pieces("p", 5)
	cases := map[string]func(s *harness, i int){
		"another incarnation in a report": func(s *harness, i int) {
			s.change(i, func(u *snapshot.Upstream) { u.Incarnation = "i2" })
		},
		"another weights version in a report": func(s *harness, i int) {
			s.change(i, func(u *snapshot.Upstream) { u.Weights = map[string]string{"m": "w2"} })
		},
		"another incarnation in an answer": func(s *harness, _ int) {
			x := s.exchange("other", pieces("q", 5))
			a := &pipe.Attempt{Exchange: x, Choice: pipe.Choice{Upstream: s.snap.Upstreams[0]}}
			s.Picker(x)
			s.Started(a)
			a.Incarnation, a.Weights = "i9", "w1"
			s.FirstToken(a)
		},
	}
	for name, replace := range cases {
		t.Run(name, func(t *testing.T) {
			s := newHarness(1, 1)
			x := s.exchange("w", chain)
			if _, err := s.admit(x); err != nil {
				t.Fatal(err)
			}
			a, _ := s.startAttempt(x)
			s.finishAttempt(a, 10*time.Millisecond, 0)
			if known := s.knownCachedAt(0, x); known != len(chain)*pieceTokens {
				t.Fatalf("%d tokens known to be cached, expected the whole prompt", known)
			}
			s.now = s.now.Add(10 * time.Millisecond)
			replace(s, 0)
			if known := s.knownCachedAt(0, x); known != 0 {
				t.Errorf("%d tokens still assumed to be cached", known)
			}
		})
	}
}

// knownCachedAt returns the tokens of x known to be cached at upstream number i.
func (s *harness) knownCachedAt(i int, x *pipe.Exchange) int {
	s.syncSnapshot(s.snap, s.now)
	w := newWork(x.Model, x.Prompt, 0)
	all := s.addHolders([]candidate{{up: s.fleet.byNumber[i]}}, &w, nil, s.now)
	return int(all[0].knownCached)
}

func TestLateReportOfOldIncarnationIsIgnored(t *testing.T) {
	s := newHarness(1, 1)
	x := s.exchange("w", pieces("p", 3))
	_, _ = s.admit(x)
	s.change(0, func(u *snapshot.Upstream) { u.Incarnation = "i2" })
	a, _ := s.startAttempt(x)
	a.Choice.Upstream = s.snap.Upstreams[0]
	s.finishAttempt(a, 10*time.Millisecond, 0)
	epoch := s.fleet.byNumber[0].epoch
	s.change(0, func(u *snapshot.Upstream) { u.Incarnation = "i1" })
	if s.knownCachedAt(0, x) == 0 || s.fleet.byNumber[0].epoch != epoch {
		t.Error("a report from before the restart invalidated entries of the new engine")
	}
}

func TestRequestsRefusedImmediately(t *testing.T) {
	t.Run("no upstream", func(t *testing.T) {
		s := newHarness(1, 1)
		s.change(0, func(u *snapshot.Upstream) { u.Health = snapshot.Down })
		wantRefusal(t, s, s.exchange("w", pieces("p", 1)), refusal.NoUpstream)
	})
	t.Run("deadline can't be met", func(t *testing.T) {
		s := newHarness(1, 1)
		x := s.exchange("w", pieces("p", 400))
		x.Deadline = s.now.Add(20 * time.Millisecond)
		wantRefusal(t, s, x, refusal.DeadlineUnmeetable)
	})
	t.Run("queue full", func(t *testing.T) {
		s := newHarness(1, 1)
		s.config.Admission.QueueMax = 2
		for {
			x := s.exchange("w", pieces("p", 1))
			x.Deadline = s.now.Add(time.Hour)
			if _, err := s.admit(x); err != nil {
				break
			}
		}
		x := s.exchange("w", pieces("p", 1))
		x.Deadline = s.now.Add(time.Hour)
		wantRefusal(t, s, x, refusal.Overloaded)
	})
}

func wantRefusal(t *testing.T, s *harness, x *pipe.Exchange, code refusal.Code) {
	t.Helper()
	_, err := s.admit(x)
	var r *refusal.Error
	if !errors.As(err, &r) {
		t.Fatalf("got %v, expected a refusal", err)
	}
	if r.Code != code || r.Effect != refusal.NotRun || r.RetryAfter <= 0 {
		t.Errorf("refused with %s, %s, retry after %v; expected %s, not-run and a time", r.Code, r.Effect, r.RetryAfter, code)
	}
}

func TestWaitingRequestRefusedOnceDeadlineUnmeetable(t *testing.T) {
	s := newHarness(1, 1)
	var waiting *ticket
	for waiting == nil {
		x := s.exchange("w", pieces("p", 1))
		x.Deadline = s.now.Add(time.Second)
		tk, err := s.admit(x)
		if err != nil {
			t.Fatal(err)
		}
		if !tk.granted {
			waiting = tk
		}
	}
	s.now = s.now.Add(time.Second)
	s.pollQueue()
	if err := waiting.wait(); refusal.From(err).Code != refusal.DeadlineUnmeetable {
		t.Errorf("got %v, expected %s", err, refusal.DeadlineUnmeetable)
	}
	if s.queue.Len() != 0 {
		t.Error("the refused request is still queued")
	}
}

func TestCancelledCallerReleasesReservations(t *testing.T) {
	s := newHarness(1, 1)
	var all []*pipe.Exchange
	ctx, cancel := context.WithCancel(context.Background())
	var waiting *ticket
	for waiting == nil {
		x := s.exchange("w", pieces("p", 1))
		x.Ctx = ctx
		tk, err := s.admit(x)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, x)
		if !tk.granted {
			waiting = tk
		}
	}
	cancel()
	if err := waiting.wait(); err == nil {
		t.Error("a request was admitted after its caller cancelled it")
	}
	for _, x := range all {
		s.Leave(x)
	}
	if own := s.fleet.byNumber[0].load.Own(); own != 0 || s.queue.Len() != 0 {
		t.Errorf("%d requests counted and %d waiting, expected none", own, s.queue.Len())
	}
}

func TestSlowUpstreamsAreBoundedAndRestored(t *testing.T) {
	s := newHarness(9, 1)
	most := slowness.MaxSlow(9, s.config.Admission.SlowShare)
	serve := func(slow map[string]bool) {
		for i := range 400 {
			x := s.exchange("w", pieces(fmt.Sprintf("p%d", i%60), 2))
			if _, err := s.admit(x); err != nil {
				t.Fatal(err)
			}
			a, err := s.startAttempt(x)
			if err != nil {
				t.Fatal(err)
			}
			took := 10 * time.Millisecond
			if slow[a.Choice.Upstream.Name] {
				took = 100 * time.Millisecond
			}
			s.finishAttempt(a, took, 0)
			if s.countSlow() > most {
				t.Fatalf("%d upstreams are marked slow, expected at most %d", s.countSlow(), most)
			}
		}
	}
	serve(nil)
	if s.countSlow() != 0 {
		t.Fatalf("%d upstreams are marked slow before any is", s.countSlow())
	}
	slow := map[string]bool{}
	for i := range 7 {
		slow[newUpstream(i).Name] = true
	}
	serve(map[string]bool{newUpstream(0).Name: true, newUpstream(1).Name: true})
	if s.countSlow() != 2 {
		t.Errorf("%d upstreams are marked slow, expected 2", s.countSlow())
	}
	serve(slow)
	serve(nil)
	if s.countSlow() != 0 {
		t.Errorf("%d upstreams are still marked slow after all are back at speed", s.countSlow())
	}
}

func (s *harness) countSlow() int {
	n := 0
	for _, u := range s.fleet.engines {
		if u.speed.Slow() {
			n++
		}
	}
	return n
}

func TestServicePicksReplicaWithFewestRequests(t *testing.T) {
	s := newHarness(0, 1)
	for i := range 3 {
		u := newUpstream(i)
		u.Kind, u.Service = config.KindService, "ledger"
		s.snap.Upstreams = append(s.snap.Upstreams, u)
	}
	seen := map[string]int{}
	for range 6 {
		x := &pipe.Exchange{Ctx: context.Background(), Snap: s.snap, Route: &config.Route{Service: "ledger"}}
		if err := s.Admit().Request(x); err != nil {
			t.Fatal(err)
		}
		a, err := s.startAttempt(x)
		if err != nil {
			t.Fatal(err)
		}
		seen[a.Choice.Upstream.Name]++
	}
	for name, n := range seen {
		if n != 2 {
			t.Errorf("%s got %d of 6 requests, expected 2", name, n)
		}
	}
	x := &pipe.Exchange{Ctx: context.Background(), Snap: s.snap, Route: &config.Route{Service: "other"}}
	if _, err := s.startAttempt(x); refusal.From(err).Code != refusal.NoUpstream {
		t.Errorf("got %v, expected %s", err, refusal.NoUpstream)
	}
}
