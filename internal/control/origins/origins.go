// Package origins tells daemons which build of an upstream began a stream, so
// that a caller that resumes it at another daemon gets the rest from the same
// build.
//
// The daemon that begins a stream records its build at a few owners, which
// rendezvous hashing of the attempt's id assigns alike at every daemon. A daemon
// that gets a later attempt asks the owners. A record is sent a short time after
// the stream began; a stream whose daemon stops before is not recorded anywhere.
// The owners also say whether all upstreams ran one build lately, since a daemon
// that has just started does not know that itself. For the case that all daemons have
// just started, a store keeps the builds that upstreams ran lately and, while several
// serve, those of the streams.
package origins

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"currantpulley/internal/catalog"
	"currantpulley/internal/control/origins/originspb"
	"currantpulley/internal/event"
	"currantpulley/internal/failure"
	"currantpulley/internal/fleet"
	"currantpulley/internal/freshness"
	"currantpulley/internal/peer"
	"currantpulley/internal/rendezvous"
)

const (
	// recordPeriod is the time for which records are collected before they are
	// sent. It bounds how many streams are not known if their daemon stops.
	recordPeriod = 25 * time.Millisecond
	proveTimeout = 500 * time.Millisecond
)

// Options holds the dependencies of Origins. All fields are required.
type Options struct {
	Pool     *peer.Pool
	Self     string            // name of this VM
	View     func() fleet.View // safe for concurrent use
	Recorder event.Recorder
	Watcher  *catalog.Watcher // of the upstreams
	Proof    *freshness.Proof // of the time at which the upstreams were the newest
	// Prove makes sure that the upstreams known here were the newest at an instant, or
	// returns an error.
	Prove   func(ctx context.Context, at freshness.Instant) error
	Store   BuildStore
	Streams StreamStore
	// Restored delivers a value after the store lost what was written since a copy.
	Restored <-chan struct{}
}

// Origins keeps the builds of streams. It is safe for concurrent use.
type Origins struct {
	originspb.UnimplementedOriginsServer
	opts    Options
	known   table
	history history
	streams *streamLog
	unsaved unsaved

	mu      sync.Mutex
	pending []StreamBuild // not sent to their owners yet

	hasPending chan struct{} // holds one value after a record was added to pending
}

// New returns Origins that know no stream.
func New(o Options) *Origins {
	saved := &savedBuilds{
		store: o.Store, watcher: o.Watcher, recorder: o.Recorder, self: o.Self, view: o.View, restored: o.Restored,
		ask:     func(ctx context.Context, vm fleet.VM, b SavedBuild) error { return askToKeep(ctx, o.Pool, vm, b) },
		savedAt: make(map[SavedBuild]time.Time), seenAt: make(map[SavedBuild]time.Time),
	}
	return &Origins{
		opts: o, hasPending: make(chan struct{}, 1), streams: newStreamLog(o.Streams),
		history: history{watcher: o.Watcher, proof: o.Proof, saved: saved},
	}
}

// IsKept reports whether a build is known to be in the store, so that it counts as one
// that may have begun a stream also after a kill of all daemons.
func (o *Origins) IsKept(b catalog.Build) bool { return o.history.saved.isKept(b) }

// askToKeep makes another daemon save a build.
func askToKeep(ctx context.Context, pool *peer.Pool, vm fleet.VM, b SavedBuild) error {
	conn, err := pool.Conn(vm.PeerAddress)
	if err == nil {
		_, err = originspb.NewOriginsClient(conn).Keep(ctx, &originspb.KeepRequest{Service: b.Service, Build: uint32(b.Build)})
	}
	if err != nil {
		return failure.At("keep build", vm.Name, err)
	}
	return nil
}

// Register registers the gRPC service with server.
func (o *Origins) Register(server *grpc.Server) { originspb.RegisterOriginsServer(server, o) }

// Run sends records to their owners and keeps the builds of upstreams and of streams in
// the store until ctx ends.
func (o *Origins) Run(ctx context.Context) {
	go o.history.saved.run(ctx)
	go o.saveStreams(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.hasPending:
		}
		time.Sleep(recordPeriod)
		o.sendPending(ctx)
	}
}

// RecordBuild remembers the build that sent the first event of the stream that a
// caller's attempt began, here at once, at the owners soon, and in the store if several
// builds serve.
func (o *Origins) RecordBuild(attempt string, b catalog.Build) {
	r := StreamBuild{rendezvous.Hash(attempt), b}
	now := time.Now()
	o.known.put(r.Stream, b, now)
	o.unsaved.add(r, now)
	o.mu.Lock()
	o.pending = append(o.pending, r)
	o.mu.Unlock()
	select {
	case o.hasPending <- struct{}{}:
	default:
	}
}

// FindBuild returns the build that began the stream of a caller's attempt within
// the last window, at one of the services. It is the recorded one or, if none of
// the daemons that may have a record has one, the only one that the services'
// upstreams ran in that time or else the one in the store. An empty attempt is one that
// the caller didn't name. The error tells why the build is not known.
func (o *Origins) FindBuild(ctx context.Context, attempt string, services []string, window time.Duration) (catalog.Build, error) {
	request := &originspb.FindRequest{Services: services, WindowMs: uint32(window.Milliseconds())}
	if attempt != "" {
		request.Stream = rendezvous.Hash(attempt)
	}
	b, err := o.findAtDaemons(ctx, request)
	if err == nil || attempt == "" {
		return b, err
	}
	saved, savedErr := o.findSaved(ctx, request.GetStream())
	if saved == 0 {
		return 0, errors.Join(err, cmp.Or(savedErr, errNotSaved))
	}
	o.opts.Recorder.Record(event.Event{ID: event.StreamOriginFromStore, Step: "find origin", Detail: fmt.Sprintf("began as %q", attempt), Err: err})
	return saved, nil
}

// errNotSaved: the store has no build of a stream.
var errNotSaved = errors.New("the store has no record of the stream")

// findAtDaemons returns the build that a daemon has recorded for a stream, or else the only
// one that may have begun it.
func (o *Origins) findAtDaemons(ctx context.Context, r *originspb.FindRequest) (catalog.Build, error) {
	if b := o.known.get(r.GetStream()); b != 0 {
		return b, nil
	}
	arrived := freshness.Now()
	others, err := o.askOthers(ctx, r)
	if others.build != 0 || err != nil {
		return others.build, err
	}
	return o.findOnlyBuild(ctx, arrived, r, others)
}

// findOnlyBuild returns the only build that may have begun a stream of which no daemon
// has a record.
func (o *Origins) findOnlyBuild(ctx context.Context, arrived freshness.Instant, r *originspb.FindRequest, others answer) (catalog.Build, error) {
	window := time.Duration(r.GetWindowMs()) * time.Millisecond
	if known := o.history.builds(r.GetServices(), window); known.several {
		return 0, known.err // no read can show less
	}
	if err := o.prove(ctx, arrived); err != nil {
		return 0, err
	}
	return onlyBuild(o.history.builds(r.GetServices(), window), others)
}

// askOthers asks the owners of a stream for its build, or any daemons for the only one
// if the caller didn't name the stream and this daemon is not sure of it.
func (o *Origins) askOthers(ctx context.Context, r *originspb.FindRequest) (answer, error) {
	if r.GetStream() != 0 {
		return o.askOwners(ctx, r.GetStream(), r)
	}
	if o.history.builds(r.GetServices(), time.Duration(r.GetWindowMs())*time.Millisecond).sure() != 0 {
		return answer{}, nil
	}
	others, err := o.askOwners(ctx, rand.Uint64(), r)
	if err != nil && others.only != 0 {
		err = nil // no daemon has a record: those that answered suffice
	}
	return others, err
}

// prove makes sure that this daemon knows all upstreams that registered before an
// instant: one of them may have begun the stream.
func (o *Origins) prove(ctx context.Context, at freshness.Instant) error {
	ctx, cancel := context.WithTimeout(ctx, proveTimeout)
	defer cancel()
	return o.opts.Prove(ctx, at)
}

// onlyBuild returns the only build that may have begun a stream of which nobody has a
// record, by what this daemon and others know.
func onlyBuild(own buildsKnown, others answer) (catalog.Build, error) {
	switch {
	case own.several:
		return 0, own.err
	case others.several || (own.only != 0 && others.only != 0 && own.only != others.only):
		return 0, errors.New("daemons know different versions of the upstreams")
	case own.sure() != 0:
		return own.only, nil
	case others.only != 0:
		return others.only, nil
	}
	return 0, errors.Join(own.err, errors.New("no other daemon knows the upstreams for long enough"))
}

// Keep implements the gRPC service.
func (o *Origins) Keep(ctx context.Context, r *originspb.KeepRequest) (*originspb.KeepReply, error) {
	if r.GetBuild() == 0 || r.GetService() == "" {
		return nil, status.Error(codes.InvalidArgument, "service or build is missing")
	}
	if !o.history.saved.keep(ctx, SavedBuild{r.GetService(), catalog.Build(r.GetBuild())}) {
		return nil, status.Error(codes.Unavailable, "the store did not save the build")
	}
	return &originspb.KeepReply{}, nil
}
