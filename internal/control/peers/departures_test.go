package peers

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"currantpulley/internal/balance"
	"currantpulley/internal/catalog"
	"currantpulley/internal/control/exchange"
	"currantpulley/internal/control/loop"
	"currantpulley/internal/fleet"
	"currantpulley/internal/peer"
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
		delivery      = 300 * time.Millisecond // with one relay that doesn't answer
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

// TestDepartureHeardOfIsNotAnnouncedAgain checks that a daemon announces a departure
// only if no notice of it came before, and only once.
func TestDepartureHeardOfIsNotAnnouncedAgain(t *testing.T) {
	for _, tc := range []struct {
		name   string
		notice exchange.Notice
		want   bool // announced here
	}{
		{"no notice", exchange.Notice{}, true},
		{"departure", exchange.Notice{Closed: true, TTL: time.Second}, false},
		{"order", exchange.Notice{Closed: true, TTL: time.Second, Token: 3}, true},
		{"opened", exchange.Notice{Token: 3}, true},
	} {
		p, _ := newPeers(t)
		var announced atomic.Int64
		p.exchange = announcingExchange(t, &announced)
		k := p.opts.Watcher.Load().Upstreams["i-1"].Key()
		if tc.notice != (exchange.Notice{}) {
			tc.notice.Upstream = k.ShortID()
			p.handleNotice(tc.notice)
		}
		p.announceDeparture(t.Context(), k)
		p.announceDeparture(t.Context(), k)
		time.Sleep(50 * time.Millisecond)
		if got := announced.Load(); (got > 0) != tc.want || got > 1 {
			t.Errorf("%s: announced %d times", tc.name, got)
		}
	}
}

// announcingExchange returns an exchange with one other daemon, which counts the
// notices that reach it.
func announcingExchange(t *testing.T, count *atomic.Int64) *exchange.Exchange {
	t.Helper()
	server, err := peer.Listen("127.0.0.1:0", nil)
	if err != nil {
		t.Fatal(err)
	}
	view := fleet.View{Self: "a", VMs: []fleet.VM{{Name: "a"}, {Name: "b", PeerAddress: server.Address()}}}
	newExchange := func(self string, onNotice func(exchange.Notice)) *exchange.Exchange {
		l, pool := loop.New(), peer.NewPool(nil)
		t.Cleanup(pool.Close)
		go l.Run(t.Context())
		return exchange.New(exchange.Options{
			Loop: l, Pool: pool, Self: self, View: func() fleet.View { return view }, OnNotice: onNotice,
			Collect:          func() []exchange.Use { return nil },
			ComputedPrefixes: func(time.Duration, int) []balance.Held { return nil },
		})
	}
	newExchange("b", func(exchange.Notice) { count.Add(1) }).Register(server.Server)
	go func() { _ = server.Run(t.Context()) }()
	return newExchange("a", func(exchange.Notice) {})
}
