package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"currantpulley/internal/backing"
	pb "currantpulley/internal/control/membership/membershippb"
	"currantpulley/internal/event"
	"currantpulley/internal/fake/property"
	"currantpulley/internal/fleet"
)

// network simulates a fleet of machines. Messages arrive immediately or are lost.
type network struct {
	now         time.Time
	nodes       map[string]*machine
	paused      map[string]bool
	partitioned map[string]bool // data centres that are cut off from the others
	loss        float64
	rand        *rand.Rand
	listed      []backing.ListedVM
}

func newNetwork(size, centres int, seed uint64) *network {
	n := &network{
		now: start, nodes: map[string]*machine{}, paused: map[string]bool{}, partitioned: map[string]bool{},
		rand: rand.New(rand.NewPCG(seed, 1)),
	}
	for i := range size {
		n.listed = append(n.listed, backing.ListedVM{
			Name: fmt.Sprintf("vm-%02d", i), PeerAddress: "x", DataCentre: fmt.Sprintf("dc-%d", i%centres),
		})
	}
	for _, vm := range n.listed {
		n.boot(vm)
	}
	return n
}

func (n *network) boot(vm backing.ListedVM) {
	self := fleet.VM{Name: vm.Name, PeerAddress: vm.PeerAddress, DataCentre: vm.DataCentre, Incarnation: uint64(n.now.UnixMilli())}
	opts := Options{Self: self, Seeds: n.listed, Recorder: event.Discard{}}
	opts.setDefaults(n.now)
	n.nodes[vm.Name] = newMachine(opts, n.now)
}

// reach returns the machine called name if a message from the given one arrives
// there, else nil.
func (n *network) reach(from *machine, name string) *machine {
	to := n.nodes[name]
	if to == nil || n.paused[name] || n.rand.Float64() < n.loss {
		return nil
	}
	centre := to.self.DataCentre
	if centre != from.self.DataCentre && (n.partitioned[centre] || n.partitioned[from.self.DataCentre]) {
		return nil
	}
	return to
}

func (n *network) exchange(from *machine, vm fleet.VM) bool {
	to := n.reach(from, vm.Name)
	if to == nil {
		return false
	}
	to.receive(n.now, from.gossip(vm.Name, vm.Incarnation))
	from.receive(n.now, to.gossip(from.self.Name, from.self.Incarnation))
	return true
}

func (n *network) probe(from *machine, p probe) {
	ok := n.exchange(from, p.target)
	for _, relay := range p.relays {
		via := n.reach(from, relay.Name)
		ok = ok || via != nil && n.exchange(via, p.target)
	}
	from.recordProbe(n.now, p.target.Name, ok)
}

func (n *network) sync(from *machine) {
	vm, differs := from.syncPartner()
	to := n.nodes[vm.Name]
	if !differs || n.reach(from, vm.Name) == nil {
		return
	}
	for after := ""; ; {
		entries, until := from.page(after)
		answer, next := to.answerSync(n.now, &pb.SyncRequest{
			Gossip: &pb.Gossip{From: from.self.Name}, After: after, Updates: entries, Until: until,
		})
		for _, u := range answer {
			from.applyUpdate(n.now, u, false)
		}
		if next == "" {
			return
		}
		after = next
	}
}

func (n *network) run(periods int) {
	for i := range periods {
		n.now = n.now.Add(defaultProbePeriod)
		for _, vm := range n.listed {
			m := n.nodes[vm.Name]
			if m == nil || n.paused[vm.Name] {
				continue
			}
			for _, p := range m.tick(n.now) {
				n.probe(m, p)
			}
			if i%5 == 0 {
				n.sync(m)
			}
		}
	}
}

// fault is one step of a fault sequence: the kind of fault, the VM it affects
// and the probe periods that follow.
type fault struct{ kind, vm, periods int }

// injectFault applies f and then runs the network.
func (n *network) injectFault(f fault) {
	vm := n.listed[f.vm%len(n.listed)]
	switch f.kind {
	case 0:
		n.nodes[vm.Name] = nil
	case 1:
		n.boot(vm)
	case 2:
		n.paused[vm.Name] = true
	case 3:
		n.paused[vm.Name] = false
	case 4:
		n.partitioned[vm.DataCentre] = true
	case 5:
		delete(n.partitioned, vm.DataCentre)
	case 6:
		n.loss = 0.3
	case 7:
		if m := n.nodes[vm.Name]; m != nil {
			m.leave()
		}
	}
	n.run(f.periods)
}

// heal ends all faults but crashes and runs the network long enough for the
// views to converge.
func (n *network) heal() {
	n.loss = 0
	clear(n.paused)
	clear(n.partitioned)
	n.run(150)
}

// mismatch describes an entry of a daemon's view that differs from the actual
// state; empty: there is none.
func (n *network) mismatch() string {
	for _, observer := range n.listed {
		m := n.nodes[observer.Name]
		if m == nil {
			continue
		}
		for _, vm := range m.view().VMs {
			want := fleet.Dead
			if actual := n.nodes[vm.Name]; actual != nil {
				want = actual.self.State
			}
			if vm.State != want {
				return fmt.Sprintf("%s regards %s as %v, want %v", observer.Name, vm.Name, vm.State, want)
			}
		}
	}
	return ""
}

func genFaults() gopter.Gen {
	one := gopter.CombineGens(gen.IntRange(0, 7), gen.IntRange(0, 99), gen.IntRange(0, 12)).Map(
		func(v []any) fault { return fault{v[0].(int), v[1].(int), v[2].(int)} })
	return gen.SliceOfN(8, one)
}

func TestViewsConverge(t *testing.T) {
	properties := gopter.NewProperties(property.Parameters(300))
	properties.Property("all views converge to the actual states once the faults have ended", prop.ForAll(
		func(faults []fault, size, centres int, seed uint64) string {
			n := newNetwork(size, centres, seed)
			for _, f := range faults {
				n.injectFault(f)
			}
			n.heal()
			return n.mismatch()
		},
		genFaults(), gen.IntRange(2, 15), gen.IntRange(1, 3), gen.UInt64(),
	))
	properties.TestingRun(t)
}

func TestDeathIsDetectedWithoutFalsePositives(t *testing.T) {
	n := newNetwork(40, 3, 7)
	n.run(30)
	n.nodes["vm-05"] = nil
	n.run(40)
	if mismatch := n.mismatch(); mismatch != "" {
		t.Error(mismatch)
	}
}

// TestFaultsAloneAndInPairs checks that views converge after each kind of fault
// and after each ordered pair, at fixed VMs of two data centres.
func TestFaultsAloneAndInPairs(t *testing.T) {
	names := []string{"crash", "restart", "pause", "resume", "partition", "heal", "loss", "leave"}
	injectFault := func(t *testing.T, faults ...fault) {
		n := newNetwork(9, 2, 11)
		n.run(5)
		for _, f := range faults {
			n.injectFault(f)
		}
		n.heal()
		if mismatch := n.mismatch(); mismatch != "" {
			t.Error(mismatch)
		}
	}
	for first := range names {
		t.Run(names[first], func(t *testing.T) { injectFault(t, fault{first, 3, 10}) })
		for second := range names {
			for _, vm := range []int{3, 4} { // the same VM, and one of the other data centre
				t.Run(fmt.Sprintf("%s, then %s at VM %d", names[first], names[second], vm), func(t *testing.T) {
					injectFault(t, fault{first, 3, 4}, fault{second, vm, 10})
				})
			}
		}
	}
}
