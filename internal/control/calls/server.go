package calls

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"currantpulley/internal/control/calls/callspb"
	"currantpulley/internal/failure"
	"currantpulley/internal/fleet"
)

// awaitMax bounds the wait of one Await call.
const awaitMax = 30 * time.Second

// Submit implements callspb.CallsServer.
func (c *Calls) Submit(ctx context.Context, r *callspb.SubmitRequest) (*callspb.SubmitReply, error) {
	if r.Stream >= streamsMax || r.Entry == nil {
		return nil, status.Error(codes.InvalidArgument, "stream out of range or entry missing")
	}
	return c.callStream(ctx, int(r.Stream), func(now time.Time, s *stream, reply func(*callspb.SubmitReply)) {
		s.submit(now, &submission{entry: r.Entry, maybeAppended: r.MaybeAppended, reply: reply})
	})
}

// Await implements callspb.CallsServer.
func (c *Calls) Await(ctx context.Context, r *callspb.AwaitRequest) (*callspb.SubmitReply, error) {
	if r.Stream >= streamsMax {
		return nil, status.Error(codes.InvalidArgument, "stream out of range")
	}
	wait := min(time.Duration(r.WaitMs)*time.Millisecond, awaitMax)
	return c.callStream(ctx, int(r.Stream), func(now time.Time, s *stream, reply func(*callspb.SubmitReply)) {
		s.await(now, &waiter{key: r.Key, nonce: r.Nonce, bodyHash: r.BodyHash, until: now.Add(wait), reply: reply})
	})
}

// callStream runs f with stream n on the loop and waits for the reply that f
// passes on. Errors are gRPC status errors.
func (c *Calls) callStream(ctx context.Context, n int, f func(now time.Time, s *stream, reply func(*callspb.SubmitReply))) (*callspb.SubmitReply, error) {
	select {
	case <-c.ready:
	case <-ctx.Done():
		return nil, status.FromContextError(ctx.Err()).Err()
	}
	replies := make(chan *callspb.SubmitReply, 1)
	c.Loop.Post(func(now time.Time) {
		s := c.openStream(now, n)
		s.lastUsedAt = now
		f(now, s.stream, func(r *callspb.SubmitReply) { replies <- r })
		c.drive(now, s)
	})
	select {
	case r := <-replies:
		return r, nil
	case <-c.ctx.Done():
		return nil, status.Error(codes.Unavailable, "the daemon is stopping")
	case <-ctx.Done():
		return nil, status.FromContextError(ctx.Err()).Err()
	}
}

// submitTo submits an entry to the daemon on vm, which may be this one.
func (c *Calls) submitTo(ctx context.Context, vm fleet.VM, r *callspb.SubmitRequest) (*callspb.SubmitReply, error) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	if vm.Name == c.Self {
		return c.Submit(ctx, r)
	}
	conn, err := c.Pool.Conn(vm.PeerAddress)
	if err != nil {
		return nil, err
	}
	reply, err := callspb.NewCallsClient(conn).Submit(ctx, r)
	return reply, failure.At("submit a call's entry", vm.Name, err)
}

// awaitAt asks the daemon on vm, which may be this one, to wait until a key is
// no longer in flight.
func (c *Calls) awaitAt(ctx context.Context, vm fleet.VM, r *callspb.AwaitRequest) (*callspb.SubmitReply, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.WaitMs)*time.Millisecond+submitTimeout)
	defer cancel()
	if vm.Name == c.Self {
		return c.Await(ctx, r)
	}
	conn, err := c.Pool.Conn(vm.PeerAddress)
	if err != nil {
		return nil, err
	}
	reply, err := callspb.NewCallsClient(conn).Await(ctx, r)
	return reply, failure.At("wait for a call's outcome", vm.Name, err)
}
