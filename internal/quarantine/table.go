package quarantine

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Options configures a Table. Nil functions are not called.
type Options struct {
	// Announce passes on evidence that is new at this daemon to all others.
	Announce func(Suspect)
	// Turn reports whether this daemon, of all, may let a request with the part
	// through in the numbered slot of time. Nil: it may.
	Turn func(p Part, slot int64) bool
	// OnVerdict is called when the verdict on a part has changed.
	OnVerdict func(p Part, v Verdict, crashes int)
}

// Table holds the evidence against parts that this daemon knows. It is safe for
// concurrent use.
type Table struct {
	opts Options

	mu       sync.Mutex
	records  map[Part]*record
	verdicts map[Part]Verdict // without Sound ones
	shared   Part             // that Share returned last
}

// New returns a Table without evidence.
func New(o Options) *Table {
	return &Table{opts: o, records: make(map[Part]*record), verdicts: make(map[Part]Verdict)}
}

// Crashed records that an upstream ended before the response to a request with the
// parts began, which was sent at sentAt. The parts are in the order of the prompt,
// without the last one, which belongs to the request alone; the whole request follows.
func (t *Table) Crashed(upstream uint32, parts []Part, sentAt, now time.Time) {
	t.mu.Lock()
	var changed []Suspect
	for depth, p := range parts {
		r := t.recordOf(p, now)
		if p.isWhole() {
			depth += wholeDepth
		}
		r.depth = max(r.depth, depth)
		r.usedAt = now
		if _, known := r.crashes[upstream]; known {
			continue
		}
		r.crashes[upstream] = crash{at: now, sentAt: sentAt}
		r.forgetOldest()
		changed = append(changed, r.suspect(p, maxCrashes, now))
	}
	notify := t.update(len(changed) > 0, now)
	t.mu.Unlock()
	t.announce(changed)
	notify()
}

// Began records that the response to a request with the parts began: no part of it
// crashes upstreams.
func (t *Table) Began(parts []Part, now time.Time) {
	t.mu.Lock()
	var changed []Suspect
	for _, p := range parts {
		r := t.records[p]
		if r == nil || !r.disprove() {
			continue
		}
		changed = append(changed, r.suspect(p, maxCrashes, now))
	}
	notify := t.update(len(changed) > 0, now)
	t.mu.Unlock()
	t.announce(changed)
	notify()
}

// Merge adds the evidence of another daemon.
func (t *Table) Merge(s Suspect, now time.Time) {
	if s.Idle > idleMax || len(s.Crashes) == 0 {
		return
	}
	t.mu.Lock()
	r := t.recordOf(s.Part, now.Add(-s.Idle))
	r.depth = max(r.depth, s.Depth)
	changed := false
	for _, c := range s.Crashes {
		changed = r.add(c, now) || changed
	}
	r.forgetOldest()
	notify := t.update(changed, now)
	t.mu.Unlock()
	notify()
}

// Check returns a Hold if a request with the parts must not be sent, else nil. A
// repeat is a request that may have run before.
func (t *Table) Check(parts []Part, repeat bool, now time.Time) *Hold {
	t.mu.Lock()
	if len(t.verdicts) == 0 {
		t.mu.Unlock()
		return nil
	}
	notify := t.update(t.hasExpired(parts, now), now)
	hold := t.hold(parts, repeat, now)
	t.mu.Unlock()
	notify()
	return hold
}

// IsEmpty reports whether there is no evidence against any part: Check and Began have
// no effect then.
func (t *Table) IsEmpty() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records) == 0
}

// hasExpired reports whether the evidence against one of the parts is too old.
func (t *Table) hasExpired(parts []Part, now time.Time) bool {
	return slices.ContainsFunc(parts, func(p Part) bool { return t.records[p].isIdle(now, idleMax) })
}

// isIdle reports whether there was no crash and no request for longer than most.
func (r *record) isIdle(now time.Time, most time.Duration) bool {
	return r != nil && now.Sub(r.usedAt) > most
}

// hold returns the Hold of a request; see Check.
func (t *Table) hold(parts []Part, repeat bool, now time.Time) *Hold {
	var hold *Hold
	for _, p := range parts {
		v := t.verdicts[p]
		if v == Sound || (v == Suspected && !repeat) {
			continue
		}
		r := t.records[p]
		r.usedAt = now
		if !repeat && t.startTrial(p, r, now) {
			continue
		}
		hold = &Hold{Part: p, Verdict: v, Crashes: r.count(nil), RetryAfter: max(0, r.trialDue().Sub(now))}
	}
	return hold
}

// startTrial reports whether a request with a quarantined part may be let through
// now, and then lets no other one through here for some time.
func (t *Table) startTrial(p Part, r *record, now time.Time) bool {
	waited := now.Sub(r.trialDue())
	if waited < 0 || now.Sub(r.trialAt) < trialSlot {
		return false
	}
	if t.opts.Turn != nil && !t.opts.Turn(p, int64(waited/trialSlot)) {
		return false
	}
	r.trialAt = now
	return true
}

// Share returns the evidence against one quarantined part, each time another one, for
// daemons that have missed it. The result is false if there is none.
func (t *Table) Share(now time.Time) (Suspect, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var first, next Part
	for p, v := range t.verdicts {
		if v != Quarantined || t.records[p].isIdle(now, sharedIdleMax) {
			continue
		}
		if first == 0 || p < first {
			first = p
		}
		if p > t.shared && (next == 0 || p < next) {
			next = p
		}
	}
	if next == 0 {
		next = first
	}
	if next == 0 {
		return Suspect{}, false
	}
	t.shared = next
	return t.records[next].suspect(next, sharedCrashes, now), true
}

// Quarantined returns the number of quarantined parts.
func (t *Table) Quarantined() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, v := range t.verdicts {
		if v == Quarantined {
			n++
		}
	}
	return n
}

// recordOf returns the record of a part. It adds one, if necessary in place of the
// one that was not used for the longest time.
func (t *Table) recordOf(p Part, usedAt time.Time) *record {
	if r := t.records[p]; r != nil {
		return r
	}
	if len(t.records) >= maxParts {
		t.dropOne()
	}
	r := &record{whole: p.isWhole(), crashes: make(map[uint32]crash), usedAt: usedAt}
	t.records[p] = r
	return r
}

// dropOne drops the record with the lowest verdict, of several the one that was not
// used for the longest time.
func (t *Table) dropOne() {
	var oldest Part
	for p, r := range t.records {
		o := t.records[oldest]
		if o == nil || t.verdicts[p] < t.verdicts[oldest] || (t.verdicts[p] == t.verdicts[oldest] && r.usedAt.Before(o.usedAt)) {
			oldest = p
		}
	}
	delete(t.records, oldest)
}

// update drops evidence that is too old and, if something changed, judges again. It
// returns a function that reports the changes to Options.OnVerdict and must be called
// without the lock.
func (t *Table) update(changed bool, now time.Time) (notify func()) {
	if !changed {
		return func() {}
	}
	old := t.verdicts
	maps.DeleteFunc(t.records, func(_ Part, r *record) bool { return r.isIdle(now, idleMax) })
	t.verdicts = judge(t.records)
	type change struct {
		part    Part
		verdict Verdict
		crashes int
	}
	var changes []change
	for p := range old {
		if t.verdicts[p] == Sound {
			changes = append(changes, change{p, Sound, 0})
		}
	}
	for p, v := range t.verdicts {
		if v != old[p] {
			changes = append(changes, change{p, v, t.records[p].count(nil)})
		}
	}
	return func() {
		for _, c := range changes {
			if t.opts.OnVerdict != nil {
				t.opts.OnVerdict(c.part, c.verdict, c.crashes)
			}
		}
	}
}

// announce passes on changed evidence.
func (t *Table) announce(changed []Suspect) {
	if t.opts.Announce == nil {
		return
	}
	for _, s := range changed {
		t.opts.Announce(s)
	}
}

// add adds another daemon's evidence of one upstream and reports whether it was new.
func (r *record) add(c Crash, now time.Time) bool {
	known, ok := r.crashes[c.Upstream]
	if ok && (known.disproved || !c.Disproved) {
		return false
	}
	at := now.Add(-c.Age)
	if ok {
		at = known.at
	}
	r.crashes[c.Upstream] = crash{at: at, sentAt: at.Add(-c.Waited), disproved: c.Disproved}
	if at.After(r.usedAt) {
		r.usedAt = at
	}
	return true
}

// disprove marks all crashes as disproved and reports whether one was not.
func (r *record) disprove() bool {
	changed := false
	for u, c := range r.crashes {
		changed = changed || !c.disproved
		c.disproved = true
		r.crashes[u] = c
	}
	return changed
}

// forgetOldest drops the oldest crashes beyond maxCrashes.
func (r *record) forgetOldest() {
	for _, u := range r.newestFirst()[min(maxCrashes, len(r.crashes)):] {
		delete(r.crashes, u)
	}
}

// newestFirst returns the upstreams that ended, the latest first.
func (r *record) newestFirst() []uint32 {
	return slices.SortedFunc(maps.Keys(r.crashes), func(a, b uint32) int { return r.crashes[b].at.Compare(r.crashes[a].at) })
}

// suspect returns the evidence against the part p with up to limit crashes, the latest
// ones.
func (r *record) suspect(p Part, limit int, now time.Time) Suspect {
	s := Suspect{Part: p, Depth: r.depth, Idle: max(0, now.Sub(r.usedAt))}
	for _, u := range r.newestFirst()[:min(limit, len(r.crashes))] {
		c := r.crashes[u]
		s.Crashes = append(s.Crashes, Crash{Upstream: u, Age: max(0, now.Sub(c.at)), Waited: max(0, c.at.Sub(c.sentAt)), Disproved: c.disproved})
	}
	return s
}
