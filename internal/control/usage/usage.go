// Package usage aggregates each workspace's use over the daemons of a site, so
// that limits apply to the whole site without a call per request. Each workspace
// is owned by one daemon, chosen by rendezvous hashing, which maintains its
// total. Daemons report only workspaces that were used since their last report.
//
// In a large site the daemons form a grid. A report goes along the row to the
// daemon in the owner's column, which adds the use to its own report. Each daemon
// thus sends to a number of others that grows with the square root of the site's
// size. A total is then two periods old on average, instead of one in a small
// site.
package usage

import (
	"context"
	"math/rand/v2"
	"time"

	"google.golang.org/grpc"

	"currantpulley/internal/control/loop"
	pb "currantpulley/internal/control/usage/usagepb"
	"currantpulley/internal/event"
	"currantpulley/internal/failure"
	"currantpulley/internal/fleet"
	"currantpulley/internal/peer"
)

const (
	defaultPeriod  = 2 * time.Second
	reportTimeout  = 500 * time.Millisecond
	jitterFraction = 0.2 // of the period, in either direction
)

// Use is a workspace's use at this daemon since the last report.
type Use struct {
	Workspace string
	Requests  float64
	Tokens    float64
}

// Total is a workspace's use per second over all daemons of the site, averaged
// over the last few seconds.
type Total struct {
	Workspace string
	Requests  float64
	Tokens    float64
}

// Options configures a Usage.
type Options struct {
	Loop     *loop.Loop
	Pool     *peer.Pool
	Self     string // name of this VM
	Recorder event.Recorder
	// Collect returns the use of the workspaces that were used since its last
	// call. It is called on the control goroutine.
	Collect func() []Use
	// Apply is called on the control goroutine with new totals.
	Apply  func([]Total)
	Period time.Duration // mean time between reports; 0: two seconds
}

// Usage reports use and collects totals. Its state is owned by the control
// goroutine.
type Usage struct {
	pb.UnimplementedUsageServer
	opts Options
	m    *machine
}

// ServiceName is the full name of the gRPC service.
const ServiceName = "currantpulley.usage.Usage"

// New returns a Usage without daemons or workspaces.
func New(opts Options) *Usage {
	if opts.Period <= 0 {
		opts.Period = defaultPeriod
	}
	if opts.Recorder == nil {
		opts.Recorder = event.Discard{}
	}
	return &Usage{opts: opts, m: newMachine(opts.Self)}
}

// Register registers the gRPC service with server.
func (u *Usage) Register(server *grpc.Server) { pb.RegisterUsageServer(server, u) }

// SetView sets the view of the fleet. It must be called on the control goroutine.
func (u *Usage) SetView(view fleet.View) { u.m.setView(view) }

// SetWorkspaces sets the names of the workspaces of the configuration in force.
// It must be called on the control goroutine.
func (u *Usage) SetWorkspaces(names []string) { u.m.setWorkspaces(names) }

// Run reports use once per period, with jitter, until ctx ends.
func (u *Usage) Run(ctx context.Context) {
	for {
		factor := 1 + jitterFraction*(2*rand.Float64()-1)
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(float64(u.opts.Period) * factor)):
			u.report(ctx)
		}
	}
}

// report collects the use since the last report and sends it.
func (u *Usage) report(ctx context.Context) {
	var reports []message
	err := u.opts.Loop.Do(ctx, func(now time.Time) {
		var totals []Total
		reports, totals = u.m.collect(now, u.opts.Collect())
		u.apply(totals)
	})
	if err != nil {
		return
	}
	for _, r := range reports {
		go u.send(ctx, r)
	}
}

// apply passes on totals unless there are none.
func (u *Usage) apply(totals []Total) {
	if len(totals) > 0 {
		u.opts.Apply(totals)
	}
}

// send sends one report and applies the reply.
func (u *Usage) send(ctx context.Context, r message) {
	reply, err := u.call(ctx, r)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		u.opts.Recorder.Record(event.Event{ID: event.UsageReportFailed, Peer: r.vm.Name, Step: "report use", Err: err})
	}
	u.opts.Loop.Post(func(now time.Time) {
		if err != nil {
			u.m.requeue(r)
			return
		}
		u.apply(u.m.handleReply(now, r, reply))
	})
}

func (u *Usage) call(ctx context.Context, r message) (*pb.ReportReply, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	conn, err := u.opts.Pool.Conn(r.vm.PeerAddress)
	if err != nil {
		return nil, err
	}
	reply, err := pb.NewUsageClient(conn).Report(ctx, r.request)
	return reply, failure.At("report use", r.vm.Name, err)
}

// Report applies a peer's report and returns the last known totals.
func (u *Usage) Report(ctx context.Context, req *pb.ReportRequest) (*pb.ReportReply, error) {
	var reply *pb.ReportReply
	err := u.opts.Loop.Do(ctx, func(now time.Time) { reply = u.m.receive(now, req) })
	return reply, err
}
