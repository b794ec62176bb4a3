package detour

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

var start = time.Unix(1_000_000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// reachThroughPeers records for n upstreams that the own way failed and others' did
// not.
func reachThroughPeers(t *Table, n int, now time.Time) (cut bool) {
	for i := range n {
		t.OwnFailed(fmt.Sprint("u", i), now)
		cut = t.PeersWorked(fmt.Sprint("u", i), now) || cut
	}
	return cut
}

// The way must follow from who reaches what: an upstream that nobody reaches is gone,
// one that only others reach is behind a cut, and several of these show a cut from all.
func TestWays(t *testing.T) {
	for name, tc := range map[string]struct {
		happens func(t *Table)
		way     Way // to "u0", a second later
		other   Way // to an upstream that was not tried
		cut     bool
	}{
		"nothing known":               {func(*Table) {}, Own, Own, false},
		"it fails here, nobody asked": {func(t *Table) { t.OwnFailed("u0", at(0)) }, Own, Own, false},
		"it has ended": {func(t *Table) {
			t.OwnFailed("u0", at(0))
			t.PeersRefused("u0", at(0))
		}, Own, Own, false},
		"only others reach it":           {func(t *Table) { reachThroughPeers(t, 1, at(0)) }, Peers, Own, false},
		"only others reach it, long ago": {func(t *Table) { reachThroughPeers(t, 1, at(0.9-peersFor.Seconds())) }, Own, Own, false},
		"only others reach two":          {func(t *Table) { reachThroughPeers(t, cutEvidence-1, at(0)) }, Peers, Own, false},
		"cut off from all":               {func(t *Table) { reachThroughPeers(t, cutEvidence, at(0)) }, Peers, Peers, true},
		"cut off from all, long ago":     {func(t *Table) { reachThroughPeers(t, cutEvidence, at(0.9-peersFor.Seconds())) }, Own, Own, false},
		"the cut has ended": {func(t *Table) {
			reachThroughPeers(t, cutEvidence, at(0))
			if !t.OwnWorked("u1", at(0.5)) {
				panic("the end of the cut was not seen")
			}
		}, Own, Own, false},
		"it is reached again": {func(t *Table) {
			reachThroughPeers(t, 2, at(0))
			t.OwnWorked("u0", at(0.5))
		}, Own, Own, false},
		"all ended while others were asked": {func(t *Table) {
			reachThroughPeers(t, cutEvidence, at(0))
			for i := range cutEvidence {
				t.PeersRefused(fmt.Sprint("u", i), at(0.5))
			}
		}, Own, Own, false},
	} {
		t.Run(name, func(t *testing.T) {
			table := NewTable()
			tc.happens(table)
			if got := table.Way("u0", at(1)); got != tc.way {
				t.Errorf("way to a tried upstream %d, want %d", got, tc.way)
			}
			if got := table.Way("other", at(1)); got != tc.other {
				t.Errorf("way to another one %d, want %d", got, tc.other)
			}
			if got := table.CutOff(at(1)); got != tc.cut {
				t.Errorf("cut off %t, want %t", got, tc.cut)
			}
		})
	}
}

// Others must not be asked for each request whether an upstream has ended, and not be
// asked too late whether it is back.
func TestOthersAreAskedAgainAfterAMoment(t *testing.T) {
	table := NewTable()
	table.PeersRefused("u0", at(0))
	if table.MayAsk("u0", at(refusedFor.Seconds()-0.01)) || !table.MayAsk("u0", at(refusedFor.Seconds())) || !table.MayAsk("u1", at(0)) {
		t.Error("asked at the wrong time")
	}
}

// The table must not grow with the addresses that upstreams ever had.
func TestTableIsBounded(t *testing.T) {
	table := NewTable()
	for i := range 3 * maxAddresses {
		table.OwnFailed(fmt.Sprint("u", i), at(float64(i)))
	}
	if n := len(table.addresses); n > maxAddresses {
		t.Errorf("%d addresses, at most %d", n, maxAddresses)
	}
}

// The silence of all own connections after a request must be noticed once in a while,
// and a byte from any upstream must end it.
func TestSilence(t *testing.T) {
	s := &silence{}
	for i, address := range []string{"a", "b", "a", "c", "d"} {
		s.wrote(address, at(float64(i)/100))
	}
	if got := s.suspects(at(silentFor.Seconds() - 0.01)); got != nil {
		t.Errorf("suspects %q too early", got)
	}
	if got := s.suspects(at(silentFor.Seconds())); !slices.Equal(got, []string{"a", "c", "d"}) {
		t.Errorf("suspects %q", got)
	}
	if got := s.suspects(at(silentFor.Seconds() + 0.1)); got != nil {
		t.Errorf("suspects %q again", got)
	}
	s.read()
	if got := s.suspects(at(10)); got != nil {
		t.Errorf("suspects %q after a byte came", got)
	}
}
