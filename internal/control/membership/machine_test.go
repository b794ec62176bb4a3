package membership

import (
	"testing"
	"time"

	"currantpulley/internal/backing"
	pb "currantpulley/internal/control/membership/membershippb"
	"currantpulley/internal/event"
	"currantpulley/internal/fleet"
)

var start = time.Unix(1_700_000_000, 0)

type recorded struct{ ids []event.ID }

func (r *recorded) Record(e event.Event) { r.ids = append(r.ids, e.ID) }

func (r *recorded) has(id event.ID) bool {
	for _, got := range r.ids {
		if got == id {
			return true
		}
	}
	return false
}

func testMachine(name string, r event.Recorder) *machine {
	opts := Options{Self: fleet.VM{Name: name, DataCentre: "a", PeerAddress: name, Incarnation: 100}, Recorder: r}
	opts.setDefaults(start)
	return newMachine(opts, start)
}

func word(name string, incarnation uint64, state fleet.State) *pb.Update {
	return update(fleet.VM{Name: name, PeerAddress: name, DataCentre: "a", Incarnation: incarnation, State: state})
}

func TestPrecedenceOfUpdates(t *testing.T) {
	cases := []struct {
		name        string
		updates     []*pb.Update
		state       fleet.State
		incarnation uint64
	}{
		{"suspicion holds at the same incarnation", []*pb.Update{word("b", 5, fleet.Alive), word("b", 5, fleet.Suspect)}, fleet.Suspect, 5},
		{"a late alive does not undo it", []*pb.Update{word("b", 5, fleet.Suspect), word("b", 5, fleet.Alive)}, fleet.Suspect, 5},
		{"refutation does", []*pb.Update{word("b", 5, fleet.Suspect), word("b", 6, fleet.Alive)}, fleet.Alive, 6},
		{"refutation undoes death", []*pb.Update{word("b", 5, fleet.Alive), word("b", 5, fleet.Dead), word("b", 6, fleet.Alive)}, fleet.Alive, 6},
		{"leaving is not suspected", []*pb.Update{word("b", 5, fleet.Leaving), word("b", 5, fleet.Suspect)}, fleet.Leaving, 5},
		{"an older death is void", []*pb.Update{word("b", 5, fleet.Alive), word("b", 4, fleet.Dead)}, fleet.Alive, 5},
		{"a new life ends leaving", []*pb.Update{word("b", 5, fleet.Leaving), word("b", 900, fleet.Alive)}, fleet.Alive, 900},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := testMachine("self", event.Discard{})
			for _, u := range c.updates {
				m.apply(start, u)
			}
			vm, ok := m.view().Find("b")
			if !ok || vm.State != c.state || vm.Incarnation != c.incarnation {
				t.Errorf("got %v at %d, want %v at %d", vm.State, vm.Incarnation, c.state, c.incarnation)
			}
		})
	}
}

func TestSelfRefutes(t *testing.T) {
	cases := []struct {
		name        string
		leaving     bool
		update      *pb.Update
		incarnation uint64
		state       fleet.State
	}{
		{"suspected", false, word("self", 100, fleet.Suspect), 101, fleet.Alive},
		{"dead", false, word("self", 100, fleet.Dead), 101, fleet.Alive},
		{"an earlier life is ignored", false, word("self", 99, fleet.Dead), 100, fleet.Alive},
		{"a later life that the clock hid", false, word("self", 500, fleet.Alive), 501, fleet.Alive},
		{"called leaving by the list", false, word("self", 100, fleet.Leaving), 101, fleet.Alive},
		{"dead while leaving stays leaving", true, word("self", 101, fleet.Dead), 102, fleet.Leaving},
		{"its own leaving is no news", true, word("self", 101, fleet.Leaving), 101, fleet.Leaving},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := testMachine("self", event.Discard{})
			if c.leaving {
				m.leave()
			}
			m.apply(start, c.update)
			if m.self.Incarnation != c.incarnation || m.self.State != c.state {
				t.Errorf("got %v at %d, want %v at %d", m.self.State, m.self.Incarnation, c.state, c.incarnation)
			}
		})
	}
}

func TestPlatformListLags(t *testing.T) {
	listed := func(leaving bool) []backing.ListedVM {
		return []backing.ListedVM{{Name: "b", PeerAddress: "b", DataCentre: "a", Leaving: leaving}}
	}
	m := testMachine("self", event.Discard{})
	m.list(start, listed(false))
	if vm, ok := m.view().Find("b"); !ok || vm.State != fleet.Alive || vm.Incarnation != 0 {
		t.Fatalf("a listed VM must be in the view at once, got %+v", vm)
	}
	m.list(start, listed(true))
	if vm, _ := m.view().Find("b"); vm.State != fleet.Leaving {
		t.Errorf("a VM newly named as leaving is %v", vm.State)
	}
	m.apply(start, word("b", 7, fleet.Alive))
	m.list(start, listed(true))
	if vm, _ := m.view().Find("b"); vm.State != fleet.Alive {
		t.Errorf("the VM's own word must override the list, got %v", vm.State)
	}
	m.list(start, nil)
	if vm, _ := m.view().Find("b"); vm.State != fleet.Alive {
		t.Errorf("a VM that the list lost must stay, got %v", vm.State)
	}
}

func TestUnlistedDeadAreForgotten(t *testing.T) {
	m := testMachine("self", event.Discard{})
	m.apply(start, word("b", 5, fleet.Alive))
	m.apply(start, word("b", 5, fleet.Dead))
	m.expire(start.Add(m.opts.Forget - 1))
	if _, ok := m.view().Find("b"); !ok {
		t.Error("forgotten too early")
	}
	m.expire(start.Add(m.opts.Forget))
	if _, ok := m.view().Find("b"); ok {
		t.Error("never forgotten")
	}
}

func TestPauseKillsNobody(t *testing.T) {
	r := &recorded{}
	m := testMachine("self", r)
	m.apply(start, word("b", 5, fleet.Alive))
	m.probed(start, "b", false)
	m.tick(start.Add(time.Hour))
	if vm, _ := m.view().Find("b"); vm.State != fleet.Suspect {
		t.Errorf("after a pause of its own the daemon holds b as %v", vm.State)
	}
	if !r.has(event.ProcessPaused) {
		t.Error("the pause was not recorded")
	}
	now := start.Add(time.Hour)
	for range 40 {
		now = now.Add(m.opts.ProbePeriod)
		m.tick(now)
	}
	if vm, _ := m.view().Find("b"); vm.State != fleet.Dead {
		t.Errorf("a suspect that never refutes is %v", vm.State)
	}
}

func TestUnreachableDataCentreIsReported(t *testing.T) {
	r := &recorded{}
	m := testMachine("self", r)
	far := word("far", 3, fleet.Alive)
	far.DataCentre = "z"
	m.apply(start, far)
	for range unreachAfter {
		m.probed(start, "far", false)
	}
	if !r.has(event.DataCentreUnreachable) {
		t.Error("not reported")
	}
	m.probed(start, "far", true)
	if !r.has(event.DataCentreReachable) {
		t.Error("its return was not reported")
	}
}

func TestMessagesAreBounded(t *testing.T) {
	m := testMachine("self", event.Discard{})
	for i := range 500 {
		name := string(rune('a'+i%26)) + string(rune('a'+i/26))
		m.apply(start, word(name, 1, fleet.Alive))
	}
	if got := len(m.gossip("x", 0).GetUpdates()); got > maxUpdates {
		t.Errorf("%d updates on one message", got)
	}
	entries, until := m.page("")
	if len(entries) != syncPage || until == "" {
		t.Errorf("a page has %d entries and ends at %q", len(entries), until)
	}
}
