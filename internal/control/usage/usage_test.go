package usage

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"currantpulley/internal/control/loop"
	pb "currantpulley/internal/control/usage/usagepb"
	"currantpulley/internal/fake/property"
	"currantpulley/internal/fleet"
	"currantpulley/internal/peer"
)

const waitTimeout = 20 * time.Second

var start = time.Unix(1_700_000_000, 0)

// site returns the VMs of a site; address returns the address of the i-th.
func site(daemons int, address func(int) string) []fleet.VM {
	var vms []fleet.VM
	for i := range daemons {
		vms = append(vms, fleet.VM{Name: fmt.Sprintf("vm-%03d", i), Site: "s", PeerAddress: address(i)})
	}
	return vms
}

func workspaces(n int) []string {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("workspace-%d", i))
	}
	return names
}

// machines returns the machines of all daemons of a site.
func machines(daemons, workspaceCount int) map[string]*machine {
	out := map[string]*machine{}
	vms := site(daemons, func(int) string { return "" })
	for _, vm := range vms {
		m := newMachine(vm.Name)
		m.setView(fleet.View{Self: vm.Name, VMs: vms})
		m.setWorkspaces(workspaces(workspaceCount))
		out[vm.Name] = m
	}
	return out
}

// round lets every daemon report once and returns the totals that each daemon
// got. The share loss of the messages is lost before it arrives.
func round(now time.Time, all map[string]*machine, uses []Use, loss float64, r *rand.Rand) map[string]map[string]Total {
	received := map[string]map[string]Total{}
	for name, m := range all {
		reports, totals := m.collect(now, uses)
		for _, rep := range reports {
			if r.Float64() < loss {
				m.requeue(rep)
				continue
			}
			totals = append(totals, m.handleReply(now, rep, all[rep.vm.Name].receive(now, rep.request))...)
		}
		received[name] = map[string]Total{}
		for _, total := range totals {
			received[name][total.Workspace] = total
		}
	}
	return received
}

func TestTotalsAreAccurateAtEveryDaemon(t *testing.T) {
	properties := gopter.NewProperties(property.Parameters(25))
	properties.Property("totals of constant use are accurate to 25%, also after message loss", prop.ForAll(
		func(daemons, workspaceCount int, lossShare float64, seed uint64) string {
			r := rand.New(rand.NewPCG(seed, 3))
			all := machines(daemons, workspaceCount)
			var uses []Use
			for i, name := range workspaces(workspaceCount) {
				uses = append(uses, Use{name, float64(1 + i), float64(100 * (1 + i))})
			}
			var received map[string]map[string]Total
			now := start
			for i := range 40 {
				now = now.Add(time.Second)
				loss := lossShare
				if i > 15 {
					loss = 0
				}
				received = round(now, all, uses, loss, r)
			}
			// factor is the average of one use per second, read right after it was
			// counted. A daemon that reports early in a round gets totals without
			// the others' use of that round, hence the tolerance.
			factor := 1 / (1 - math.Exp(-1/averagingTime.Seconds())) / averagingTime.Seconds()
			for name, totals := range received {
				for i, workspace := range workspaces(workspaceCount) {
					want := float64((1+i)*daemons) * factor
					got := totals[workspace].Requests
					if math.Abs(got-want) > 0.25*want {
						return fmt.Sprintf("%s has %s at %.2f requests/s, want %.2f", name, workspace, got, want)
					}
				}
			}
			return ""
		},
		gen.IntRange(1, 40), gen.IntRange(1, 8), gen.Float64Range(0, 0.5), gen.UInt64(),
	))
	properties.TestingRun(t)
}

func TestReportsGrowWithTheSquareRoot(t *testing.T) {
	for _, c := range []struct{ daemons, peersMax int }{{3, 3}, {16, 15}, {63, 8}, {100, 10}, {440, 21}} {
		all := machines(c.daemons, 2000)
		var uses []Use
		for _, name := range workspaces(2000) {
			uses = append(uses, Use{name, 1, 1})
		}
		reports, _ := all["vm-000"].collect(start, uses)
		// The last row may be incomplete. Reports to its missing places go
		// directly to the owners.
		if limit := c.peersMax + c.daemons/8; len(reports) > limit {
			t.Errorf("%d daemons: %d reports, want at most %d", c.daemons, len(reports), limit)
		}
	}
}

func TestInvalidReportsAreNotCounted(t *testing.T) {
	cases := []struct {
		name    string
		corrupt func(*pb.ReportRequest)
	}{
		{"of another site", func(r *pb.ReportRequest) { r.Site = "other" }},
		{"of another list of workspaces", func(r *pb.ReportRequest) { r.Dictionary++ }},
		{"with a short column", func(r *pb.ReportRequest) { r.Tokens = nil }},
		{"with an unknown workspace", func(r *pb.ReportRequest) { r.Step[0] = 99 }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := machines(2, 3)["vm-000"]
			req := m.report(1, true, map[uint32]amount{1: {2, 3}}).request
			c.corrupt(req)
			m.receive(start, req)
			if len(m.owned) > 0 {
				t.Error("an invalid report was counted")
			}
		})
	}
}

func TestWorkspacesChangeBetweenReports(t *testing.T) {
	m := newMachine("vm-000")
	m.setWorkspaces([]string{"b", "c"})
	m.collect(start, []Use{{"b", 1, 0}, {"c", 2, 0}}) // not sent, as the site is not known yet
	m.setWorkspaces([]string{"a", "c"})
	if len(m.pending) != 1 || m.pending[m.indexOf["c"]].requests != 2 {
		t.Errorf("pending is %v, want the use of workspace c only", m.pending)
	}
}

func TestDaemonsOverLoopback(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	const daemons = 3
	var servers []*peer.Server
	for range daemons {
		server, err := peer.Listen("127.0.0.1:0", nil)
		if err != nil {
			t.Fatal(err)
		}
		servers = append(servers, server)
	}
	vms := site(daemons, func(i int) string { return servers[i].Address() })
	received := make(chan Total, 1024)
	for i, server := range servers {
		controlLoop := loop.New()
		pool := peer.NewPool(nil)
		defer pool.Close()
		u := New(Options{
			Loop: controlLoop, Pool: pool, Self: vms[i].Name, Period: 20 * time.Millisecond,
			Collect: func() []Use { return []Use{{"workspace-0", 1, 10}} },
			Apply: func(totals []Total) {
				for _, total := range totals {
					received <- total
				}
			},
		})
		u.Register(server.Server)
		controlLoop.Post(func(time.Time) {
			u.SetView(fleet.View{Self: vms[i].Name, VMs: vms})
			u.SetWorkspaces(workspaces(2))
		})
		go controlLoop.Run(ctx)
		go func() { _ = server.Run(ctx) }()
		go u.Run(ctx)
	}
	deadline := time.After(waitTimeout)
	for seen := 0.0; seen < 2; { // ten uses of one request within the averaging time of 5 s
		select {
		case total := <-received:
			seen = max(seen, total.Requests)
		case <-deadline:
			t.Fatal("the use of the daemons was not aggregated")
		}
	}
}
