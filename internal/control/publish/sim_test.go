package publish

import (
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"time"

	"currantpulley/internal/config"
	pb "currantpulley/internal/control/publish/publishpb"
	"currantpulley/internal/fleet"
)

// Times of the simulation, in ticks.
const (
	tick           = 100 * time.Millisecond
	detachTicks    = 20
	suspicionTicks = 18 // until membership declares a VM dead; publishing requires less than detachTicks
	ackTicks       = 30
	takeoverTicks  = 4
	reappendTicks  = 60
	retentionTicks = 250
	maxDelayTicks  = 2 // of a message or an append
	readBatch      = 4 // records per read
	decideTicks    = 4*ackTicks + 12*takeoverTicks
	maxLagTicks    = 2*detachTicks + detachTicks + suspicionTicks + 10 // hold, confirmation, failure detection, delays
	convergeTicks  = maxLagTicks + decideTicks                         // without faults, at the end of a history
	outageTicks    = 50
	maxPauseTicks  = 60
	minPauseTicks  = 3 // gap above which membership detects a pause
	maxGapTicks    = 40
	warmupTicks    = 10
)

var simTiming = Timing{
	AckTimeout:    ackTicks * tick,
	Takeover:      takeoverTicks * tick,
	Detach:        detachTicks * tick,
	Reappend:      reappendTicks * tick,
	StageInterval: 2 * tick,
}

// opKind is the kind of an operation or fault in a history.
type opKind int

const (
	opPublish opKind = iota
	opRace           // two candidates with the same parent
	opRepeat         // appends the record of the last candidate again
	opCrash
	opRestart
	opPause
	opPartition
	opHeal
	opOutage
	opCutLog
	opLostReply
	opRetention
	opRestartAll
	opSplit              // partitions the fleet in two, and may cut one part or both off the log
	opIsolateCoordinator // partitions the next coordinator from all others as it commits, and cuts them off the log
)

// weightedKinds lists the kinds that are drawn, with repetition by weight.
var weightedKinds = []opKind{
	opPublish, opPublish, opPublish, opPublish, opPublish, opRace, opRace, opRepeat,
	opCrash, opCrash, opRestart, opRestart, opPause, opPause, opPartition, opHeal,
	opOutage, opOutage, opCutLog, opLostReply, opRetention, opRestartAll,
	opSplit, opSplit, opSplit, opSplit, opIsolateCoordinator, opIsolateCoordinator,
}

// op is an operation or fault that happens gap ticks after the one before it.
type op struct {
	kind opKind
	gap  int
	vm   int
	arg  int
}

func (o op) String() string {
	names := []string{"publish", "race", "repeat", "crash", "restart", "pause", "partition", "heal", "outage", "cut", "lost-reply", "retention", "restart-all", "split", "isolate-coordinator"}
	return fmt.Sprintf("+%d %s vm-%d %d", o.gap, names[o.kind], o.vm, o.arg)
}

// simNode is one VM.
type simNode struct {
	name        string
	m           *Machine
	incarnation int // number of starts
	up          bool
	pausedUntil int    // tick at which a pause ends
	lastRun     int    // last tick at which it ran
	logCut      bool   // whether it is cut off the log
	group       int    // it reaches the VMs of the same group
	nextOffset  uint64 // of the next record to read
	lastContact []int  // last tick of contact with each VM
	hash        string // of the content applied last
	detached    bool
}

// simRecord is a record of the simulated log.
type simRecord struct {
	at   time.Time
	data []byte
}

// sim simulates a fleet and its log in ticks.
type sim struct {
	rng               *rand.Rand
	now               int // tick
	nodes             []*simNode
	log               []simRecord      // record i has offset i+1
	firstOffset       uint64           // first retained record
	logDownUntil      int              // tick at which an outage of the log ends
	lostReplies       []bool           // whether the replies to the next appends are lost
	due               map[int][]func() // by tick
	serial            int              // of the last candidate
	isolateNextCommit bool             // by opIsolateCoordinator
	lastCandidate     []byte           // record, for opRepeat
	checker           *invariantChecker

	fakeAckFrom string // planted fault: this VM's answers are replaced by acknowledgements
	applyOldest bool   // planted fault: a VM that starts applies the first version in the log
}

func newSim(seed int64, vms int) *sim {
	s := &sim{rng: rand.New(rand.NewSource(seed)), firstOffset: 1, due: make(map[int][]func())}
	for i := range vms {
		s.nodes = append(s.nodes, &simNode{name: fmt.Sprintf("vm-%d", i), lastContact: make([]int, vms)})
	}
	s.checker = newInvariantChecker(s)
	for _, n := range s.nodes {
		s.start(n)
	}
	return s
}

func (s *sim) time() time.Time { return time.Unix(0, 0).Add(time.Duration(s.now) * tick) }

// start starts n with an empty state.
func (s *sim) start(n *simNode) {
	n.up, n.pausedUntil, n.detached, n.hash = true, 0, false, ""
	n.incarnation++
	n.m = NewMachine(n.name, simTiming, s.time())
	n.nextOffset = 0
	s.checker.healthySince[n] = s.now
	for i := range n.lastContact {
		n.lastContact[i] = s.now
	}
}

func (s *sim) isRunning(n *simNode) bool { return n.up && s.now >= n.pausedUntil }

func (s *sim) connected(a, b *simNode) bool {
	return s.isRunning(a) && s.isRunning(b) && a.group == b.group
}

func (s *sim) logReachable(n *simNode) bool { return s.now >= s.logDownUntil && !n.logCut }

// scheduleSoon runs f within maxDelayTicks, unless n crashed or restarted by then.
func (s *sim) scheduleSoon(n *simNode, f func()) {
	s.scheduleAt(s.now+1+s.rng.Intn(maxDelayTicks), n, n.incarnation, f)
}

// scheduleAt runs f at a tick, or when the pause of n ends, unless n crashed or
// restarted by then.
func (s *sim) scheduleAt(when int, n *simNode, incarnation int, f func()) {
	s.due[when] = append(s.due[when], func() {
		switch {
		case n.incarnation != incarnation || !n.up:
		case s.now < n.pausedUntil:
			s.scheduleAt(n.pausedUntil, n, incarnation, f)
		default:
			f()
		}
	})
}

// view returns the fleet as membership at n would report it.
func (s *sim) view(n *simNode) fleet.View {
	v := fleet.View{Self: n.name}
	for i, other := range s.nodes {
		vm := fleet.VM{Name: other.name, DataCentre: fmt.Sprint("dc-", i%3)}
		if other != n && s.now-n.lastContact[i] > suspicionTicks {
			vm.State = fleet.Dead
		}
		v.VMs = append(v.VMs, vm)
	}
	return v
}

// step advances the simulation by one tick.
func (s *sim) step() {
	s.now++
	for _, f := range s.due[s.now] {
		f()
	}
	delete(s.due, s.now)
	for _, n := range s.nodes {
		if s.isRunning(n) {
			s.stepNode(n)
		}
	}
	s.checker.tick()
}

func (s *sim) stepNode(n *simNode) {
	if gap := s.now - n.lastRun; n.pausedUntil == s.now && gap > minPauseTicks {
		for i := range n.lastContact { // membership restarts its timeouts after a pause
			n.lastContact[i] = s.now
		}
	}
	n.lastRun = s.now
	s.gossip(n)
	n.m.Tick(s.time(), s.view(n))
	s.execute(n)
	s.tail(n)
	s.execute(n)
}

// gossip renews the contacts of n and passes on the version of a random peer.
func (s *sim) gossip(n *simNode) {
	var near []*simNode
	for i, other := range s.nodes {
		if other != n && s.connected(n, other) {
			n.lastContact[i] = s.now
			near = append(near, other)
		}
	}
	if len(near) > 0 {
		other := near[s.rng.Intn(len(near))]
		n.m.PeerVersionReceived(s.time(), other.name, other.m.Version())
	}
}

// tail passes a batch of records to n.
func (s *sim) tail(n *simNode) {
	if !s.logReachable(n) {
		return
	}
	if n.nextOffset < s.firstOffset {
		n.nextOffset = s.firstOffset
		n.m.LogStartsAt(s.firstOffset)
	}
	var entries []entry
	for ; n.nextOffset <= uint64(len(s.log)) && len(entries) < readBatch; n.nextOffset++ {
		r := s.log[n.nextOffset-1]
		record, err := decodeRecord(r.data)
		entries = append(entries, entry{offset: n.nextOffset, at: r.at, record: record, err: err})
	}
	caughtUp := len(entries) < readBatch
	n.m.LogRead(s.time(), s.time(), entries, caughtUp)
	if s.applyOldest && n.hash == "" && len(entries) > 0 {
		n.m.LogRead(s.time(), s.time(), nil, true)
	}
}

func (s *sim) execute(n *simNode) {
	for actions := n.m.TakeActions(); len(actions) > 0; actions = n.m.TakeActions() {
		for _, a := range actions {
			s.executeAction(n, a)
		}
	}
}

func (s *sim) executeAction(n *simNode, a Action) {
	switch a := a.(type) {
	case Append:
		data, err := encodeRecord(a.Record)
		if err != nil {
			panic(err)
		}
		if s.isolateNextCommit && a.Record.GetVerdict().GetCommit() {
			s.isolateNextCommit = false
			s.split(1<<slices.Index(s.nodes, n), 1)
		}
		s.append(n, data, func(err error) { n.m.Appended(s.time(), a.Record, err) })
	case RequestStage:
		s.requestStage(n, a)
	case Fetch:
		s.fetch(n, a.VM)
	case Check:
		s.scheduleSoon(n, func() { s.check(n, a) })
	case Apply:
		n.hash = a.Hash
	case Detach:
		n.detached = a.Detached
	case RecordEvent:
	}
}

// check refuses a candidate whose content names n, and acknowledges others.
func (s *sim) check(n *simNode, a Check) {
	var refusals []*pb.Refusal
	if strings.Contains(string(a.Content), "nack:"+n.name+" ") {
		refusals = []*pb.Refusal{{Vm: n.name, Reason: "injected"}}
	} else {
		s.checker.recordAck(a.Candidate, n)
	}
	n.m.Checked(s.time(), a.Candidate, refusals)
	s.execute(n)
}

func (s *sim) find(name string) *simNode {
	i := slices.IndexFunc(s.nodes, func(n *simNode) bool { return n.name == name })
	return s.nodes[i]
}

func (s *sim) requestStage(n *simNode, a RequestStage) {
	to := s.find(a.VM)
	if a.WithContent {
		a.Request.Content = compress(n.m.StagedContent(a.Request.GetCandidate()))
	}
	offset := a.Request.GetCandidate()
	if s.fakeAckFrom == a.VM {
		s.scheduleSoon(n, func() { n.m.StageAnswered(s.time(), a.VM, offset, &pb.StageReply{Answer: pb.Answer_ANSWER_ACK}) })
		return
	}
	s.scheduleSoon(to, func() {
		if !s.connected(n, to) {
			return
		}
		reply := to.m.Stage(s.time(), a.Request)
		s.execute(to)
		s.scheduleSoon(n, func() {
			if s.connected(n, to) {
				n.m.StageAnswered(s.time(), a.VM, offset, reply)
				s.execute(n)
			}
		})
	})
}

func (s *sim) fetch(n *simNode, from string) {
	to := s.find(from)
	s.scheduleSoon(n, func() {
		got := version{}
		if s.connected(n, to) {
			got = to.m.Offer()
		}
		n.m.Fetched(s.time(), from, got.number, got.hash, got.content)
		s.execute(n)
	})
}

// append appends data to the log after a delay; a nil n is an operator. The record
// may be appended although n gets an error, or n may have stopped by then.
func (s *sim) append(n *simNode, data []byte, done func(error)) {
	lost := len(s.lostReplies) > 0 && s.lostReplies[0]
	if len(s.lostReplies) > 0 {
		s.lostReplies = s.lostReplies[1:]
	}
	at := s.now + 1 + s.rng.Intn(maxDelayTicks)
	s.due[at] = append(s.due[at], func() {
		ok := s.now >= s.logDownUntil && (n == nil || !n.logCut)
		if ok {
			s.log = append(s.log, simRecord{s.time(), data})
			s.checker.recordAppended(uint64(len(s.log)), data)
		}
		if n == nil {
			return
		}
		err := error(nil)
		if !ok || lost {
			err = errInjected
		}
		s.scheduleSoon(n, func() { done(err) })
	})
}

var errInjected = fmt.Errorf("injected failure")

// publish appends a candidate as an operator would. The VM with the index nack
// refuses it; if there is none, no VM does.
func (s *sim) publish(parent uint64, nack int) {
	s.serial++
	text := fmt.Sprintf("content %d ", s.serial)
	if nack < len(s.nodes) {
		text += "nack:" + s.nodes[nack].name + " "
	}
	content := []byte(text)
	data, err := encodeRecord(candidateRecord(&pb.Candidate{
		Parent: parent, Hash: config.ContentHash(content), Nonce: fmt.Sprint("n", s.serial),
		Payload: &pb.Payload{Data: compress(content)},
	}))
	if err != nil {
		panic(err)
	}
	s.lastCandidate = data
	s.append(nil, data, nil)
}

// apply carries out o.
func (s *sim) apply(o op) {
	n := s.nodes[o.vm%len(s.nodes)]
	switch o.kind {
	case opPublish:
		s.publish(s.checker.inForce, o.arg)
	case opRace:
		s.publish(s.checker.inForce, o.arg)
		s.publish(s.checker.inForce, 1<<20)
	case opRepeat:
		if s.lastCandidate != nil {
			s.append(nil, s.lastCandidate, nil)
		}
	case opCrash:
		if s.upCount() > 1 {
			n.up = false
		}
	case opRestart:
		s.start(n)
	case opPause:
		if n.up {
			n.pausedUntil = s.now + 2 + o.arg*maxPauseTicks/20
		}
	case opPartition:
		n.group = o.arg % 3
	case opHeal:
		s.heal()
	case opOutage:
		s.logDownUntil = s.now + 1 + o.arg*outageTicks/20
	case opCutLog:
		n.logCut = !n.logCut
	case opLostReply:
		s.lostReplies = append(s.lostReplies, o.arg%2 == 0, true)
	case opRetention:
		s.trim()
	case opRestartAll:
		s.restartAll()
	case opSplit:
		s.split(o.vm, o.arg)
	case opIsolateCoordinator:
		s.isolateNextCommit = true
	}
}

// split partitions the VMs whose bit is set in mask from the others. Bit 0 of cut
// cuts the others off the log, bit 1 the VMs in mask.
func (s *sim) split(mask, cut int) {
	for i, n := range s.nodes {
		n.group = mask >> i & 1
		n.logCut = cut>>n.group&1 == 1
	}
}

func (s *sim) upCount() int {
	n := 0
	for _, node := range s.nodes {
		if node.up {
			n++
		}
	}
	return n
}

func (s *sim) heal() {
	for _, n := range s.nodes {
		n.group, n.logCut = 0, false
	}
}

// restartAll restarts all VMs. It makes the log available, because otherwise no
// copy of any version would be left.
func (s *sim) restartAll() {
	s.logDownUntil = 0
	for _, n := range s.nodes {
		n.logCut = false
		s.start(n)
	}
}

// trim drops records older than the retention if there was a healthy VM, which
// could write to the log, at every tick of that time. Otherwise losing the version
// in force would be expected.
func (s *sim) trim() {
	if s.now-s.checker.writableSince < retentionTicks {
		return
	}
	for int(s.firstOffset) <= len(s.log) && s.time().Sub(s.log[s.firstOffset-1].at) > retentionTicks*tick {
		s.firstOffset++
	}
}

// run simulates the history and returns the violations that were found.
func (s *sim) run(ops []op) []string {
	for range warmupTicks {
		s.step()
	}
	for _, o := range ops {
		for range o.gap {
			s.step()
		}
		s.apply(o)
	}
	s.heal()
	s.logDownUntil, s.isolateNextCommit = 0, false
	for _, n := range s.nodes {
		n.pausedUntil = min(n.pausedUntil, s.now)
		if !n.up {
			s.start(n)
		}
	}
	for range convergeTicks {
		s.step()
	}
	s.checker.checkConverged()
	return s.checker.violations
}
