package origins

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"currantpulley/internal/catalog"
	"currantpulley/internal/control/origins/originspb"
	"currantpulley/internal/event"
	"currantpulley/internal/failure"
	"currantpulley/internal/fleet"
)

const (
	// saveStreamsPeriod is the time between two calls that save the builds of streams.
	saveStreamsPeriod = 500 * time.Millisecond
	// findSavedTimeout is the timeout of a lookup in the store, here or at the writer.
	findSavedTimeout = 700 * time.Millisecond
	// writerKey selects the writer among the live daemons.
	writerKey = "writer of streams"
)

// writer returns the daemon that saves the builds of streams for all daemons, and looks
// them up, if any lives.
func writer(live []fleet.VM) (fleet.VM, bool) {
	first := fleet.Owners(live, writerKey, 1)
	if len(first) == 0 {
		return fleet.VM{}, false
	}
	return first[0], true
}

// saveStreams saves the builds of streams while several builds serve, until ctx ends.
func (o *Origins) saveStreams(ctx context.Context) {
	ticker := time.NewTicker(saveStreamsPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		streams := o.streamsToSave(time.Now())
		if len(streams) == 0 {
			continue
		}
		if err := o.saveAtWriter(ctx, streams); err != nil {
			o.opts.Recorder.Record(event.Event{ID: event.BuildsNotStored, Step: "save streams", Detail: fmt.Sprintf("%d streams", len(streams)), Err: err})
			continue
		}
		o.unsaved.remove(streams)
	}
}

// streamsToSave returns the streams that began here lately, are not in the store, and
// whose build daemons without a record can't know.
func (o *Origins) streamsToSave(now time.Time) []StreamBuild {
	if !o.unsaved.prune(now) {
		return nil
	}
	return o.unsaved.of(o.history.ambiguous(now))
}

// saveAtWriter makes the writer save builds of streams and returns once it did.
func (o *Origins) saveAtWriter(ctx context.Context, streams []StreamBuild) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	vm, ok := writer(o.opts.View().Live())
	if !ok || vm.Name == o.opts.Self {
		return o.streams.save(ctx, streams)
	}
	conn, err := o.opts.Pool.Conn(vm.PeerAddress)
	if err == nil {
		_, err = originspb.NewOriginsClient(conn).Save(ctx, saveRequest(streams))
	}
	if err != nil {
		return failure.At("save streams", vm.Name, err)
	}
	return nil
}

// saveRequest returns the request to save builds of streams.
func saveRequest(streams []StreamBuild) *originspb.SaveRequest {
	r := &originspb.SaveRequest{}
	for _, s := range streams {
		r.Streams = append(r.Streams, s.Stream)
		r.Builds = append(r.Builds, uint32(s.Build))
	}
	return r
}

// Save implements the gRPC service.
func (o *Origins) Save(ctx context.Context, r *originspb.SaveRequest) (*originspb.SaveReply, error) {
	if len(r.GetStreams()) != len(r.GetBuilds()) {
		return nil, status.Error(codes.InvalidArgument, "the numbers of streams and builds differ")
	}
	streams := make([]StreamBuild, len(r.GetStreams()))
	for i, stream := range r.GetStreams() {
		streams[i] = StreamBuild{stream, catalog.Build(r.GetBuilds()[i])}
	}
	if err := o.streams.save(ctx, streams); err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &originspb.SaveReply{}, nil
}

// findSaved returns the build that the store has for a stream; 0: it has none. It asks
// the writer, and the store itself if the writer doesn't answer.
func (o *Origins) findSaved(ctx context.Context, stream uint64) (catalog.Build, error) {
	vm, ok := writer(o.opts.View().Live())
	if ok && vm.Name != o.opts.Self {
		if b, err := o.findAtWriter(ctx, vm, stream); err == nil {
			return b, nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, findSavedTimeout)
	defer cancel()
	b, err := o.streams.find(ctx, stream)
	if err != nil {
		return b, failure.At("find stream", "store", err)
	}
	return b, nil
}

// findAtWriter asks the writer for the build that the store has for a stream.
func (o *Origins) findAtWriter(ctx context.Context, vm fleet.VM, stream uint64) (catalog.Build, error) {
	ctx, cancel := context.WithTimeout(ctx, findSavedTimeout)
	defer cancel()
	conn, err := o.opts.Pool.Conn(vm.PeerAddress)
	if err != nil {
		return 0, err
	}
	reply, err := originspb.NewOriginsClient(conn).FindSaved(ctx, &originspb.FindSavedRequest{Stream: stream})
	return catalog.Build(reply.GetBuild()), err
}

// FindSaved implements the gRPC service.
func (o *Origins) FindSaved(ctx context.Context, r *originspb.FindSavedRequest) (*originspb.FindSavedReply, error) {
	b, err := o.streams.find(ctx, r.GetStream())
	if err != nil && b == 0 {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &originspb.FindSavedReply{Build: uint32(b)}, nil
}
