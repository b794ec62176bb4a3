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

// testMachine returns a machine in data centre "a" at incarnation 100.
func testMachine(name string, r event.Recorder) *machine {
	opts := Options{Self: fleet.VM{Name: name, DataCentre: "a", PeerAddress: name, Incarnation: 100}, Recorder: r}
	opts.setDefaults(start)
	return newMachine(opts, start)
}

func newUpdate(name string, incarnation uint64, state fleet.State) *pb.Update {
	return update(fleet.VM{Name: name, PeerAddress: name, DataCentre: "a", Incarnation: incarnation, State: state})
}

func TestPrecedenceOfUpdates(t *testing.T) {
	cases := []struct {
		name        string
		updates     []*pb.Update
		state       fleet.State
		incarnation uint64
	}{
		{"suspect overrides alive at the same incarnation", []*pb.Update{newUpdate("b", 5, fleet.Alive), newUpdate("b", 5, fleet.Suspect)}, fleet.Suspect, 5},
		{"alive does not override suspect at the same incarnation", []*pb.Update{newUpdate("b", 5, fleet.Suspect), newUpdate("b", 5, fleet.Alive)}, fleet.Suspect, 5},
		{"a higher incarnation refutes suspicion", []*pb.Update{newUpdate("b", 5, fleet.Suspect), newUpdate("b", 6, fleet.Alive)}, fleet.Alive, 6},
		{"a higher incarnation refutes death", []*pb.Update{newUpdate("b", 5, fleet.Alive), newUpdate("b", 5, fleet.Dead), newUpdate("b", 6, fleet.Alive)}, fleet.Alive, 6},
		{"suspect does not override leaving", []*pb.Update{newUpdate("b", 5, fleet.Leaving), newUpdate("b", 5, fleet.Suspect)}, fleet.Leaving, 5},
		{"dead at an older incarnation is ignored", []*pb.Update{newUpdate("b", 5, fleet.Alive), newUpdate("b", 4, fleet.Dead)}, fleet.Alive, 5},
		{"a restart ends leaving", []*pb.Update{newUpdate("b", 5, fleet.Leaving), newUpdate("b", 900, fleet.Alive)}, fleet.Alive, 900},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := testMachine("self", event.Discard{})
			for _, u := range c.updates {
				m.applyGossip(start, u)
			}
			vm, ok := m.view().Find("b")
			if !ok || vm.State != c.state || vm.Incarnation != c.incarnation {
				t.Errorf("got %v at %d, want %v at %d", vm.State, vm.Incarnation, c.state, c.incarnation)
			}
		})
	}
}

func TestSelfRefutesWrongUpdates(t *testing.T) {
	cases := []struct {
		name        string
		leaving     bool
		update      *pb.Update
		incarnation uint64
		state       fleet.State
	}{
		{"suspected", false, newUpdate("self", 100, fleet.Suspect), 101, fleet.Alive},
		{"dead", false, newUpdate("self", 100, fleet.Dead), 101, fleet.Alive},
		{"an earlier incarnation is ignored", false, newUpdate("self", 99, fleet.Dead), 100, fleet.Alive},
		{"a later incarnation, after the clock was set back", false, newUpdate("self", 500, fleet.Alive), 501, fleet.Alive},
		{"marked as leaving by the list", false, newUpdate("self", 100, fleet.Leaving), 101, fleet.Alive},
		{"dead while leaving stays leaving", true, newUpdate("self", 101, fleet.Dead), 102, fleet.Leaving},
		{"its own leaving is not refuted", true, newUpdate("self", 101, fleet.Leaving), 101, fleet.Leaving},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := testMachine("self", event.Discard{})
			if c.leaving {
				m.leave()
			}
			m.applyGossip(start, c.update)
			if m.self.Incarnation != c.incarnation || m.self.State != c.state {
				t.Errorf("got %v at %d, want %v at %d", m.self.State, m.self.Incarnation, c.state, c.incarnation)
			}
		})
	}
}

func TestGossipOverridesPlatformList(t *testing.T) {
	listed := func(leaving bool) []backing.ListedVM {
		return []backing.ListedVM{{Name: "b", PeerAddress: "b", DataCentre: "a", Leaving: leaving}}
	}
	m := testMachine("self", event.Discard{})
	m.applyList(start, listed(false))
	if vm, ok := m.view().Find("b"); !ok || vm.State != fleet.Alive || vm.Incarnation != 0 {
		t.Fatalf("a listed VM must be in the view at once as alive, got %+v", vm)
	}
	m.applyList(start, listed(true))
	if vm, _ := m.view().Find("b"); vm.State != fleet.Leaving {
		t.Errorf("a VM that the list begins to mark as leaving is %v", vm.State)
	}
	m.applyGossip(start, newUpdate("b", 7, fleet.Alive))
	m.applyList(start, listed(true))
	if vm, _ := m.view().Find("b"); vm.State != fleet.Alive {
		t.Errorf("the VM's own update must override the list, got %v", vm.State)
	}
	m.applyList(start, nil)
	if vm, _ := m.view().Find("b"); vm.State != fleet.Alive {
		t.Errorf("a VM that is no longer listed must stay, got %v", vm.State)
	}
}

func TestUnlistedDeadVMsAreForgotten(t *testing.T) {
	m := testMachine("self", event.Discard{})
	m.applyGossip(start, newUpdate("b", 5, fleet.Alive))
	m.applyGossip(start, newUpdate("b", 5, fleet.Dead))
	m.expire(start.Add(m.opts.ForgetAfter - 1))
	if _, ok := m.view().Find("b"); !ok {
		t.Error("the VM was dropped too early")
	}
	m.expire(start.Add(m.opts.ForgetAfter))
	if _, ok := m.view().Find("b"); ok {
		t.Error("the VM was not dropped")
	}
}

func TestPauseDoesNotDeclareOthersDead(t *testing.T) {
	r := &recorded{}
	m := testMachine("self", r)
	m.applyGossip(start, newUpdate("b", 5, fleet.Alive))
	m.recordProbe(start, "b", false)
	m.tick(start.Add(time.Hour))
	if vm, _ := m.view().Find("b"); vm.State != fleet.Suspect {
		t.Errorf("after a pause of this daemon b is %v, want suspect", vm.State)
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
		t.Errorf("a suspect that did not refute is %v, want dead", vm.State)
	}
}

func TestUnreachableDataCentreIsReported(t *testing.T) {
	r := &recorded{}
	m := testMachine("self", r)
	far := newUpdate("far", 3, fleet.Alive)
	far.DataCentre = "z"
	m.applyGossip(start, far)
	for range unreachableAfter {
		m.recordProbe(start, "far", false)
	}
	if !r.has(event.DataCentreUnreachable) {
		t.Error("the unreachable data centre was not reported")
	}
	m.recordProbe(start, "far", true)
	if !r.has(event.DataCentreReachable) {
		t.Error("the data centre becoming reachable was not reported")
	}
}

func TestMessagesAreBounded(t *testing.T) {
	m := testMachine("self", event.Discard{})
	for i := range 500 {
		name := string(rune('a'+i%26)) + string(rune('a'+i/26))
		m.applyGossip(start, newUpdate(name, 1, fleet.Alive))
	}
	if got := len(m.gossip("x", 0).GetUpdates()); got > maxUpdates {
		t.Errorf("%d updates on one message", got)
	}
	entries, until := m.page("")
	if len(entries) != syncPageSize || until == "" {
		t.Errorf("a page has %d entries and ends at %q", len(entries), until)
	}
}

// The load: 141 daemons that each read the platform's list every 10 s. Beyond ListReaders
// the reads of all together must not grow, and each alone reads as before.
func TestListIsReadAsOftenByManyAsByFew(t *testing.T) {
	o := Options{ListPeriod: 10 * time.Second, ListReaders: 16}
	for live, want := range map[int]time.Duration{0: 10 * time.Second, 16: 10 * time.Second, 32: 20 * time.Second, 160: 100 * time.Second} {
		if got := listPeriod(o, live); got != want {
			t.Errorf("%d live VMs: each reads after %v, want %v", live, got, want)
		}
	}
	if got := listPeriod(Options{ListPeriod: time.Second}, 1000); got != time.Second {
		t.Errorf("without ListReaders each reads after %v", got)
	}
}
