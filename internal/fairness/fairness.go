// Package fairness finds which requests go behind others of the same rank while a
// service has too little room: those of workspaces that ask for more than their fair share.
//
// All daemons count their work in progress by workspace and share the counts. The room is
// divided max-min: a workspace that asks for less than an equal part gets what it asks, and
// the others divide the rest. See docs/design/fair-shares.md.
//
// The package does no I/O and reads no clock.
package fairness

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"currantpulley/internal/rendezvous"
)

const (
	// maxQueued is how many times the room of a service the work of one daemon may be:
	// requests that wait count too.
	maxQueued = 4
	// MaxUses bounds the counts that one daemon tells the others.
	MaxUses = 64
	// waitTime is the time constant with which the waits of a rank fade.
	waitTime = 2 * time.Second
	// waitMaxAge is the age from which an observed wait says nothing about the present.
	waitMaxAge = 3 * time.Second
	// shortFrom is the part of requests' time spent behind other work from which room counts
	// as short. What goes behind then grows with that part.
	shortFrom = 0.1
	// episodeGap is the time without requests beyond a workspace's share after which the
	// next one counts as a new episode.
	episodeGap = 5 * time.Second
	// expirePeriod is the time between two searches for what has expired.
	expirePeriod = 100 * time.Millisecond
)

// Flow is the work of one workspace at one service.
type Flow struct{ Service, Workspace uint32 }

// NewFlow returns the flow of a workspace at a service.
func NewFlow(service, workspace string) Flow {
	return Flow{shortID(service), shortID(workspace)}
}

// ServiceID returns the id of a service in flows.
func ServiceID(service string) uint32 { return shortID(service) }

func shortID(name string) uint32 { return uint32(rendezvous.Hash(name)) }

// Use is one daemon's work in progress of a flow.
type Use struct {
	Flow
	Tokens uint32 // of prompts and expected answers
}

// Place tells where a request goes within its rank.
type Place struct {
	Behind bool    // behind the requests of its rank that are within their shares
	Part   float64 // of the workspace's requests that is within its share, from 0 to 1
	Asked  float64 // tokens in progress of the workspace, of all daemons
	Level  float64 // tokens in progress that a workspace gets at most while room is short; 0: room isn't short, or no other workspace has work here
	Begins bool    // the first of the workspace's requests behind others after a while
}

// Table holds the work in progress of all daemons. It is safe for concurrent use.
type Table struct {
	room func(service uint32) float64

	mu     sync.Mutex
	own    map[Flow]int64
	peers  map[string]report
	waits  map[rank]*wait
	behind map[Flow]time.Time // when a request last went behind others

	expiredAt time.Time // see expire
}

// report is what another daemon told.
type report struct {
	uses  []Use
	until time.Time // it expires
}

// rank is an urgency at a service.
type rank struct {
	service uint32
	urgency int
}

// wait holds the times of the requests of a rank that were sent of late, which fade with
// waitTime.
type wait struct {
	ahead  float64 // seconds spent behind other work
	served float64 // seconds in which an upstream works on the requests themselves
	at     time.Time
}

// fade lets what was recorded fade until now.
func (w *wait) fade(now time.Time) {
	age := max(0, now.Sub(w.at))
	left := math.Exp(-age.Seconds() / waitTime.Seconds())
	w.ahead *= left
	w.served *= left
	w.at = now
}

// part returns the part of all time that is spent behind other work.
func (w *wait) part() float64 { return w.ahead / (w.ahead + w.served) }

// New returns an empty Table. room returns the tokens that all upstreams of a service
// have room for; 0: not known. A daemon that claims more isn't believed.
func New(room func(service uint32) float64) *Table {
	return &Table{
		room: room, own: make(map[Flow]int64), peers: make(map[string]report),
		waits: make(map[rank]*wait), behind: make(map[Flow]time.Time),
	}
}

// Begin counts a request of this daemon as in progress until the returned function is
// called.
func (t *Table) Begin(f Flow, tokens int) (end func()) {
	n := int64(max(1, tokens))
	t.addOwn(f, n)
	var once sync.Once
	return func() { once.Do(func() { t.addOwn(f, -n) }) }
}

func (t *Table) addOwn(f Flow, tokens int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.own[f] += tokens; t.own[f] <= 0 {
		delete(t.own, f)
	}
}

// Own returns this daemon's work in progress, the largest MaxUses flows.
func (t *Table) Own() []Use {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Use, 0, len(t.own))
	for f, tokens := range t.own {
		out = append(out, Use{f, uint32(min(tokens, math.MaxUint32))})
	}
	if len(out) > MaxUses {
		slices.SortFunc(out, func(a, b Use) int { return cmp.Compare(b.Tokens, a.Tokens) })
		out = out[:MaxUses]
	}
	return out
}

// SetPeer replaces what the daemon on vm told before, until the given time. It returns
// false, and leaves what the daemon told before until that expires, if the daemon claims
// maxQueued times the work at a service that all upstreams have room for, or more.
func (t *Table) SetPeer(vm string, uses []Use, now, until time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	uses = uses[:min(len(uses), MaxUses)]
	if !t.possible(uses) {
		return false
	}
	t.peers[vm] = report{uses, until}
	return true
}

// possible reports whether one daemon may have so much work in progress.
func (t *Table) possible(uses []Use) bool {
	sums := make(map[uint32]float64, 1)
	for _, u := range uses {
		sums[u.Service] += float64(u.Tokens)
	}
	for service, sum := range sums {
		if room := t.room(service); room > 0 && sum > maxQueued*room {
			return false
		}
	}
	return true
}

// expire removes what other daemons told too long ago, and episodes that have ended.
func (t *Table) expire(now time.Time) {
	if now.Sub(t.expiredAt) < expirePeriod {
		return
	}
	t.expiredAt = now
	maps.DeleteFunc(t.behind, func(_ Flow, at time.Time) bool { return now.Sub(at) > episodeGap })
	maps.DeleteFunc(t.peers, func(_ string, r report) bool { return now.After(r.until) })
}

// asked returns the work in progress of all daemons at a service, by workspace. What one
// other daemon tells of a workspace counts for no more than what all others have of it.
func (t *Table) asked(service uint32) map[uint32]float64 {
	sum, most := make(map[uint32]float64), make(map[uint32]float64)
	for f, tokens := range t.own {
		if f.Service == service {
			sum[f.Workspace] += float64(tokens)
		}
	}
	for _, r := range t.peers {
		for _, u := range r.uses {
			if u.Service != service {
				continue
			}
			tokens := float64(u.Tokens)
			sum[u.Workspace] += tokens
			most[u.Workspace] = max(most[u.Workspace], tokens)
		}
	}
	for workspace, tokens := range most {
		rest := sum[workspace] - tokens
		sum[workspace] = rest + min(tokens, rest)
	}
	maps.DeleteFunc(sum, func(_ uint32, tokens float64) bool { return tokens <= 0 })
	return sum
}

// Observe records how long a request of the given urgency is expected to wait behind other
// work and to be served itself. It takes the urgency of its rank, not the one that it got.
func (t *Table) Observe(service uint32, urgency int, ahead, served time.Duration, now time.Time) {
	if ahead < 0 || served <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	key := rank{service, urgency}
	w := t.waits[key]
	if w == nil {
		w = &wait{at: now}
		t.waits[key] = w
	}
	w.fade(now)
	w.ahead += ahead.Seconds()
	w.served += served.Seconds()
}

// Place tells where a request of a flow goes. urgency is that of its rank, and id is a hash
// of the request's id, the same for all sends of it.
func (t *Table) Place(f Flow, urgency int, id uint64, now time.Time) Place {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.place(f, urgency, id, now)
	if p.Behind {
		p.Begins = now.Sub(t.behind[f]) > episodeGap
		t.behind[f] = now
	}
	return p
}

// Peek is Place for a request that isn't sent: it begins no episode.
func (t *Table) Peek(f Flow, urgency int, id uint64, now time.Time) Place {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.place(f, urgency, id, now)
}

func (t *Table) place(f Flow, urgency int, id uint64, now time.Time) Place {
	w := t.waits[rank{f.Service, urgency}]
	if w == nil || w.part() < shortFrom || now.Sub(w.at) > waitMaxAge {
		return Place{Part: 1}
	}
	t.expire(now)
	asked := t.asked(f.Service)
	p := Place{Part: 1, Asked: asked[f.Workspace]}
	if len(asked) < 2 {
		return p
	}
	p.Level = level(asked, 1-w.part())
	if p.Asked <= p.Level {
		return p
	}
	p.Part = p.Level / p.Asked
	p.Behind = rendezvous.Fraction(rendezvous.Weight(uint64(f.Workspace), id)) >= p.Part
	return p
}

// level returns the work that a workspace gets at most if the given part of all that is
// asked has room and is divided max-min. It is an equal part of all that is asked at least:
// where most of that waits, small errors in the part would else put workspaces behind that
// ask for little.
func level(asked map[uint32]float64, part float64) float64 {
	sorted := slices.Sorted(maps.Values(asked))
	sum := 0.0
	for _, tokens := range sorted {
		sum += tokens
	}
	return max(sum/float64(len(sorted)), divide(sorted, part*sum))
}

// divide divides room max-min among those who ask, in ascending order, and returns what
// one of them gets at most.
func divide(asked []float64, room float64) float64 {
	for i, tokens := range asked {
		equal := room / float64(len(asked)-i)
		if tokens > equal {
			return equal
		}
		room -= tokens
	}
	return math.Inf(1)
}
