package gateway

import (
	"context"
	"time"

	"currantpulley/internal/catalog"
	"currantpulley/internal/refusal"
)

// Origins knows which build began each stream, also those of other daemons.
type Origins interface {
	// RecordBuild remembers the build that began the stream of a caller's attempt.
	RecordBuild(attempt string, b catalog.Build)
	// FindBuild returns the build that began the stream of a caller's attempt within
	// the last window at one of the services; an empty attempt is not known. Its error
	// tells why the build is not known.
	FindBuild(ctx context.Context, attempt string, services []string, window time.Duration) (catalog.Build, error)
}

// originRetryAfter is the retry delay given when it is not known which build began a
// stream. The retry should reach another daemon.
const originRetryAfter = 200 * time.Millisecond

// resumesStream reports whether the caller resumes a stream whose first
// events an earlier attempt of the caller brought.
func (q *request) resumesStream() bool { return q.route.Kind == catalog.Stream && q.LastEvent > 0 }

// attemptOfStream returns the id of the caller's attempt that began the stream.
func (q *request) attemptOfStream() string {
	if q.resumesStream() {
		return q.FirstAttempt
	}
	return q.ID
}

// recordOrigin remembers which build began the stream, if callers may resume it.
func (g *Gateway) recordOrigin(q *request) {
	if attempt := q.attemptOfStream(); g.opts.Origins != nil && q.route.Resumable && attempt != "" {
		g.opts.Origins.RecordBuild(attempt, q.build)
	}
}

// bindToOrigin binds a request that resumes a stream to the service and the
// build that began it. It refuses the request if they are not known or not
// available.
func (g *Gateway) bindToOrigin(q *request) error {
	if g.opts.Origins == nil || !q.resumesStream() {
		return nil
	}
	build, err := g.opts.Origins.FindBuild(q.ctx, q.FirstAttempt, q.route.Services(), max(q.snap.LongestStream, q.route.Timeout))
	if err != nil {
		return refusal.New(refusal.OriginUnknown, "it is not known which version of the upstream began the stream").
			WithRetryAfter(originRetryAfter).WithCause(err)
	}
	service := serviceOfBuild(q.snap, q.route, build)
	if service == nil {
		return refusal.New(refusal.NoUpstream, "no upstream runs the version that began the stream").WithRetryAfter(unknownRetryAfter)
	}
	q.build, q.service = build, service
	return nil
}

// serviceOfBuild returns the service of r with an upstream that runs build, or nil
// if there is none.
func serviceOfBuild(snap *catalog.Snapshot, r *catalog.Route, build catalog.Build) *catalog.Service {
	for _, name := range r.Services() {
		for _, u := range snap.UpstreamsOf(name) {
			if u.Build() == build {
				return snap.Config.Services[name]
			}
		}
	}
	return nil
}
