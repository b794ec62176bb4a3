package membership

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"currantpulley/internal/control/broadcast"
	pb "currantpulley/internal/control/membership/membershippb"
	"currantpulley/internal/event"
	"currantpulley/internal/fleet"
)

// Probe answers a peer's probe. It fails with FailedPrecondition if the probe
// was meant for another VM that had this address before.
func (s *Membership) Probe(ctx context.Context, req *pb.ProbeRequest) (*pb.ProbeReply, error) {
	if req.GetTarget() != s.opts.Self.Name {
		return nil, status.Errorf(codes.FailedPrecondition, "this is %s, not %s", s.opts.Self.Name, req.GetTarget())
	}
	reply := &pb.ProbeReply{}
	err := s.exchange(ctx, req.GetGossip(), func(_ time.Time, g *pb.Gossip) { reply.Gossip = g })
	return reply, err
}

// Relay probes a VM for a peer that got no answer from it.
func (s *Membership) Relay(ctx context.Context, req *pb.RelayRequest) (*pb.RelayReply, error) {
	target := fleet.VM{Name: req.GetTarget(), PeerAddress: req.GetTargetAddress()}
	reached := s.probeDirect(ctx, probe{target: target, timeout: s.opts.ProbeTimeout}) == nil
	reply := &pb.RelayReply{Reached: reached}
	err := s.exchange(ctx, req.GetGossip(), func(_ time.Time, g *pb.Gossip) { reply.Gossip = g })
	return reply, err
}

// Sync exchanges one page of the view with a peer.
func (s *Membership) Sync(ctx context.Context, req *pb.SyncRequest) (*pb.SyncReply, error) {
	reply := &pb.SyncReply{}
	err := s.exchange(ctx, req.GetGossip(), func(now time.Time, g *pb.Gossip) {
		reply.Gossip = g
		reply.Updates, reply.Next = s.m.answerSync(now, req)
	})
	return reply, err
}

// exchange applies a caller's gossip and builds the reply to it on the control
// goroutine.
func (s *Membership) exchange(ctx context.Context, in *pb.Gossip, build func(time.Time, *pb.Gossip)) error {
	s.lastContact.Store(time.Now().UnixNano())
	return s.opts.Loop.Do(ctx, func(now time.Time) {
		s.m.receive(now, in)
		build(now, s.m.gossip(in.GetFrom(), in.GetIncarnation()))
		s.publish()
	})
}

// Spread applies urgent updates and forwards the new ones down the broadcast
// tree.
func (s *Membership) Spread(ctx context.Context, req *pb.SpreadRequest) (*pb.SpreadReply, error) {
	s.lastContact.Store(time.Now().UnixNano())
	var applied []*pb.Update
	var ring broadcast.Ring
	err := s.opts.Loop.Do(ctx, func(now time.Time) {
		for _, u := range req.GetGossip().GetUpdates() {
			if s.m.applyGossip(now, u) {
				applied = append(applied, u)
			}
		}
		s.m.receive(now, req.GetGossip())
		ring = s.m.ring()
		s.publish()
	})
	if err != nil {
		return nil, err
	}
	if len(applied) > 0 {
		go s.forward(*s.ctx.Load(), ring, int(req.GetLevel()), applied)
	}
	return &pb.SpreadReply{}, nil
}

// forward sends updates to the hops of ring from level first on and waits for
// the answers.
func (s *Membership) forward(ctx context.Context, ring broadcast.Ring, first int, updates []*pb.Update) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	ring.Send(first, func(vm fleet.VM, level int) error {
		return s.sendSpread(ctx, vm, level, updates) // if this fails, piggybacked gossip still delivers them
	})
}

func (s *Membership) sendSpread(ctx context.Context, vm fleet.VM, level int, updates []*pb.Update) error {
	ctx, cancel := context.WithTimeout(ctx, s.opts.ProbeTimeout)
	defer cancel()
	client, gossip, err := s.prepareCall(ctx, vm)
	if err != nil {
		return err
	}
	gossip.Updates = updates
	_, err = client.Spread(ctx, &pb.SpreadRequest{Gossip: gossip, Level: uint32(level)})
	return err
}

// Leave sets this VM to leaving and broadcasts that to the fleet: in its own
// data centre by a broadcast tree, in each other one by trees that start at a
// few VMs there. It returns ctx's error, if any, once the VMs that this one
// calls directly have answered or ctx has ended.
func (s *Membership) Leave(ctx context.Context) error {
	var ring broadcast.Ring
	var cross []fleet.VM
	var updates []*pb.Update
	err := s.opts.Loop.Do(ctx, func(time.Time) {
		s.m.leave()
		s.m.replan()
		ring, cross = s.m.ring(), s.m.plan.cross
		updates = []*pb.Update{update(s.m.self)}
		s.publish()
	})
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	wg.Go(func() { s.forward(ctx, ring, 0, updates) })
	for _, vm := range cross {
		wg.Go(func() { _ = s.sendSpread(ctx, vm, 0, updates) })
	}
	wg.Wait()
	s.opts.Recorder.Record(event.Event{ID: event.LeaveAnnounced})
	return ctx.Err()
}
