package peers

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"currantpulley/internal/catalog"
	"currantpulley/internal/fleet"
)

// simulateDeparture returns the times of the announcements of one departure by a
// fleet of n daemons. Each reads it at readAt, a negative time meaning never, and
// hears of an announcement after delivery.
func simulateDeparture(n int, k catalog.Key, delivery time.Duration, readAt func(i int) time.Duration) []time.Duration {
	var vms []fleet.VM
	for i := range n {
		vms = append(vms, fleet.VM{Name: fmt.Sprintf("vm-%03d", i)})
	}
	var due []time.Duration
	for i := range n {
		read := readAt(i)
		if read < 0 {
			continue
		}
		least, most := announceWait(vms, vms[i].Name, k)
		due = append(due, read+least+rand.N(most-least+1))
	}
	slices.Sort(due)
	return slices.DeleteFunc(due, func(at time.Duration) bool { return at > due[0]+delivery })
}

// TestDepartureReadByAllIsAnnouncedByFew checks that daemons that read of a
// departure at the same time don't all announce it, and that it is announced soon
// by others if those that announce first can't read.
func TestDepartureReadByAllIsAnnouncedByFew(t *testing.T) {
	const (
		daemons       = 111
		delivery      = 40 * time.Millisecond
		mostAnnounced = 12
		latest        = time.Second
	)
	for i := range 200 {
		k := catalog.Key{ID: fmt.Sprint("i-", i), Started: int64(i)}
		atOnce := func(int) time.Duration { return 0 }
		if got := simulateDeparture(daemons, k, delivery, atOnce); len(got) > mostAnnounced {
			t.Fatalf("%s: %d of %d daemons announce a departure that all read at once, at most %d are enough", k.ID, len(got), daemons, mostAnnounced)
		}
		cutOff := func(i int) time.Duration { return time.Duration(i%2-1) * time.Second }
		got := simulateDeparture(daemons, k, delivery, cutOff)
		if len(got) == 0 || got[0] > latest {
			t.Fatalf("%s: announcements at %v while half of the daemons can't read", k.ID, got)
		}
	}
}
