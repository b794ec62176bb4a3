package feed

import (
	"fmt"
	"testing"
	"time"

	"currantpulley/internal/fleet"
	"currantpulley/internal/freshness"
)

// The load: 137 reads a daemon in 54 s, whatever the fleet. Only two daemons of a data
// centre may read, the same ones in each view, and small data centres read as before.
func TestReadersOfATopic(t *testing.T) {
	var live []fleet.VM
	for i := range 40 {
		live = append(live, fleet.VM{Name: fmt.Sprint("vm-", i)})
	}
	if got := readersOf(live[:fedMin-1], "a"); len(got) != 0 {
		t.Errorf("%d daemons: readers %v", fedMin-1, got)
	}
	all := readersOf(live, "a")
	if len(all) != readersPerTopic {
		t.Fatalf("readers %v", all)
	}
	for i := range live {
		without := readersOf(append(append([]fleet.VM{}, live[:i]...), live[i+1:]...), "a")
		for _, vm := range all {
			if vm.Name != live[i].Name && vm != without[0] && vm != without[1] {
				t.Errorf("%s no longer reads when %s is gone", vm.Name, live[i].Name)
			}
		}
	}
}

// A daemon must leave a reader that fails, read for itself when both fail or it was fed
// too little, and come back later, ever more slowly to a reader that goes on failing.
func TestChoiceOfTheSource(t *testing.T) {
	const self = "vm-self"
	begin := freshness.Instant(time.Hour)
	s := newSource(self)
	readers := []string{"a", "b"}
	first, _ := s.pick(readers, begin)
	other := map[string]string{"a": "b", "b": "a"}[first]
	for _, step := range []struct {
		name   string
		at     time.Duration
		act    func(now freshness.Instant)
		reader string // expected afterwards; empty: this daemon reads for itself
	}{
		{"start", 0, nil, first},
		{"first fails", time.Second, func(now freshness.Instant) { s.failed(first, now, 0.5) }, other},
		{"both fail", time.Second, func(now freshness.Instant) { s.failed(other, now, 0.5) }, ""},
		{"almost tried again", 2*time.Second - 1, nil, ""},
		{"tried again", 2 * time.Second, nil, first},
		{"fails again", 2 * time.Second, func(now freshness.Instant) { s.failed(first, now, 0.5) }, other},
		{"other is there", 3 * time.Second, func(freshness.Instant) { s.succeeded(other) }, other},
		{"twice as long", 4 * time.Second, nil, first},
		{"fed too little", 5 * time.Second, func(now freshness.Instant) { s.distrust(now, 1) }, ""},
		{"trusted again", 7 * time.Second, nil, first},
	} {
		now := begin.Add(step.at)
		if step.act != nil {
			step.act(now)
		}
		if got, ok := s.pick(readers, now); got != step.reader || ok != (step.reader != "") {
			t.Errorf("%s: reads from %q, want %q", step.name, got, step.reader)
		}
	}
	for range 20 {
		s.failed(first, begin, 1)
	}
	if until := s.failures[first].until; until > begin.Add(2*retryMax) {
		t.Errorf("a reader that goes on failing is left alone for %v", until.Sub(begin))
	}
	if _, ok := s.pick([]string{self, "a"}, begin.Add(time.Hour)); ok {
		t.Error("a reader is fed")
	}
	if _, ok := s.pick(nil, begin.Add(time.Hour)); ok {
		t.Error("a daemon is fed in a small data centre")
	}
}

// The loss of the feed must be told once, and not while daemons still get to know each
// other.
func TestLossIsToldOnce(t *testing.T) {
	s := newSource("vm-self")
	for i, step := range []struct {
		act  func() bool
		told bool
	}{
		{s.fellBack, false},
		{func() bool { return s.succeeded("a") }, false},
		{s.fellBack, true},
		{s.fellBack, false},
		{func() bool { return s.succeeded("a") }, true},
		{func() bool { return s.succeeded("a") }, false},
	} {
		if step.act() != step.told {
			t.Errorf("step %d: told is not %t", i, step.told)
		}
	}
}
