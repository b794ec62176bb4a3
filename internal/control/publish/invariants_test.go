package publish

import (
	"fmt"

	pb "currantpulley/internal/control/publish/publishpb"
)

// invariantChecker checks a simulated history against the guarantees of
// publishing. It derives the candidates' results from the log with its own
// implementation and observes the nodes from outside.
type invariantChecker struct {
	s          *sim
	violations []string
	inForce    uint64                       // version in force according to the log; 0: none
	candidates map[uint64]*checkedCandidate // by offset
	nonces     map[string]bool
	acks       map[uint64]map[string]bool // by candidate and VM

	healthySince   map[*simNode]int // tick since which a VM runs and reaches the log and a majority
	connectedSince int              // tick since which all VMs run and reach each other
	lag            map[*simNode]int // ticks for which a VM has served an older version than another
	commonVersion  uint64           // lowest version that a VM serves
	commonSince    int              // tick since which commonVersion has not changed
	settled        uint64           // version below which no VM may serve any more
	writableSince  int              // tick since which a healthy VM exists
}

// checkedCandidate is a candidate with its result.
type checkedCandidate struct {
	*pb.Candidate
	state       string // open, committed, refused or lost
	committedAt int    // tick
}

func newInvariantChecker(s *sim) *invariantChecker {
	return &invariantChecker{
		s: s, candidates: make(map[uint64]*checkedCandidate), nonces: make(map[string]bool),
		acks: make(map[uint64]map[string]bool), healthySince: make(map[*simNode]int), lag: make(map[*simNode]int),
	}
}

// violated records a violation with the tick.
func (r *invariantChecker) violated(format string, args ...any) {
	r.violations = append(r.violations, fmt.Sprintf("tick %d: ", r.s.now)+fmt.Sprintf(format, args...))
}

// recordAck records that a VM's own check of a candidate passed.
func (r *invariantChecker) recordAck(candidate uint64, n *simNode) {
	if r.acks[candidate] == nil {
		r.acks[candidate] = make(map[string]bool)
	}
	r.acks[candidate][n.name] = true
}

// recordAppended processes a record in the order of the log.
func (r *invariantChecker) recordAppended(offset uint64, data []byte) {
	record, err := decodeRecord(data)
	if err != nil {
		r.violated("record %d: %v", offset, err)
		return
	}
	if c := record.GetCandidate(); c != nil && !r.nonces[c.GetNonce()] {
		r.nonces[c.GetNonce()] = true
		state := "open"
		if c.GetParent() != r.inForce {
			state = "lost"
		}
		r.candidates[offset] = &checkedCandidate{Candidate: c, state: state}
	}
	if v := record.GetVerdict(); v != nil {
		r.applyVerdict(v)
	}
}

// applyVerdict decides a candidate that is open. After a commit, all other open
// candidates are lost.
func (r *invariantChecker) applyVerdict(v *pb.Verdict) {
	c := r.candidates[v.GetCandidate()]
	if c == nil || c.state != "open" {
		return
	}
	if !v.GetCommit() {
		c.state = "refused"
		return
	}
	c.state, c.committedAt = "committed", r.s.now
	r.inForce = v.GetCandidate()
	for _, other := range r.candidates {
		if other.state == "open" {
			other.state = "lost"
		}
	}
	r.checkAcks(v)
}

// checkAcks checks that each VM that the coordinator reaches passed its own check
// before the commit. It checks only if all VMs have reached each other for longer
// than suspicionTicks: before that, the coordinator may regard a VM as dead.
func (r *invariantChecker) checkAcks(v *pb.Verdict) {
	coordinator := r.s.find(v.GetVm())
	for i, n := range r.s.nodes {
		reached := r.s.connected(coordinator, n) && r.s.now-coordinator.lastContact[i] <= 1 && r.s.now-r.connectedSince > suspicionTicks
		if reached && !r.acks[v.GetCandidate()][n.name] {
			r.violated("candidate %d was committed without the ack of %s", v.GetCandidate(), n.name)
		}
	}
}

// servedVersion returns the version with which a VM serves requests; 0: none.
func (r *invariantChecker) servedVersion(n *simNode) uint64 {
	if !r.s.isRunning(n) || n.detached {
		return 0
	}
	return n.m.Version()
}

// tick checks the invariants that hold at every tick.
func (r *invariantChecker) tick() {
	highest, lowest := uint64(0), uint64(0)
	for _, n := range r.s.nodes {
		v := r.servedVersion(n)
		if v == 0 {
			continue
		}
		r.checkVersion(n, v)
		highest = max(highest, v)
		if lowest == 0 || v < lowest {
			lowest = v
		}
	}
	r.checkLag(highest)
	r.checkSettled(lowest)
	r.checkDelivery()
}

// checkVersion checks that a served version was committed with that content, and
// that it is not older than one that was in force everywhere.
func (r *invariantChecker) checkVersion(n *simNode, v uint64) {
	c := r.candidates[v]
	if c == nil || c.state != "committed" || c.GetHash() != n.hash {
		r.violated("%s serves version %d, which is not committed with that content", n.name, v)
	}
	if v < r.settled {
		r.violated("%s serves version %d after %d was in force everywhere", n.name, v, r.settled)
	}
}

// checkLag checks that VMs don't serve different versions for maxLagTicks.
func (r *invariantChecker) checkLag(highest uint64) {
	for _, n := range r.s.nodes {
		v := r.servedVersion(n)
		if v == 0 || v == highest {
			r.lag[n] = 0
			continue
		}
		r.lag[n]++
		if r.lag[n] == maxLagTicks {
			r.violated("%s serves version %d while %d is in force elsewhere for %d ticks", n.name, v, highest, maxLagTicks)
		}
	}
}

// checkSettled raises settled to the lowest version served once that has not
// changed for maxLagTicks.
func (r *invariantChecker) checkSettled(lowest uint64) {
	if lowest != r.commonVersion {
		r.commonVersion, r.commonSince = lowest, r.s.now
	}
	if r.s.now-r.commonSince >= maxLagTicks {
		r.settled = max(r.settled, lowest)
	}
}

// checkDelivery checks that every VM that was healthy for maxLagTicks after a
// commit serves the version, and that no VM is detached while all VMs run and
// reach each other, whether or not the log is available.
func (r *invariantChecker) checkDelivery() {
	allConnected, writable := true, false
	for _, n := range r.s.nodes {
		reach := 0
		for _, other := range r.s.nodes {
			if n == other || r.s.connected(n, other) {
				reach++
			}
		}
		allConnected = allConnected && reach == len(r.s.nodes) && r.s.isRunning(n)
		healthy := r.s.isRunning(n) && r.s.logReachable(n) && 2*reach > len(r.s.nodes)
		writable = writable || healthy
		if !healthy {
			r.healthySince[n] = r.s.now
		}
		c := r.candidates[r.inForce]
		if c != nil && r.s.now-max(r.healthySince[n], c.committedAt) >= maxLagTicks && r.servedVersion(n) < r.inForce {
			r.violated("%s serves version %d although %d was committed %d ticks ago", n.name, r.servedVersion(n), r.inForce, r.s.now-c.committedAt)
		}
	}
	if !writable {
		r.writableSince = r.s.now
	}
	if !allConnected {
		r.connectedSince = r.s.now
	}
	if r.s.now-r.connectedSince >= maxLagTicks {
		r.checkAttached()
	}
}

// checkAttached checks that no VM is detached.
func (r *invariantChecker) checkAttached() {
	for _, n := range r.s.nodes {
		if n.detached {
			r.violated("%s is detached although all VMs run and reach each other", n.name)
		}
	}
}

// checkConverged checks that every candidate is decided and all VMs serve the
// version in force. It is called after a time without faults.
func (r *invariantChecker) checkConverged() {
	for offset, c := range r.candidates {
		if c.state == "open" {
			r.violated("candidate %d is undecided", offset)
		}
	}
	for _, n := range r.s.nodes {
		if r.servedVersion(n) != r.inForce {
			r.violated("%s serves version %d after convergence, expected %d", n.name, r.servedVersion(n), r.inForce)
		}
	}
}
