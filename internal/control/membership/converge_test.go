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

// network is a fleet of machines whose messages arrive at once or not at all.
type network struct {
	now     time.Time
	nodes   map[string]*machine
	paused  map[string]bool
	cut     map[string]bool // data centre that no message crosses
	loss    float64
	rand    *rand.Rand
	listing []backing.ListedVM
}

func newNetwork(size, centres int, seed uint64) *network {
	n := &network{
		now: start, nodes: map[string]*machine{}, paused: map[string]bool{}, cut: map[string]bool{},
		rand: rand.New(rand.NewPCG(seed, 1)),
	}
	for i := range size {
		n.listing = append(n.listing, backing.ListedVM{
			Name: fmt.Sprintf("vm-%02d", i), PeerAddress: "x", DataCentre: fmt.Sprintf("dc-%d", i%centres),
		})
	}
	for _, vm := range n.listing {
		n.boot(vm)
	}
	return n
}

func (n *network) boot(vm backing.ListedVM) {
	self := fleet.VM{Name: vm.Name, PeerAddress: vm.PeerAddress, DataCentre: vm.DataCentre, Incarnation: uint64(n.now.UnixMilli())}
	opts := Options{Self: self, Seeds: n.listing, Recorder: event.Discard{}}
	opts.setDefaults(n.now)
	n.nodes[vm.Name] = newMachine(opts, n.now)
}

// reach returns the machine called name when a message from one arrives there.
func (n *network) reach(from *machine, name string) *machine {
	to := n.nodes[name]
	if to == nil || n.paused[name] || n.rand.Float64() < n.loss {
		return nil
	}
	centre := to.self.DataCentre
	if centre != from.self.DataCentre && (n.cut[centre] || n.cut[from.self.DataCentre]) {
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
	from.probed(n.now, p.target.Name, ok)
}

func (n *network) sync(from *machine) {
	vm, differs := from.partner()
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
			from.learn(n.now, u, false)
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
		for _, vm := range n.listing {
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

// fault is one step of a history.
type fault struct{ kind, vm, periods int }

func (n *network) strike(f fault) {
	vm := n.listing[f.vm%len(n.listing)]
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
		n.cut[vm.DataCentre] = true
	case 5:
		delete(n.cut, vm.DataCentre)
	case 6:
		n.loss = 0.3
	case 7:
		if m := n.nodes[vm.Name]; m != nil {
			m.leave()
		}
	}
	n.run(f.periods)
}

// settle ends all faults but crashes and gives the fleet time.
func (n *network) settle() {
	n.loss = 0
	clear(n.paused)
	clear(n.cut)
	n.run(150)
}

// wrong names a daemon's view that does not match the truth.
func (n *network) wrong() string {
	for _, observer := range n.listing {
		m := n.nodes[observer.Name]
		if m == nil {
			continue
		}
		for _, vm := range m.view().VMs {
			want := fleet.Dead
			if truth := n.nodes[vm.Name]; truth != nil {
				want = truth.self.State
			}
			if vm.State != want {
				return fmt.Sprintf("%s holds %s as %v, not %v", observer.Name, vm.Name, vm.State, want)
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
	properties.Property("once faults end, every view is true", prop.ForAll(
		func(faults []fault, size, centres int, seed uint64) string {
			n := newNetwork(size, centres, seed)
			for _, f := range faults {
				n.strike(f)
			}
			n.settle()
			return n.wrong()
		},
		genFaults(), gen.IntRange(2, 15), gen.IntRange(1, 3), gen.UInt64(),
	))
	properties.TestingRun(t)
}

func TestOneDeathIsNoticedWithoutFalseAlarm(t *testing.T) {
	n := newNetwork(40, 3, 7)
	n.run(30)
	n.nodes["vm-05"] = nil
	n.run(40)
	if wrong := n.wrong(); wrong != "" {
		t.Error(wrong)
	}
}

// Each fault alone and each ordered pair, at fixed VMs of two data centres.
func TestFaultsAloneAndInPairs(t *testing.T) {
	names := []string{"crash", "restart", "pause", "resume", "cut off", "join again", "loss", "leave"}
	strike := func(t *testing.T, faults ...fault) {
		n := newNetwork(9, 2, 11)
		n.run(5)
		for _, f := range faults {
			n.strike(f)
		}
		n.settle()
		if wrong := n.wrong(); wrong != "" {
			t.Error(wrong)
		}
	}
	for first := range names {
		t.Run(names[first], func(t *testing.T) { strike(t, fault{first, 3, 10}) })
		for second := range names {
			for _, vm := range []int{3, 4} { // the same VM and one of the other data centre
				t.Run(fmt.Sprintf("%s, then %s at %d", names[first], names[second], vm), func(t *testing.T) {
					strike(t, fault{first, 3, 4}, fault{second, vm, 10})
				})
			}
		}
	}
}
