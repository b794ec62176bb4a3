package publish

import (
	"context"
	"errors"
	"time"

	"google.golang.org/grpc"

	"currantpulley/internal/config"
	pb "currantpulley/internal/control/publish/publishpb"
	"currantpulley/internal/event"
	"currantpulley/internal/failure"
)

// asProblems returns the problems that err wraps, or err as a single problem.
func asProblems(err error) []config.Problem {
	var problems config.Problems
	if errors.As(err, &problems) {
		return problems
	}
	return []config.Problem{{Message: err.Error()}}
}

// address returns the peer address of a VM, or an empty string if it is not in
// the view.
func (p *Publisher) address(vm string) string {
	found, _ := p.opts.View().Find(vm)
	return found.PeerAddress
}

// client returns a client of the daemon at address.
func (p *Publisher) client(address string) (pb.PublishClient, error) {
	conn, err := p.opts.Pool.Conn(address)
	if err != nil {
		return nil, err
	}
	return pb.NewPublishClient(conn), nil
}

// requestStage sends a stage request and posts the reply to the machine.
// Requests beyond maxStageRequests are dropped; the machine repeats them.
func (p *Publisher) requestStage(ctx context.Context, a RequestStage) {
	if !p.stageSlots.TryAcquire(1) {
		return
	}
	address := p.address(a.VM)
	var content []byte
	if a.WithContent {
		content = p.machine.StagedContent(a.Request.GetCandidate())
	}
	go func() {
		defer p.stageSlots.Release(1)
		if content != nil {
			a.Request.Content = compress(content)
		}
		reply := p.callStage(ctx, address, a.Request)
		p.post(func(now time.Time, m *Machine) { m.StageAnswered(now, a.VM, a.Request.GetCandidate(), reply) })
	}()
}

// callStage returns nil if the VM does not answer.
func (p *Publisher) callStage(ctx context.Context, address string, r *pb.StageRequest) *pb.StageReply {
	ctx, cancel := context.WithTimeout(ctx, stageTimeout)
	defer cancel()
	client, err := p.client(address)
	if err != nil {
		return nil
	}
	reply, err := client.Stage(ctx, r)
	if err != nil {
		return nil
	}
	return reply
}

// fetch requests the configuration in force at a VM and posts the result to the
// machine.
func (p *Publisher) fetch(ctx context.Context, a Fetch, address string) {
	got, err := p.requestState(ctx, address, a.Above)
	if err != nil {
		p.opts.Recorder.Record(event.Event{ID: event.ConfigFetchFailed, Peer: a.VM, Step: "fetch configuration", Err: err})
		p.post(func(now time.Time, m *Machine) { m.Fetched(now, a.VM, 0, "", nil) })
		return
	}
	p.postFetched(a.VM, got)
}

// postFetched posts a configuration received from a peer to the machine.
func (p *Publisher) postFetched(vm string, got version) {
	if got.content != nil {
		p.opts.Recorder.Record(event.Event{ID: event.ConfigFetched, Version: got.number, Peer: vm, Step: "fetch configuration"})
	}
	p.post(func(now time.Time, m *Machine) { m.Fetched(now, vm, got.number, got.hash, got.content) })
}

var errBusy = errors.New("the peer has too many transfers in progress")

// requestState requests the version in force at address. The content is nil if
// the version is not higher than above. The content is parsed and cached here to
// keep that work off the control goroutine.
func (p *Publisher) requestState(ctx context.Context, address string, above uint64) (version, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	client, err := p.client(address)
	if err != nil {
		return version{}, err
	}
	reply, err := client.State(ctx, &pb.StateRequest{Above: above})
	if err != nil {
		return version{}, failure.At("fetch configuration", address, err)
	}
	if reply.GetBusy() {
		return version{}, failure.At("fetch configuration", address, errBusy)
	}
	got := version{number: reply.GetVersion(), hash: reply.GetHash()}
	if len(reply.GetContent()) == 0 {
		return got, nil
	}
	if got.content, err = decompress(reply.GetContent()); err == nil {
		err = verifyHash(got.content, got.hash)
	}
	if err == nil {
		_, err = p.parsedSet(got.hash, got.content)
	}
	return got, failure.At("fetch configuration", address, err)
}

// Register adds the Publish service to the server for peers.
func (p *Publisher) Register(s grpc.ServiceRegistrar) {
	pb.RegisterPublishServer(s, &service{p: p})
}

// service implements the Publish service for other daemons.
type service struct {
	pb.UnimplementedPublishServer
	p *Publisher
}

// Stage implements pb.PublishServer.
func (s *service) Stage(ctx context.Context, r *pb.StageRequest) (*pb.StageReply, error) {
	var reply *pb.StageReply
	err := s.p.do(ctx, func(now time.Time, m *Machine) { reply = m.Stage(now, r) })
	if err != nil {
		return nil, failure.At("stage candidate", r.GetFrom(), err)
	}
	return reply, nil
}

// State implements pb.PublishServer.
func (s *service) State(ctx context.Context, r *pb.StateRequest) (*pb.StateReply, error) {
	var inForce version
	if err := s.p.opts.Loop.Do(ctx, func(time.Time) { inForce = s.p.machine.Offer() }); err != nil {
		return nil, failure.At("read configuration", "", err)
	}
	return s.p.states.reply(inForce, r.GetAbove()), nil
}
