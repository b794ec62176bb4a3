package grouplease

import (
	"context"
	"testing"
	"time"

	"currantpulley/internal/event"
)

// countingGroup assigns the lease to its only member and counts the calls.
type countingGroup struct {
	joins, leaves int
	holds         bool
}

func (g *countingGroup) Join(context.Context, uint64) (Assignment, error) {
	g.joins++
	return Assignment{Era: 1, Generation: 1, Holds: g.holds}, nil
}

func (g *countingGroup) Leave(context.Context) error {
	g.leaves++
	return nil
}

type discard struct{}

func (discard) Record(event.Event) {}

// The load: 141 daemons that each renewed a membership every 0.6 s, of which only one
// holds the lease. A spare daemon must make no call, but keep a lease that it holds, and
// join again when it is needed.
func TestSpareDaemonMakesNoCalls(t *testing.T) {
	g, spare := &countingGroup{}, true
	l := New(g, time.Millisecond, func() bool { return false }, discard{})
	l.SetSpare(func() bool { return spare })
	l.Renew(t.Context())
	if g.joins != 0 || g.leaves != 0 {
		t.Errorf("a spare daemon made %d joins and %d leaves", g.joins, g.leaves)
	}
	spare, g.holds = false, true
	l.Renew(t.Context())
	time.Sleep(5 * time.Millisecond) // the handover
	if !l.Held() {
		t.Fatal("a daemon that is needed doesn't hold the lease")
	}
	spare = true
	l.Renew(t.Context())
	if g.joins != 2 || !l.Held() {
		t.Errorf("the holder made %d joins, holds the lease: %t", g.joins, l.Held())
	}
}
