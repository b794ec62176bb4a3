package balance

import (
	"sort"
	"time"

	"currantpulley/internal/catalog"
)

const (
	// markInterval is the time between two marks of a memory.
	markInterval = 100 * time.Millisecond
	// marksMax bounds the marks of a memory. What was used before the oldest one counts as
	// kept until the tokens since then fill the memory.
	marksMax = 1024
	// sureShare is the share of an engine's memory up to which new entries surely leave
	// the others in place: what other daemons add is an estimate.
	sureShare = 0.5
)

// memory tells since when the engines of a service keep what they use. An engine that is
// full drops the entries that were unused for longest, so it keeps those after whose last
// use fewer new tokens came than it has room for.
type memory struct {
	added float64 // tokens that came to an engine, on average
	marks []mark  // oldest first
}

// mark is the number of tokens that had come at a time.
type mark struct {
	at    time.Time
	added float64
}

// add records that tokens came to an engine, on average, which has room for capacity.
func (m *memory) add(tokens, capacity float64, now time.Time) {
	if n := len(m.marks); n == 0 || now.Sub(m.marks[n-1].at) >= markInterval {
		m.marks = append(m.marks, mark{now, m.added})
	}
	m.added += tokens
	for len(m.marks) > 1 && (len(m.marks) > marksMax || m.added-m.marks[1].added >= capacity) {
		m.marks = m.marks[1:]
	}
}

// since returns the time from which on fewer than room tokens came: what was used later
// is still there. It is the zero time if fewer came in all.
func (m *memory) since(room float64) time.Time {
	n := sort.Search(len(m.marks), func(i int) bool { return m.added-m.marks[i].added < room })
	if n == 0 {
		return time.Time{}
	}
	return m.marks[n-1].at
}

// memoryOf returns the memory of a service's engines and adds it when there is none.
func (b *Balancer) memoryOf(service string) *memory {
	m, ok := b.memories[service]
	if !ok {
		m = &memory{}
		b.memories[service] = m
	}
	return m
}

// capacity returns the tokens that an engine of a service has room for; 0: not known.
func capacity(snap *catalog.Snapshot, service string) float64 {
	if snap.Config == nil || snap.Config.Services[service] == nil || snap.Config.Services[service].Engine == nil {
		return 0
	}
	return float64(snap.Config.Services[service].Engine.CacheTokens)
}

// recordNewTokens records that tokens that p's engine didn't hold are there now. The
// other daemons are taken to add as many each, to all engines alike.
func (b *Balancer) recordNewTokens(p *Pick, tokens int, now time.Time) {
	if p.capacity == 0 || tokens <= 0 {
		return
	}
	if part := b.limits.Part(); part > 0 { // 0: out of touch with the others
		b.part = part
	}
	b.memoryOf(p.Upstream.Service).add(float64(tokens)/b.part/float64(max(1, p.engines)), p.capacity, now)
}
