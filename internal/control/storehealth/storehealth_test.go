package storehealth

import (
	"context"
	"errors"
	"testing"

	"currantpulley/internal/catalog"
	"currantpulley/internal/event"
	"currantpulley/internal/fleet"
)

type recorder func(event.Event)

// Record implements event.Recorder.
func (r recorder) Record(e event.Event) { r(e) }

// TestStateOfAStore checks that one failed probe does not mark a store as down,
// that two do, that the down state is announced again until a probe succeeds,
// and that a store that restarted empty is announced with its new epoch.
func TestStateOfAStore(t *testing.T) {
	errRefused := errors.New("connection refused")
	c := &catalog.Config{Version: 1, Services: make(map[string]*catalog.Service)}
	cache := &catalog.CacheStore{Address: "10.0.0.9:80"}
	c.AddService(&catalog.Service{Name: "cache", Store: cache})
	var epoch uint64
	var failure error
	var announced []State
	var events []event.ID
	w := New(Options{
		Self:     "vm-1",
		View:     func() fleet.View { return fleet.View{VMs: []fleet.VM{{Name: "vm-1"}}} },
		Recorder: recorder(func(e event.Event) { events = append(events, e.ID) }),
		Probe:    func(context.Context, string) (uint64, error) { return epoch, failure },
		Announce: func(s State) { announced = append(announced, s) },
		CutOff:   func() bool { return false },
	})
	for i, step := range []struct {
		epoch uint64
		err   error
		want  *State // nil: no announcement
	}{
		{7, nil, &State{Epoch: 7}},
		{7, nil, nil},
		{0, errRefused, nil},
		{7, nil, nil},
		{0, errRefused, nil},
		{0, errRefused, &State{Down: true, Epoch: 7}},
		{0, errRefused, &State{Down: true, Epoch: 7}},
		{8, nil, &State{Epoch: 8}},
		{8, nil, nil},
	} {
		announced, epoch, failure = nil, step.epoch, step.err
		w.probe(t.Context(), cache)
		switch {
		case step.want == nil && len(announced) > 0:
			t.Errorf("step %d: announced %+v, want nothing", i, announced)
		case step.want != nil:
			step.want.ShortID = cache.ShortID()
			if len(announced) != 1 || announced[0] != *step.want {
				t.Errorf("step %d: announced %+v, want %+v", i, announced, *step.want)
			}
		}
	}
	want := []event.ID{event.CacheStoreAvailable, event.CacheStoreLost, event.CacheStoreAvailable}
	if len(events) != len(want) || events[0] != want[0] || events[1] != want[1] || events[2] != want[2] {
		t.Errorf("events %v, want %v", events, want)
	}
}

// TestFewDaemonsProbeAStore guards against probe load that grows with the fleet:
// watchersPerStore daemons probe a store, however many daemons there are.
func TestFewDaemonsProbeAStore(t *testing.T) {
	view := fleet.View{}
	for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		view.VMs = append(view.VMs, fleet.VM{Name: name})
	}
	watching := 0
	for _, vm := range view.VMs {
		if isWatcher(view, vm.Name, &catalog.CacheStore{Address: "10.0.0.9:80"}) {
			watching++
		}
	}
	if watching != watchersPerStore {
		t.Errorf("%d daemons probe the store", watching)
	}
}
