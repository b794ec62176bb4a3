package balance

import "time"

// TimeLeft is the time for which a request's caller still waits.
type TimeLeft struct {
	First time.Duration // for the first byte of the answer; 0: as long as for the whole
	Whole time.Duration // for the whole answer; 0: any time
}

// FirstByte returns the time for which the caller waits for the first byte; 0: any time.
func (l TimeLeft) FirstByte() time.Duration {
	if l.First > 0 && (l.Whole <= 0 || l.First < l.Whole) {
		return l.First
	}
	return l.Whole
}

// Expected is when an answer is expected, counted from now.
type Expected struct {
	First, Whole time.Duration
	Learnt       bool // from earlier answers to such work; false: it is a guess
}

// Excess returns by how much an answer is expected to come later than its caller waits;
// 0: it is expected in time, or nothing is known yet.
func (e Expected) Excess(left TimeLeft) time.Duration {
	if !e.Learnt {
		return 0
	}
	excess := time.Duration(0)
	if left.First > 0 {
		excess = max(excess, e.First-left.First)
	}
	if left.Whole > 0 {
		excess = max(excess, e.Whole-left.Whole)
	}
	return excess
}

// excess returns by how much p's answer is expected to come too late for its caller. A
// request that has nothing before it is never late: it is tried, and its answer shows how
// long such work takes.
func (p *Pick) excess(left TimeLeft) time.Duration {
	if p.Ahead <= 0 {
		return 0
	}
	return p.Expected.Excess(left)
}

// isBetter reports whether p is the better choice than other. An
// upstream that takes work goes before one that is closed or in backoff, and one that can
// answer while the caller waits before one that can't. Of those that can't, the one that
// answers first is the best. Of those that can, one whose streams the caller can resume
// goes first: a stream that is lost costs its caller more than a wait within its time.
func (p *Pick) isBetter(other *Pick) bool {
	switch {
	case other == nil:
		return true
	case p.unavailable != other.unavailable:
		return other.unavailable
	case p.Late > 0 && other.Late > 0:
		return p.Late < other.Late
	case p.Late > 0 || other.Late > 0:
		return p.Late == 0
	case p.unkept != other.unkept:
		return other.unkept
	}
	return p.score < other.score
}
