package peers

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"currantpulley/internal/catalog"
	"currantpulley/internal/control/exchange"
	"currantpulley/internal/fleet"
)

const (
	// departureNoticeTTL is the time for which a notice keeps work from an upstream
	// that departs. It is long enough for each daemon to read of the departure
	// itself.
	departureNoticeTTL = 3 * time.Second
	// departureAnnouncers is the number of daemons that announce a departure at once.
	departureAnnouncers = 2
	// announceWaitMin and announceWaitMax bound the wait of the others. It is longer
	// than an announcement takes to arrive, also at daemons that are short of
	// processor time, and short against the time in which a departing upstream must
	// get no more work.
	announceWaitMin = 350 * time.Millisecond
	announceWaitMax = 900 * time.Millisecond
)

// announceWait returns the bounds of the random time that a daemon waits before
// it announces an upstream's departure that it has read. Many daemons read it at
// the same time, so only a few, the same in each daemon's view, don't wait.
func announceWait(live []fleet.VM, self string, k catalog.Key) (least, most time.Duration) {
	first := fleet.Owners(live, k.ID, departureAnnouncers)
	if slices.ContainsFunc(first, func(vm fleet.VM) bool { return vm.Name == self }) {
		return 0, 0
	}
	return announceWaitMin, announceWaitMax
}

// departures remembers the upstreams whose departure was announced. It is safe for
// concurrent use.
type departures struct {
	mu        sync.Mutex
	announced map[uint32]time.Time // by short id
}

// record remembers that a departure was announced at now and forgets those that
// were announced more than departureNoticeTTL ago.
func (d *departures) record(shortID uint32, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.announced == nil {
		d.announced = make(map[uint32]time.Time)
	}
	for id, at := range d.announced {
		if now.Sub(at) > departureNoticeTTL {
			delete(d.announced, id)
		}
	}
	d.announced[shortID] = now
}

// known reports whether a departure was announced within departureNoticeTTL.
func (d *departures) known(shortID uint32, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, ok := d.announced[shortID]
	return ok && now.Sub(at) <= departureNoticeTTL
}

// announceDepartures announces to all daemons the upstreams that this one has
// read to be leaving. Each daemon reads rarely, but the first of them reads soon.
func (p *Peers) announceDepartures(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case k := <-p.opts.Departures:
			least, most := announceWait(p.View().Live(), p.opts.Settings.VM, k)
			time.AfterFunc(least+rand.N(most-least+1), func() { p.announceDeparture(ctx, k) })
		}
	}
}

// announceDeparture announces a departure unless another daemon did.
func (p *Peers) announceDeparture(ctx context.Context, k catalog.Key) {
	if ctx.Err() != nil || p.departures.known(k.ShortID(), time.Now()) {
		return
	}
	p.departures.record(k.ShortID(), time.Now())
	p.exchange.Announce(ctx, exchange.Notice{Upstream: k.ShortID(), Closed: true, TTL: departureNoticeTTL})
}
