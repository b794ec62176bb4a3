package loads

import (
	"context"
	"math/rand/v2"
	"time"

	"google.golang.org/grpc"

	"currantpulley/internal/config"
	"currantpulley/internal/control/broadcast"
	pb "currantpulley/internal/control/loads/loadspb"
	"currantpulley/internal/event"
	"currantpulley/internal/failure"
	"currantpulley/internal/fleet"
)

const (
	pollTick    = 100 * time.Millisecond
	pushTimeout = 500 * time.Millisecond
)

// Loads polls engines and exchanges their states with the other daemons of the
// site. Its state is owned by the control goroutine.
type Loads struct {
	pb.UnimplementedLoadsServer
	opts Options
	m    *machine
	ctx  context.Context // of Run; for work that outlasts the call that started it
}

// ServiceName is the full name of the gRPC service.
const ServiceName = "currantpulley.loads.Loads"

// New returns a Loads without daemons or engines.
func New(opts Options) *Loads {
	opts.setDefaults()
	return &Loads{opts: opts, m: newMachine(opts), ctx: context.Background()}
}

// Register registers the gRPC service with server.
func (l *Loads) Register(server *grpc.Server) { pb.RegisterLoadsServer(server, l) }

// SetView sets the view of the fleet. It must be called on the control goroutine.
func (l *Loads) SetView(view fleet.View) { l.m.setView(view) }

// SetUpstreams sets the upstreams of the configuration in force. It must be
// called on the control goroutine.
func (l *Loads) SetUpstreams(now time.Time, upstreams map[string]*config.Upstream) {
	l.m.setUpstreams(upstreams)
	l.publish(now)
}

// Run polls the engines that this daemon owns and broadcasts their states until
// ctx ends.
func (l *Loads) Run(ctx context.Context) {
	if l.opts.Loop.Do(ctx, func(time.Time) { l.ctx = ctx }) != nil {
		return
	}
	l.opts.Loop.Every(ctx, pollTick, func(now time.Time) {
		for _, u := range l.m.duePolls(now) {
			go l.poll(ctx, u)
		}
		l.publish(now)
	})
	go l.runPull(ctx)
	l.runCycle(ctx)
}

// publish calls OnUpdate if any state changed. It must be called on the control
// goroutine.
func (l *Loads) publish(now time.Time) {
	if !l.m.changed {
		return
	}
	l.m.changed = false
	l.opts.OnUpdate(l.m.states(now))
}

// poll polls one engine and broadcasts its state at once if the result is
// urgent.
func (l *Loads) poll(ctx context.Context, u *config.Upstream) {
	bounded, cancel := context.WithTimeout(ctx, l.opts.PollTimeout)
	report, err := l.opts.Poller.Poll(bounded, u)
	cancel()
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		l.opts.Recorder.Record(event.Event{ID: event.UpstreamPollFailed, Upstream: u.Name, Step: "poll", Err: err})
	}
	l.opts.Loop.Post(func(now time.Time) {
		if l.m.recordPoll(now, u.Name, report, err) {
			l.forward(l.m.urgentMessages([]string{u.Name}, 0))
			l.publish(now)
		}
	})
}

// forward sends messages without waiting for the answers.
func (l *Loads) forward(messages []message) {
	for _, msg := range messages {
		go l.send(l.ctx, msg)
	}
}

// runCycle flushes the levels of the tree one after the other. The wall clock
// decides which level is next, so that daemons with similar clocks flush the
// same level at the same time and a change passes through the whole tree in one
// cycle. If the clocks differ it takes more cycles.
func (l *Loads) runCycle(ctx context.Context) {
	for {
		var msg message
		var due bool
		var levels int
		err := l.opts.Loop.Do(ctx, func(now time.Time) {
			levels = len(broadcast.Offsets(l.m.ring.Len()))
			if levels > 0 {
				msg, due = l.m.flush(levelAt(now, l.opts.Cycle, levels))
			}
		})
		if err != nil {
			return
		}
		if due {
			go l.send(ctx, msg)
		}
		if !sleep(ctx, untilNextSlot(time.Now(), l.opts.Cycle/time.Duration(max(levels, 1)))) {
			return
		}
	}
}

// levelAt returns the level of the tree to flush at the given time.
func levelAt(now time.Time, cycle time.Duration, levels int) int {
	slot := cycle / time.Duration(levels)
	return int(now.UnixNano() / int64(slot) % int64(levels))
}

// untilNextSlot returns the time until the next level is due.
func untilNextSlot(now time.Time, slot time.Duration) time.Duration {
	return slot - time.Duration(now.UnixNano()%int64(slot))
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

// send delivers a message to its hop or, if that fails, to the next VM of the
// ring, which covers the same part of the tree.
func (l *Loads) send(ctx context.Context, msg message) {
	err := l.push(ctx, msg.hop.VM, msg.batch)
	if err == nil || ctx.Err() != nil {
		return
	}
	l.opts.Recorder.Record(event.Event{ID: event.LoadSpreadFailed, Peer: msg.hop.VM.Name, Step: "push loads", Err: err})
	var fallback fleet.VM
	var ok bool
	if l.opts.Loop.Do(ctx, func(time.Time) { fallback, ok = l.m.ring.Fallback(msg.hop) }) != nil || !ok {
		return
	}
	_ = l.push(ctx, fallback, msg.batch) // after another failure the next refresh or pull delivers the states
}

// push sends a batch to vm, and then the full states that vm asks for.
func (l *Loads) push(ctx context.Context, vm fleet.VM, batch *pb.Batch) error {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	conn, err := l.opts.Pool.Conn(vm.PeerAddress)
	if err != nil {
		return err
	}
	client := pb.NewLoadsClient(conn)
	for batch != nil {
		reply, err := client.Push(ctx, batch)
		if err != nil {
			return failure.At("push loads", vm.Name, err)
		}
		sent := batch
		batch = nil
		if len(reply.GetWanted())+len(reply.GetNewer()) == 0 {
			return nil
		}
		err = l.opts.Loop.Do(ctx, func(now time.Time) {
			batch = l.m.handleReply(now, sent, reply)
			l.publish(now)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// Push applies a batch from a peer and forwards urgent changes at once.
func (l *Loads) Push(ctx context.Context, batch *pb.Batch) (*pb.PushReply, error) {
	var reply *pb.PushReply
	err := l.opts.Loop.Do(ctx, func(now time.Time) {
		var urgent []string
		reply, urgent = l.m.receive(now, batch)
		if len(urgent) > 0 {
			l.forward(l.m.urgentMessages(urgent, int(batch.GetLevel())))
			l.publish(now)
		}
	})
	return reply, err
}

// Pull answers a peer with the states that are newer here.
func (l *Loads) Pull(ctx context.Context, req *pb.PullRequest) (*pb.PullReply, error) {
	var reply *pb.PullReply
	err := l.opts.Loop.Do(ctx, func(time.Time) { reply = l.m.answerPull(req) })
	return reply, err
}

// runPull pulls newer states from one random neighbour at a time: half a cycle
// after the start, then at a low rate.
func (l *Loads) runPull(ctx context.Context) {
	for wait := l.opts.Cycle / 2; sleep(ctx, wait); {
		var hops []broadcast.Hop
		var req *pb.PullRequest
		err := l.opts.Loop.Do(ctx, func(time.Time) { hops, req = l.m.ring.Hops(0), l.m.pull() })
		if err != nil {
			return
		}
		if len(hops) == 0 || req.GetSite() == "" || len(req.GetSequence()) == 0 {
			continue
		}
		l.pull(ctx, hops[rand.IntN(len(hops))].VM, req)
		wait = time.Duration(float64(l.opts.PullPeriod) * (0.8 + 0.4*rand.Float64()))
	}
}

// pull asks vm for the states that are newer there and applies them.
func (l *Loads) pull(ctx context.Context, vm fleet.VM, req *pb.PullRequest) {
	bounded, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	conn, err := l.opts.Pool.Conn(vm.PeerAddress)
	if err != nil {
		return
	}
	reply, err := pb.NewLoadsClient(conn).Pull(bounded, req)
	if err != nil {
		l.opts.Recorder.Record(event.Event{ID: event.LoadSpreadFailed, Peer: vm.Name, Step: "pull loads", Err: err})
		return
	}
	l.opts.Loop.Post(func(now time.Time) {
		l.m.receiveStates(now, reply.GetStates())
		l.publish(now)
	})
}
