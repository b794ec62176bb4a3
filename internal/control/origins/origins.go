// Package origins tells daemons which build of an upstream began a stream, so
// that a caller that takes the stream up at another daemon gets it from the same
// build.
//
// The daemon that begins a stream records its build at a few owners, which
// rendezvous hashing of the attempt's id assigns alike at every daemon. A daemon
// that gets a later attempt asks the owners. A record is sent a short time after
// the stream began; a stream whose daemon stops before is not known anywhere.
package origins

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"google.golang.org/grpc"

	"currantpulley/internal/catalog"
	"currantpulley/internal/control/origins/originspb"
	"currantpulley/internal/event"
	"currantpulley/internal/failure"
	"currantpulley/internal/fleet"
	"currantpulley/internal/peer"
	"currantpulley/internal/rendezvous"
)

const (
	// recordPeriod is the time for which records are collected before they are
	// sent. It bounds how many streams are not known if their daemon stops.
	recordPeriod  = 25 * time.Millisecond
	recordTimeout = 300 * time.Millisecond
	findTimeout   = 200 * time.Millisecond
	// ownersWritten is the number of owners of a stream. It is not lost unless all
	// of them stop.
	ownersWritten = 3
	// ownersAsked is greater, since the views of the fleet at the time of the record
	// and now may differ by daemons that joined.
	ownersAsked = 5
)

// Options holds the dependencies of Origins. All fields are required.
type Options struct {
	Pool     *peer.Pool
	Self     string            // name of this VM
	View     func() fleet.View // safe for concurrent use
	Recorder event.Recorder
}

// Origins keeps the builds of streams. It is safe for concurrent use.
type Origins struct {
	originspb.UnimplementedOriginsServer
	opts  Options
	known table

	mu      sync.Mutex
	pending []record // not sent yet
}

// record is the build that began a stream.
type record struct {
	stream uint64 // hash of the attempt's id
	build  catalog.Build
}

// New returns Origins that know no stream.
func New(o Options) *Origins { return &Origins{opts: o} }

// Register registers the gRPC service with server.
func (o *Origins) Register(server *grpc.Server) { originspb.RegisterOriginsServer(server, o) }

// Run sends records to their owners until ctx ends.
func (o *Origins) Run(ctx context.Context) {
	ticker := time.NewTicker(recordPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			o.sendPending(ctx)
		}
	}
}

// RecordBuild remembers the build that sent the first event of the stream that a
// caller's attempt began, here at once and at the owners soon.
func (o *Origins) RecordBuild(attempt string, b catalog.Build) {
	r := record{rendezvous.Hash(attempt), b}
	o.known.put(r.stream, b, time.Now())
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pending = append(o.pending, r)
}

// sendPending sends the records that were not sent yet, in one call for each owner.
func (o *Origins) sendPending(ctx context.Context) {
	o.mu.Lock()
	records := o.pending
	o.pending = nil
	o.mu.Unlock()
	if len(records) == 0 {
		return
	}
	requests := make(map[fleet.VM]*originspb.RecordRequest)
	live := o.opts.View().Live()
	for _, r := range records {
		for _, vm := range owners(live, r.stream, ownersWritten) {
			if requests[vm] == nil {
				requests[vm] = &originspb.RecordRequest{}
			}
			requests[vm].Streams = append(requests[vm].Streams, r.stream)
			requests[vm].Builds = append(requests[vm].Builds, uint32(r.build))
		}
	}
	for vm, request := range requests {
		if vm.Name != o.opts.Self {
			go o.send(ctx, vm, request)
		}
	}
}

// owners returns the up to n daemons that own a stream.
func owners(live []fleet.VM, stream uint64, n int) []fleet.VM {
	return fleet.Owners(live, strconv.FormatUint(stream, 16), n)
}

// send sends records to one owner. A failure is only recorded: the other owners
// have them too.
func (o *Origins) send(ctx context.Context, vm fleet.VM, request *originspb.RecordRequest) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	conn, err := o.opts.Pool.Conn(vm.PeerAddress)
	if err == nil {
		_, err = originspb.NewOriginsClient(conn).Record(ctx, request)
	}
	if err != nil {
		o.opts.Recorder.Record(event.Event{
			ID: event.StreamOriginNotSent, Peer: vm.Name, Step: "record origins",
			Detail: fmt.Sprintf("%d streams", len(request.GetStreams())), Err: failure.At("record origins", vm.Name, err),
		})
	}
}

// FindBuild returns the build that began the stream of a caller's attempt, or 0 if
// none of the daemons that may know it does. Its error tells that some of these
// did not answer and none of the others knows the build.
func (o *Origins) FindBuild(ctx context.Context, attempt string) (catalog.Build, error) {
	stream := rendezvous.Hash(attempt)
	if b := o.known.get(stream); b != 0 {
		return b, nil
	}
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	answers := make(chan answer, ownersAsked)
	asked := 0
	for _, vm := range owners(o.opts.View().Live(), stream, ownersAsked) {
		if vm.Name == o.opts.Self {
			continue
		}
		asked++
		go func() { answers <- o.ask(ctx, vm, stream) }()
	}
	var failures []error
	for range asked {
		a := <-answers
		if a.build != 0 {
			return a.build, nil
		}
		failures = append(failures, a.err)
	}
	return 0, errors.Join(failures...)
}

// answer is the answer of one owner.
type answer struct {
	build catalog.Build // 0: not known there
	err   error
}

// ask asks one owner for the build of a stream.
func (o *Origins) ask(ctx context.Context, vm fleet.VM, stream uint64) answer {
	conn, err := o.opts.Pool.Conn(vm.PeerAddress)
	if err != nil {
		return answer{err: err}
	}
	reply, err := originspb.NewOriginsClient(conn).Find(ctx, &originspb.FindRequest{Stream: stream})
	if err != nil {
		return answer{err: failure.At("find origin", vm.Name, err)}
	}
	return answer{build: catalog.Build(reply.GetBuild())}
}

// Record implements the gRPC service.
func (o *Origins) Record(_ context.Context, r *originspb.RecordRequest) (*originspb.RecordReply, error) {
	now := time.Now()
	builds := r.GetBuilds()
	for i, stream := range r.GetStreams()[:min(len(r.GetStreams()), len(builds))] {
		o.known.put(stream, catalog.Build(builds[i]), now)
	}
	return &originspb.RecordReply{}, nil
}

// Find implements the gRPC service.
func (o *Origins) Find(_ context.Context, r *originspb.FindRequest) (*originspb.FindReply, error) {
	return &originspb.FindReply{Build: uint32(o.known.get(r.GetStream()))}, nil
}
