package origins

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"currantpulley/internal/catalog"
	"currantpulley/internal/control/origins/originspb"
	"currantpulley/internal/event"
	"currantpulley/internal/failure"
	"currantpulley/internal/fleet"
)

const (
	recordTimeout = 300 * time.Millisecond
	findTimeout   = 200 * time.Millisecond
	// ownersWritten is the number of owners of a stream. It is not lost unless all
	// of them stop.
	ownersWritten = 3
	// ownersAsked is greater, since the views of the fleet at the time of the record
	// and now may differ by daemons that joined.
	ownersAsked = 5
)

// sendPending sends the records that were not sent yet, in one call for each owner.
func (o *Origins) sendPending(ctx context.Context) {
	for vm, request := range o.requestsFor(o.takePending()) {
		go o.send(ctx, vm, request)
	}
}

// takePending returns the records that were not sent yet and empties the list.
func (o *Origins) takePending() []StreamBuild {
	o.mu.Lock()
	defer o.mu.Unlock()
	records := o.pending
	o.pending = nil
	return records
}

// requestsFor returns a request for each owner of the records but this daemon.
func (o *Origins) requestsFor(records []StreamBuild) map[fleet.VM]*originspb.RecordRequest {
	if len(records) == 0 {
		return nil
	}
	requests := make(map[fleet.VM]*originspb.RecordRequest)
	live := o.opts.View().Live()
	for _, r := range records {
		for _, vm := range owners(live, r.Stream, ownersWritten) {
			if vm.Name == o.opts.Self {
				continue
			}
			if requests[vm] == nil {
				requests[vm] = &originspb.RecordRequest{}
			}
			requests[vm].Streams = append(requests[vm].Streams, r.Stream)
			requests[vm].Builds = append(requests[vm].Builds, uint32(r.Build))
		}
	}
	return requests
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

// askOwners sends r to the owners of a stream. It returns the first recorded build
// or, if none of them has one, what they know of the only build that upstreams ran,
// and an error if some did not answer.
func (o *Origins) askOwners(ctx context.Context, stream uint64, r *originspb.FindRequest) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	answers := make(chan answer, ownersAsked)
	asked := 0
	for _, vm := range owners(o.opts.View().Live(), stream, ownersAsked) {
		if vm.Name == o.opts.Self {
			continue
		}
		asked++
		go func() { answers <- o.ask(ctx, vm, r) }()
	}
	var result answer
	var failures []error
	for range asked {
		a := <-answers
		if a.build != 0 {
			return a, nil
		}
		result.several = result.several || a.several || (a.only != 0 && result.only != 0 && a.only != result.only)
		result.only = max(result.only, a.only)
		failures = append(failures, a.err)
	}
	return result, errors.Join(failures...)
}

// answer is the answer of one owner, or of all.
type answer struct {
	build   catalog.Build // recorded; 0: none
	only    catalog.Build // the only one that upstreams ran; 0: there are several or not all are known
	several bool          // an owner knows several, or the owners know different ones
	err     error
}

// ask asks one owner for the build of a stream.
func (o *Origins) ask(ctx context.Context, vm fleet.VM, r *originspb.FindRequest) answer {
	conn, err := o.opts.Pool.Conn(vm.PeerAddress)
	if err != nil {
		return answer{err: err}
	}
	reply, err := originspb.NewOriginsClient(conn).Find(ctx, r)
	if err != nil {
		return answer{err: failure.At("find origin", vm.Name, err)}
	}
	return answer{build: catalog.Build(reply.GetBuild()), only: catalog.Build(reply.GetOnlyBuild()), several: reply.GetSeveral()}
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
	known := o.history.builds(r.GetServices(), time.Duration(r.GetWindowMs())*time.Millisecond)
	return &originspb.FindReply{Build: uint32(o.known.get(r.GetStream())), OnlyBuild: uint32(known.sure()), Several: known.seen}, nil
}
