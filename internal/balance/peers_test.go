package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"currantpulley/internal/catalog"
)

const manyPeers = 140 // daemons besides this one

// randomUse returns work of several urgencies.
func randomUse(rng *rand.Rand) Use {
	u := Use{Tokens: rng.IntN(3) * 100, Failing: rng.IntN(9) == 0}
	for i := range u.ByUrgency {
		u.ByUrgency[i] = UrgencyUse{Requests: rng.IntN(2), Tokens: rng.IntN(2) * 50}
		u.Requests += u.ByUrgency[i].Requests
		u.Tokens += u.ByUrgency[i].Tokens
	}
	u.NotResumable = rng.IntN(u.Requests + 1)
	if rng.IntN(4) == 0 {
		u.Requests, u.NotResumable = 0, 0
	}
	return u
}

// The load: 141 daemons, of which each looks at all reports for each engine and request.
// The sums must be those of the single reports after any reports, gaps and expiries.
func TestSumsOfReportsAreExact(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		s := &upstreamState{failures: rng.IntN(2)}
		reports := make(map[string]peerUse)
		now := testNow
		for range 400 {
			now = now.Add(time.Duration(rng.IntN(50)) * time.Millisecond)
			vm := fmt.Sprint("vm-", rng.IntN(12))
			if rng.IntN(3) == 0 {
				s.peers.remove(vm)
				delete(reports, vm)
			} else {
				p := peerUse{randomUse(rng), now.Add(time.Duration(rng.IntN(600)) * time.Millisecond)}
				s.peers.set(vm, p)
				reports[vm] = p
			}
			urgency := rng.IntN(Urgencies)
			var want, got upstreamWork
			sum, failing := Use{}, 0
			for _, p := range reports {
				if now.After(p.until) {
					continue
				}
				want.add(&p.Use, urgency)
				sum = sum.plus(&p.Use)
				if p.Failing {
					failing++
				}
			}
			got.add(s.peerTotal(now), urgency)
			if got != want {
				t.Fatalf("seed %d: urgency %d sees %+v, want %+v", seed, urgency, got, want)
			}
			if total := (&Use{}).plus(s.peerTotal(now)); total != sum {
				t.Fatalf("seed %d: total %+v, want %+v", seed, total, sum)
			}
			if want := failing >= failingQuorum || (failing > 0 && s.failures > 0); s.isFailing(now) != want {
				t.Fatalf("seed %d: failing is not %t", seed, want)
			}
		}
	}
}

// newRefusing returns a balancer among many daemons, of whose 69 engines nine are left:
// the others are in backoff, and all have much work.
func newRefusing() (*Balancer, *catalog.Snapshot) {
	bal, w := newTest(69)
	rng := rand.New(rand.NewPCG(1, 2))
	snap := w.Load()
	engines := snap.UpstreamsOf(testService)
	for i := range manyPeers {
		uses := make(map[catalog.Key]Use)
		for _, u := range engines {
			if rng.IntN(3) == 0 {
				uses[u.Key()] = randomUse(rng)
			}
		}
		bal.SetPeerWork(fmt.Sprint("vm-", i), uses, testNow, testNow.Add(time.Minute))
	}
	for _, u := range engines[9:] {
		s := bal.stateOf(u.Key(), testNow)
		s.failures, s.backoffUntil = 3, testNow.Add(time.Second)
	}
	return bal, snap
}

// The load: scale-2 of a large deployment, where most engines are gone and callers come
// again as soon as they are refused.
func BenchmarkPickUnderRefusals(b *testing.B) {
	bal, snap := newRefusing()
	work := shortWork("s")
	work.Urgency = 4
	for b.Loop() {
		bal.Done(bal.Pick(snap, work, testNow), Busy, testNow)
	}
}

func BenchmarkWhyBarred(b *testing.B) {
	bal, snap := newRefusing()
	work := shortWork("s")
	for _, u := range snap.UpstreamsOf(testService) {
		work.Tried = append(work.Tried, u.Key())
	}
	for b.Loop() {
		_ = bal.WhyBarred(snap, work, testNow).String()
	}
}

func BenchmarkSetPeerWork(b *testing.B) {
	bal, snap := newRefusing()
	rng := rand.New(rand.NewPCG(3, 4))
	uses := make(map[catalog.Key]Use)
	for _, u := range snap.UpstreamsOf(testService)[:20] {
		uses[u.Key()] = randomUse(rng)
	}
	for b.Loop() {
		bal.SetPeerWork("vm-7", uses, testNow, testNow.Add(time.Minute))
	}
}
