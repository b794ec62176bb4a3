package gateway

import (
	"context"
	"fmt"
	"time"

	"currantpulley/internal/catalog"
	"currantpulley/internal/freshness"
	"currantpulley/internal/refusal"
)

// Origins knows which build began each stream, also those of other daemons.
type Origins interface {
	// RecordBuild remembers the build that began the stream of a caller's attempt.
	RecordBuild(attempt string, b catalog.Build)
	// FindBuild returns the build that began the stream of a caller's attempt, or 0
	// if it is not known. Its error tells that it may be known at another daemon.
	FindBuild(ctx context.Context, attempt string) (catalog.Build, error)
}

const (
	// originRetryAfter is the retry delay given when it is not known which build
	// began a stream. The retry should reach another daemon.
	originRetryAfter = 200 * time.Millisecond
	// registryMaxAge is the age of the proof that the upstreams are the newest ones
	// at which all of them are still taken to be known. It is longer than the time
	// between two reads.
	registryMaxAge = 6 * time.Second
)

// takesUpStream reports whether the request goes on with a stream whose first
// events an earlier attempt of the caller brought.
func (q *request) takesUpStream() bool { return q.route.Kind == catalog.Stream && q.LastEvent > 0 }

// attemptOfStream returns the id of the caller's attempt that began the stream.
func (q *request) attemptOfStream() string {
	if q.takesUpStream() {
		return q.FirstAttempt
	}
	return q.ID
}

// recordOrigin remembers which build began the stream, if it may be taken up.
func (g *Gateway) recordOrigin(q *request) {
	if attempt := q.attemptOfStream(); g.opts.Origins != nil && q.route.Resumable && attempt != "" {
		g.opts.Origins.RecordBuild(attempt, q.build)
	}
}

// bindToOrigin binds a request that goes on with a stream to the service and the
// build that began it. It refuses the request if they are not known or not
// available.
func (g *Gateway) bindToOrigin(q *request) error {
	if !q.takesUpStream() {
		return nil
	}
	build, err := g.findOrigin(q)
	if build == 0 {
		return refusal.New(refusal.OriginUnknown, "it is not known which version of the upstream began the stream").
			WithRetryAfter(originRetryAfter).WithCause(err)
	}
	service := serviceOfBuild(q.snap, q.route, build)
	if service == nil {
		return refusal.New(refusal.NoUpstream, "no upstream runs the version that began the stream").WithRetryAfter(busyRetryAfter)
	}
	q.build, q.service = build, service
	return nil
}

// findOrigin returns the build that began q's stream: the recorded one or, if it
// is certain that none was recorded, the only one that the route's upstreams run.
// It returns 0 and the reason if neither is known.
func (g *Gateway) findOrigin(q *request) (catalog.Build, error) {
	if g.opts.Origins != nil && q.FirstAttempt != "" {
		build, err := g.opts.Origins.FindBuild(q.ctx, q.FirstAttempt)
		if build != 0 || err != nil {
			return build, err
		}
	}
	return g.onlyBuild(q.route)
}

// onlyBuild returns the build of all upstreams of a route, now and for as long as
// its requests may last. It returns 0 and the reason if there are several or some
// may not be known here.
func (g *Gateway) onlyBuild(r *catalog.Route) (catalog.Build, error) {
	if p := g.opts.RegistryProof; p != nil && !p.Within(registryMaxAge, freshness.Now()) {
		return 0, fmt.Errorf("the upstreams were last read more than %v ago", registryMaxAge)
	}
	var only catalog.Build
	for _, share := range r.Shares {
		if share.Weight <= 0 {
			continue
		}
		builds, ok := g.opts.Watcher.BuildsOf(share.Service, r.Timeout)
		if !ok {
			return 0, fmt.Errorf("the upstreams of service %s are known for less than %v", share.Service, r.Timeout)
		}
		for b := range builds {
			if only != 0 && only != b {
				return 0, fmt.Errorf("upstreams of route %s ran several versions in the last %v", r.Name, r.Timeout)
			}
			only = b
		}
	}
	if only == 0 {
		return 0, fmt.Errorf("route %s has no upstreams", r.Name)
	}
	return only, nil
}

// serviceOfBuild returns the service of r with an upstream that runs build, or nil
// if there is none.
func serviceOfBuild(snap *catalog.Snapshot, r *catalog.Route, build catalog.Build) *catalog.Service {
	for _, share := range r.Shares {
		for _, u := range snap.UpstreamsOf(share.Service) {
			if share.Weight > 0 && u.Build() == build {
				return snap.Config.Services[share.Service]
			}
		}
	}
	return nil
}
