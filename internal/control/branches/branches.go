// Package branches distributes the branches of the prefix tree among the daemons
// of a site. A branch is a piece after which prompts diverge; branches decide
// which owners a prompt has. Daemons send facts: that one piece follows another,
// or that a piece is a branch. Each fact is sent once, so there is no traffic
// while a site sees only known prompts. A lost message costs only cache hits, and
// periodic pulls from other daemons repair the loss.
package branches

import (
	"context"
	"math/rand/v2"
	"time"

	"google.golang.org/grpc"

	pb "currantpulley/internal/control/branches/branchespb"
	"currantpulley/internal/control/loop"
	"currantpulley/internal/event"
	"currantpulley/internal/failure"
	"currantpulley/internal/fleet"
	"currantpulley/internal/peer"
	"currantpulley/internal/placement/branches"
)

const (
	period          = 250 * time.Millisecond
	treePeriod      = 4 * time.Second // in a site that uses the broadcast tree
	callTimeout     = 500 * time.Millisecond
	pullPeriod      = time.Minute // mean time between pulls
	maxPullBranches = 2048        // branches in one reply, 16 KB
	pullRetry       = 200 * time.Millisecond
	pullTries       = 10 // attempts at the start
)

// Options configures a Branches.
type Options struct {
	Loop           *loop.Loop
	Pool           *peer.Pool
	Recorder       event.Recorder
	NewFacts       func(limit int) []branches.Fact // learnt on this daemon since the last call
	RecentBranches func(limit int) []branches.Fact // the branches that were used last
	MergeFacts     func([]branches.Fact)           // adds facts learnt by other daemons
}

// Branches sends and receives facts. Its state is owned by the control goroutine.
type Branches struct {
	pb.UnimplementedBranchesServer
	opts Options
	m    machine
}

// New returns a Branches without other daemons.
func New(opts Options) *Branches { return &Branches{opts: opts} }

// Register registers the gRPC service with server.
func (b *Branches) Register(server *grpc.Server) { pb.RegisterBranchesServer(server, b) }

// SetView sets the view of the fleet. It must be called on the control goroutine.
func (b *Branches) SetView(view fleet.View) { b.m.setView(view) }

// Run sends new facts and pulls branches until ctx ends.
func (b *Branches) Run(ctx context.Context) {
	go b.runPull(ctx)
	for {
		wait := period
		err := b.opts.Loop.Do(ctx, func(time.Time) {
			for _, msg := range b.m.messages(b.opts.NewFacts(b.m.budget())) {
				go b.send(ctx, b.m.site, msg)
			}
			if !b.m.direct() {
				wait = treePeriod
			}
		})
		if err != nil || !sleep(ctx, wait) {
			return
		}
	}
}

// send sends one message and records an event if that fails.
func (b *Branches) send(ctx context.Context, site string, msg message) {
	err := b.call(ctx, msg.vm, func(ctx context.Context, c pb.BranchesClient) error {
		req := &pb.TellRequest{Site: site, Level: uint32(msg.level)}
		req.Pieces, req.Next = columns(msg.facts)
		_, err := c.Tell(ctx, req)
		return failure.At("send branches", msg.vm.Name, err)
	})
	if err != nil && ctx.Err() == nil {
		b.opts.Recorder.Record(event.Event{ID: event.BranchesNotSent, Peer: msg.vm.Name, Step: "send branches", Err: err})
	}
}

// runPull pulls branches from a random daemon at the start and then once per
// pullPeriod.
func (b *Branches) runPull(ctx context.Context) {
	for range pullTries {
		if b.pull(ctx) {
			break
		}
		if !sleep(ctx, pullRetry) {
			return
		}
	}
	for sleep(ctx, pullPeriod/2+rand.N(pullPeriod)) {
		b.pull(ctx)
	}
}

// pull merges the branches that a random daemon of the site used last. It reports
// whether that succeeded.
func (b *Branches) pull(ctx context.Context) bool {
	var vms []fleet.VM
	var site string
	if b.opts.Loop.Do(ctx, func(time.Time) { vms, site = b.m.vms, b.m.site }) != nil || len(vms) == 0 {
		return false
	}
	vm := vms[rand.IntN(len(vms))]
	err := b.call(ctx, vm, func(ctx context.Context, c pb.BranchesClient) error {
		reply, err := c.Known(ctx, &pb.KnownRequest{Site: site, Most: maxPullBranches})
		if err == nil {
			b.opts.MergeFacts(facts(reply.GetPieces(), nil))
		}
		return failure.At("pull branches", vm.Name, err)
	})
	return err == nil
}

// call calls f with a client for vm.
func (b *Branches) call(ctx context.Context, vm fleet.VM, f func(context.Context, pb.BranchesClient) error) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, err := b.opts.Pool.Conn(vm.PeerAddress)
	if err != nil {
		return err
	}
	return f(ctx, pb.NewBranchesClient(conn))
}

// Tell merges facts from a peer of the same site.
func (b *Branches) Tell(ctx context.Context, req *pb.TellRequest) (*pb.TellReply, error) {
	sameSite := false
	received := facts(req.GetPieces(), req.GetNext())
	err := b.opts.Loop.Do(ctx, func(time.Time) {
		sameSite = b.m.receive(req.GetSite(), int(req.GetLevel()), received)
	})
	if sameSite {
		b.opts.MergeFacts(received)
	}
	return &pb.TellReply{}, err
}

// Known returns the branches that were used last on this daemon, to a peer of the
// same site.
func (b *Branches) Known(ctx context.Context, req *pb.KnownRequest) (*pb.KnownReply, error) {
	sameSite := false
	err := b.opts.Loop.Do(ctx, func(time.Time) { sameSite = req.GetSite() == b.m.site })
	if err != nil || !sameSite {
		return &pb.KnownReply{}, err
	}
	pieces, _ := columns(b.opts.RecentBranches(min(maxPullBranches, int(req.GetMost()))))
	return &pb.KnownReply{Pieces: pieces}, nil
}

// columns encodes facts as columns.
func columns(facts []branches.Fact) (pieces, next []uint64) {
	for _, f := range facts {
		pieces = append(pieces, f.Piece)
		next = append(next, f.Next)
	}
	return pieces, next
}

// facts decodes columns. A piece without an entry in next is a branch.
func facts(pieces, next []uint64) []branches.Fact {
	out := make([]branches.Fact, len(pieces))
	for i, p := range pieces {
		out[i].Piece = p
		if i < len(next) {
			out[i].Next = next[i]
		}
	}
	return out
}

// sleep waits for d and reports whether ctx is still valid.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
