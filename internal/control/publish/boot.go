package publish

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	pb "currantpulley/internal/control/publish/publishpb"
	"currantpulley/internal/fleet"
)

const (
	bootJitter   = 50 * time.Millisecond  // maximum delay before the first request
	bootInterval = 100 * time.Millisecond // mean time between two rounds
	bootTimeout  = 400 * time.Millisecond // for one request
	bootParallel = 2                      // peers asked in parallel

	transferRate  = 20 // transfers per second
	transferBurst = 4
)

// stateServer answers state requests of other daemons. It limits the rate of
// transfers, because a whole fleet may boot at once, and caches the compressed
// content.
type stateServer struct {
	limit *rate.Limiter

	mu      sync.Mutex
	version uint64
	data    []byte // compressed content of version, cached
}

func newStateServer() *stateServer {
	return &stateServer{limit: rate.NewLimiter(transferRate, transferBurst)}
}

func (s *stateServer) reply(inForce version, above uint64) *pb.StateReply {
	reply := &pb.StateReply{Version: inForce.number, Hash: inForce.hash}
	if inForce.number <= above {
		return reply
	}
	if !s.limit.Allow() {
		return &pb.StateReply{Busy: true}
	}
	reply.Content = s.compressed(inForce)
	return reply
}

func (s *stateServer) compressed(inForce version) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.version != inForce.number {
		s.version, s.data = inForce.number, compress(inForce.content)
	}
	return s.data
}

// boot asks peers for the configuration in force until one is applied, from a
// peer or from the log. Because the whole fleet may start at once, peers are
// asked in random order, those of the own data centre first, and each peer
// limits the rate of its transfers.
func (p *Publisher) boot(ctx context.Context) error {
	wait := rand.N(bootJitter)
	for {
		if !sleep(ctx, wait) {
			return nil
		}
		var view fleet.View
		done := false
		err := p.opts.Loop.Do(ctx, func(time.Time) {
			view = p.opts.View()
			done = p.machine.Version() > 0
		})
		if err != nil || done || p.bootRound(ctx, view) {
			return nil
		}
		wait = bootInterval/2 + rand.N(bootInterval)
	}
}

// sleep waits for d and reports false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// bootRound asks bootParallel peers and reports whether any returned a
// configuration. The machine applies the highest version.
func (p *Publisher) bootRound(ctx context.Context, view fleet.View) bool {
	peers := bootPeers(view)
	peers = peers[:min(len(peers), bootParallel)]
	var wg sync.WaitGroup
	got := make([]version, len(peers))
	for i, vm := range peers {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, bootTimeout)
			defer cancel()
			if v, err := p.requestState(ctx, vm.PeerAddress, 0); err == nil {
				got[i] = v
			}
		})
	}
	wg.Wait()
	found := false
	for i, v := range got {
		if v.content != nil {
			found = true
			p.postFetched(peers[i].Name, v)
		}
	}
	return found
}

// bootPeers returns the peers that are not dead in random order, those of the
// own data centre first. In half of the rounds one of the first bootParallel
// peers is from another data centre.
func bootPeers(view fleet.View) []fleet.VM {
	self, _ := view.Find(view.Self)
	var near, far []fleet.VM
	for _, vm := range view.VMs {
		switch {
		case vm.Name == view.Self || vm.State == fleet.Dead:
		case vm.DataCentre == self.DataCentre:
			near = append(near, vm)
		default:
			far = append(far, vm)
		}
	}
	shuffle := func(vms []fleet.VM) {
		rand.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
	}
	shuffle(near)
	shuffle(far)
	if len(near) > bootParallel-1 && len(far) > 0 && rand.N(2) == 0 {
		// The peers of the own data centre may all have just started and
		// have no version.
		near = append(near[:bootParallel-1:bootParallel-1], append(far[:1:1], near[bootParallel-1:]...)...)
	}
	return append(near, far...)
}
