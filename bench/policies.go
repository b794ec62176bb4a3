package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"currantpulley/internal/filter/place"
	"currantpulley/internal/pipe"
	"currantpulley/internal/refusal"
	"currantpulley/internal/rendezvous"
	"currantpulley/internal/snapshot"
)

// Names of the policies: the router's own and the baselines.
const (
	policyFull      = "full"
	policyRandom    = "random"
	policyLeastLoad = "leastload"
	policyHash      = "hash"
)

var policyNames = []string{policyFull, policyRandom, policyLeastLoad, policyHash}

// placementFor returns a constructor of the filters that replace the router's own
// placement, or nil for the policy full.
func placementFor(name string) (func() []pipe.Filter, error) {
	if name == policyFull {
		return nil, nil
	}
	if !slices.Contains(policyNames, name) {
		return nil, fmt.Errorf("policy %q does not exist, expected one of %v", name, policyNames)
	}
	return func() []pipe.Filter {
		return []pipe.Filter{place.New(&baseline{name: name, inFlight: make(map[string]int)})}
	}, nil
}

// baseline is a placement without limits, queues or tracking of prefixes.
type baseline struct {
	name     string
	mu       sync.Mutex
	inFlight map[string]int // attempts of this daemon by upstream
}

// Picker implements place.Placement.
func (b *baseline) Picker(*pipe.Exchange) pipe.Picker { return b }

// Started implements pipe.Observer.
func (b *baseline) Started(a *pipe.Attempt) { b.count(a, 1) }

// FirstToken implements pipe.Observer.
func (b *baseline) FirstToken(*pipe.Attempt) {}

// Finished implements pipe.Observer.
func (b *baseline) Finished(a *pipe.Attempt) { b.count(a, -1) }

func (b *baseline) count(a *pipe.Attempt, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight[a.Choice.Upstream.Name] += n
}

// Pick implements pipe.Picker.
func (b *baseline) Pick(_ context.Context, x *pipe.Exchange, tried []string) (pipe.Choice, error) {
	var candidates []*snapshot.Upstream
	for _, u := range x.Snap.Upstreams {
		if u.AcceptsRequests() && u.Serves(x.Model) && !slices.Contains(tried, u.Name) {
			candidates = append(candidates, u)
		}
	}
	if len(candidates) == 0 {
		return pipe.Choice{}, refusal.New(refusal.NoUpstream, "no upstream can take the request").WithRetryAfter(time.Second)
	}
	return pipe.Choice{Upstream: b.pick(x, candidates), Level: -1, Priority: x.Priority, Reason: b.name}, nil
}

// pick applies the policy. The policy hash uses rendezvous hashing of the whole
// prompt and picks at random for a prompt without a whole piece.
func (b *baseline) pick(x *pipe.Exchange, candidates []*snapshot.Upstream) *snapshot.Upstream {
	switch {
	case b.name == policyLeastLoad:
		return b.leastLoaded(candidates)
	case b.name == policyHash && len(x.Prompt.Pieces) > 0:
		names := make([]uint64, len(candidates))
		for i, u := range candidates {
			names[i] = u.Hash
		}
		return candidates[rendezvous.Top(names, x.Prompt.Pieces[len(x.Prompt.Pieces)-1], 1)[0]]
	}
	return candidates[rand.IntN(len(candidates))]
}

// leastLoaded returns the upstream with the least requests, by its last report
// plus this daemon's attempts in flight. Ties are broken at random.
func (b *baseline) leastLoaded(candidates []*snapshot.Upstream) *snapshot.Upstream {
	b.mu.Lock()
	defer b.mu.Unlock()
	load := func(u *snapshot.Upstream) int { return u.Load.Running + u.Load.Queued + b.inFlight[u.Name] }
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return slices.MinFunc(candidates, func(u, v *snapshot.Upstream) int { return load(u) - load(v) })
}
