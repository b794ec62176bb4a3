package branches

import (
	"fmt"
	"slices"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"currantpulley/internal/fleet"
	"currantpulley/internal/placement/branches"
)

// site returns the machines of n daemons of one site and of one daemon of another
// site.
func site(n int) map[string]*machine {
	var vms []fleet.VM
	for i := range n {
		vms = append(vms, fleet.VM{Name: fmt.Sprintf("vm-%03d", i), Site: "atlas"})
	}
	vms = append(vms, fleet.VM{Name: "vm-other-site", Site: "indus"})
	machines := make(map[string]*machine)
	for _, vm := range vms {
		m := &machine{}
		m.setView(fleet.View{Self: vm.Name, VMs: vms})
		machines[vm.Name] = m
	}
	return machines
}

func TestEveryDaemonOfTheSiteGetsEachFact(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("each daemon of the site gets the fact within the tree's depth, and no other daemon does", prop.ForAll(func(n, origin int) bool {
		machines := site(n)
		received := map[string]int{}
		from := fmt.Sprintf("vm-%03d", origin%n)
		newFacts := map[string][]branches.Fact{from: {{Piece: 7}}}
		for range 10 { // periods
			var sent []message
			for name, m := range machines {
				sent = append(sent, m.messages(newFacts[name])...)
			}
			newFacts = nil
			for _, msg := range sent {
				if machines[msg.vm.Name].receive("atlas", msg.level, msg.facts) {
					received[msg.vm.Name]++
				}
			}
		}
		for name := range machines {
			if name != from && (received[name] > 0) != (name != "vm-other-site") {
				return false
			}
		}
		return received["vm-other-site"] == 0
	}, gen.IntRange(1, 450), gen.IntRange(0, 1000)))
	properties.TestingRun(t)
}

func TestBranchesOfOtherSitesAreIgnored(t *testing.T) {
	m := site(2)["vm-000"]
	if m.receive("indus", 0, []branches.Fact{{Piece: 1}}) || m.receive("", 0, []branches.Fact{{Piece: 1}}) {
		t.Error("accepted branches of another site")
	}
}

func TestDaemonSendsToFewOthersInALargeSite(t *testing.T) {
	m := site(440)["vm-123"]
	facts := []branches.Fact{{Piece: 1, Next: 2}, {Piece: 2}}
	messages := m.messages(facts)
	if len(messages) > 9 {
		t.Errorf("%d messages, want at most one for each level of the tree", len(messages))
	}
	for _, msg := range messages {
		if !slices.Equal(msg.facts, facts) {
			t.Errorf("%s gets %v", msg.vm.Name, msg.facts)
		}
	}
	if again := m.messages(nil); len(again) != 0 {
		t.Errorf("%d messages without new facts", len(again))
	}
}
