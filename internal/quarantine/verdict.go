package quarantine

import (
	"slices"
	"time"
)

// record is the evidence against one part.
type record struct {
	whole   bool // the part is a whole request
	depth   int
	crashes map[uint32]crash // by upstream
	usedAt  time.Time        // of the latest crash or request with the part
	trialAt time.Time        // when this daemon last let a request through
}

// crash is the evidence of one upstream.
type crash struct {
	at        time.Time
	sentAt    time.Time // of the request
	disproved bool
}

// judge returns the verdicts that are not Sound. The part with the most crashes is
// quarantined first, of several the one that stands deepest in prompts, since a
// deeper part nearly determines those before it. Its crashes are explained then and
// no longer count against other parts.
func judge(records map[Part]*record) map[Part]Verdict {
	explained := make(map[uint32]bool)
	verdicts := make(map[Part]Verdict)
	for {
		p, most := worst(records, verdicts, explained)
		if most < quarantineCrashes {
			break
		}
		verdicts[p] = Quarantined
		for u, c := range records[p].crashes {
			explained[u] = explained[u] || !c.disproved
		}
	}
	for p, r := range records {
		if verdicts[p] == Sound && r.count(explained) >= suspectCrashes {
			verdicts[p] = Suspected
		}
	}
	return verdicts
}

// worst returns the part without a verdict against which the most crashes count.
func worst(records map[Part]*record, verdicts map[Part]Verdict, explained map[uint32]bool) (worst Part, most int) {
	depth := 0
	for p, r := range records {
		if verdicts[p] != Sound {
			continue
		}
		n := r.count(explained)
		if n > most || (n == most && (r.depth > depth || (r.depth == depth && p < worst))) {
			worst, most, depth = p, n, r.depth
		}
	}
	return worst, most
}

// count returns the number of crashes that are neither disproved nor explained.
// Upstreams that ended within crashSpan under requests that were sent before the first
// of them ended count once, unless the requests are the same.
func (r *record) count(explained map[uint32]bool) int {
	n, last := 0, time.Time{}
	for _, u := range slices.Backward(r.newestFirst()) {
		c := r.crashes[u]
		if c.disproved || explained[u] {
			continue
		}
		if r.whole || c.at.Sub(last) >= crashSpan || !c.sentAt.Before(last) {
			n, last = n+1, c.at
		}
	}
	return n
}

// lastCrash returns the time of the latest crash that is not disproved.
func (r *record) lastCrash() time.Time {
	latest := time.Time{}
	for _, c := range r.crashes {
		if !c.disproved && c.at.After(latest) {
			latest = c.at
		}
	}
	return latest
}

// trialDue returns the time from which a request with the part may be let through.
func (r *record) trialDue() time.Time {
	wait := trialWait
	for range r.count(nil) - quarantineCrashes {
		wait = min(trialGrowth*wait, trialWaitMax)
	}
	return r.lastCrash().Add(wait)
}
