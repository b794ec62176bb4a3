package usage

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	pb "currantpulley/internal/control/usage/usagepb"
	"currantpulley/internal/fleet"
	"currantpulley/internal/rendezvous"
)

const (
	maxDirectDaemons = 16               // largest number of daemons in a site at which reports go directly to the owner
	averagingTime    = 5 * time.Second  // time constant of the exponential average
	totalsTTL        = 30 * time.Second // for which totals and owned rates are kept without an update
	unitsPerRequest  = 100              // units per request on the wire
)

// amount is an amount of use, or a rate of use per second.
type amount struct{ requests, tokens float64 }

func (a amount) add(b amount) amount { return amount{a.requests + b.requests, a.tokens + b.tokens} }

// rate is an exponentially decaying sum of use.
type rate struct {
	sum amount
	at  time.Time
}

// add adds the use a at the time now.
func (r *rate) add(now time.Time, a amount) {
	left := r.decay(now)
	r.sum = amount{r.sum.requests * left, r.sum.tokens * left}.add(a)
	r.at = now
}

// decay returns the share of the sum that is left at now.
func (r *rate) decay(now time.Time) float64 {
	return math.Exp(-max(now.Sub(r.at).Seconds(), 0) / averagingTime.Seconds())
}

// perSecond returns the average use per second at now.
func (r *rate) perSecond(now time.Time) amount {
	scale := r.decay(now) / averagingTime.Seconds()
	return amount{r.sum.requests * scale, r.sum.tokens * scale}
}

// knownTotal is a total per second that this daemon got from an owner or relay.
type knownTotal struct {
	total amount
	at    time.Time
}

// message is a report to a peer and the indices of the workspaces in it.
type message struct {
	vm      fleet.VM
	request *pb.ReportRequest
	indices []uint32
}

// machine holds the state of Usage. It does no I/O and reads no clock. Workspaces
// are identified by their index in the sorted list.
type machine struct {
	self       string
	site       string
	vms        []fleet.VM            // live VMs of the site, sorted by name
	vmHashes   []uint64              // hashes of the VMs' names
	position   int                   // index of self in vms; -1: none
	names      []string              // of all workspaces, sorted
	nameHashes []uint64              // hashes of names
	indexOf    map[string]uint32     // by name
	dictionary uint32                // hash of names
	pending    map[uint32]amount     // use at this daemon that is to be reported
	relayed    map[uint32]amount     // use at other daemons that is to be reported to the owner
	owned      map[uint32]*rate      // rates of the workspaces that this daemon owns
	totals     map[uint32]knownTotal // last known totals of other workspaces
}

func newMachine(self string) *machine {
	m := &machine{self: self, position: -1}
	m.setWorkspaces(nil)
	return m
}

// setView sets the view of the fleet.
func (m *machine) setView(view fleet.View) {
	m.site, m.vms, m.vmHashes, m.position = "", nil, nil, -1
	self, _ := view.Find(m.self)
	if self.Site == "" {
		return
	}
	m.site = self.Site
	for _, vm := range view.VMs {
		if vm.Site != m.site || (vm.State != fleet.Alive && vm.Name != m.self) {
			continue
		}
		if vm.Name == m.self {
			m.position = len(m.vms)
		}
		m.vms = append(m.vms, vm)
		m.vmHashes = append(m.vmHashes, rendezvous.Hash(vm.Name))
	}
}

// setWorkspaces sets the names of all workspaces. It keeps the use and totals of
// workspaces that existed before.
func (m *machine) setWorkspaces(names []string) {
	before := m.names
	m.names = slices.Sorted(slices.Values(names))
	m.nameHashes = make([]uint64, len(m.names))
	m.indexOf = make(map[string]uint32, len(m.names))
	d := xxhash.New()
	for i, name := range m.names {
		m.nameHashes[i] = rendezvous.Hash(name)
		m.indexOf[name] = uint32(i)
		_, _ = fmt.Fprintln(d, name)
	}
	m.dictionary = uint32(d.Sum64())
	m.pending = renumber(m.pending, before, m.indexOf)
	m.relayed = renumber(m.relayed, before, m.indexOf)
	m.owned = renumber(m.owned, before, m.indexOf)
	m.totals = renumber(m.totals, before, m.indexOf)
}

// renumber converts the keys of old from indices into before to the new indices.
// It drops the entries of workspaces that no longer exist.
func renumber[V any](old map[uint32]V, before []string, indexOf map[string]uint32) map[uint32]V {
	out := make(map[uint32]V, len(old))
	for i, v := range old {
		if n, ok := indexOf[before[i]]; ok {
			out[n] = v
		}
	}
	return out
}

// collect adds this daemon's use and returns the reports to send, and the totals
// of the workspaces that this daemon owns.
func (m *machine) collect(now time.Time, uses []Use) (reports []message, totals []Total) {
	for _, u := range uses {
		if n, ok := m.indexOf[u.Workspace]; ok {
			m.pending[n] = m.pending[n].add(amount{u.Requests, u.Tokens})
		}
	}
	m.expire(now)
	if m.position < 0 {
		return nil, nil
	}
	totals = m.countOwned(now)
	relayed := m.groupByHop(m.relayed, func(owner int) int { return owner })
	own := m.groupByHop(m.pending, m.nextHop)
	for _, at := range slices.Sorted(maps.Keys(relayed)) {
		reports = append(reports, m.report(at, true, relayed[at]))
	}
	for _, at := range slices.Sorted(maps.Keys(own)) {
		reports = append(reports, m.report(at, !m.usesRelays(), own[at]))
	}
	clear(m.pending)
	clear(m.relayed)
	return reports, totals
}

// countOwned counts the collected use of the workspaces that this daemon owns and
// returns their totals.
func (m *machine) countOwned(now time.Time) []Total {
	var totals []Total
	for _, uses := range []map[uint32]amount{m.relayed, m.pending} {
		for n, a := range uses {
			if m.owner(n) != m.position {
				continue
			}
			m.count(now, n, a)
			delete(uses, n)
			totals = append(totals, m.total(n, m.owned[n].perSecond(now)))
		}
	}
	return totals
}

// count adds use to the rate of a workspace that this daemon owns.
func (m *machine) count(now time.Time, n uint32, a amount) {
	r, ok := m.owned[n]
	if !ok {
		r = &rate{at: now}
		m.owned[n] = r
	}
	r.add(now, a)
}

// total returns the Total of a workspace whose use per second is a.
func (m *machine) total(n uint32, a amount) Total {
	return Total{Workspace: m.names[n], Requests: a.requests, Tokens: a.tokens}
}

// owner returns the position of the daemon that owns a workspace.
func (m *machine) owner(n uint32) int {
	return rendezvous.Top(m.vmHashes, m.nameHashes[n], 1)[0]
}

// usesRelays reports whether reports travel through relays.
func (m *machine) usesRelays() bool { return len(m.vms) > maxDirectDaemons }

// nextHop returns the position of the daemon to which to send use for an owner.
// In a grid this is the daemon in this daemon's row and the owner's column, or
// the owner itself if there is no such daemon or it is this one.
func (m *machine) nextHop(owner int) int {
	if !m.usesRelays() {
		return owner
	}
	columns := int(math.Ceil(math.Sqrt(float64(len(m.vms)))))
	relay := m.position/columns*columns + owner%columns
	if relay >= len(m.vms) || relay == m.position {
		return owner
	}
	return relay
}

// groupByHop groups uses by the position of the daemon to which they are sent.
func (m *machine) groupByHop(uses map[uint32]amount, hopOf func(owner int) int) map[int]map[uint32]amount {
	groups := make(map[int]map[uint32]amount)
	for n, a := range uses {
		at := hopOf(m.owner(n))
		if groups[at] == nil {
			groups[at] = make(map[uint32]amount)
		}
		groups[at][n] = a
	}
	return groups
}

// report builds the report of uses to the daemon at a position. A final report
// must be counted by its receiver.
func (m *machine) report(at int, final bool, uses map[uint32]amount) message {
	req := &pb.ReportRequest{Site: m.site, Dictionary: m.dictionary, Final: final}
	indices := slices.Sorted(maps.Keys(uses))
	last := uint32(0)
	for _, n := range indices {
		req.Step = append(req.Step, n-last)
		req.Requests = append(req.Requests, toUint32(uses[n].requests*unitsPerRequest))
		req.Tokens = append(req.Tokens, toUint32(uses[n].tokens))
		last = n
	}
	return message{vm: m.vms[at], request: req, indices: indices}
}

// toUint32 rounds v and clamps it to the range of uint32.
func toUint32(v float64) uint32 { return uint32(min(max(math.Round(v), 0), math.MaxUint32)) }

// receive applies a report and returns the reply. Use in a report that is not
// final is kept for the owner.
func (m *machine) receive(now time.Time, req *pb.ReportRequest) *pb.ReportReply {
	count := len(req.GetStep())
	same := req.GetSite() == m.site && req.GetDictionary() == m.dictionary && m.position >= 0
	if !same || len(req.GetRequests()) != count || len(req.GetTokens()) != count {
		return &pb.ReportReply{UnknownDictionary: true}
	}
	reply := &pb.ReportReply{}
	n := uint32(0)
	for i, step := range req.GetStep() {
		n += step
		if int(n) >= len(m.names) {
			break
		}
		use := amount{float64(req.GetRequests()[i]) / unitsPerRequest, float64(req.GetTokens()[i])}
		total := m.receiveOne(now, n, use, req.GetFinal())
		reply.Requests = append(reply.Requests, toUint32(total.requests*unitsPerRequest))
		reply.Tokens = append(reply.Tokens, toUint32(total.tokens))
	}
	return reply
}

// receiveOne applies the use of one workspace and returns the total as far as it
// is known here.
func (m *machine) receiveOne(now time.Time, n uint32, use amount, final bool) amount {
	if final || m.owner(n) == m.position {
		m.count(now, n, use)
		return m.owned[n].perSecond(now)
	}
	m.relayed[n] = m.relayed[n].add(use)
	return m.totals[n].total
}

// handleReply applies the reply to a report and returns the totals in it.
func (m *machine) handleReply(now time.Time, r message, reply *pb.ReportReply) []Total {
	if reply.GetUnknownDictionary() {
		m.requeue(r)
		return nil
	}
	if r.request.GetDictionary() != m.dictionary || len(reply.GetTokens()) != len(reply.GetRequests()) {
		return nil
	}
	var totals []Total
	for i, requests := range reply.GetRequests() {
		if i >= len(r.indices) {
			break
		}
		total := amount{float64(requests) / unitsPerRequest, float64(reply.GetTokens()[i])}
		if total == (amount{}) {
			continue // the relay has no total from the owner yet
		}
		m.totals[r.indices[i]] = knownTotal{total, now}
		totals = append(totals, m.total(r.indices[i], total))
	}
	return totals
}

// requeue adds the use of a failed report to the next one. If only the reply was
// lost, the use is counted twice, so limits are too strict for a few seconds.
func (m *machine) requeue(r message) {
	if r.request.GetDictionary() != m.dictionary {
		return
	}
	for i, n := range r.indices {
		use := amount{float64(r.request.GetRequests()[i]) / unitsPerRequest, float64(r.request.GetTokens()[i])}
		m.pending[n] = m.pending[n].add(use)
	}
}

// expire drops totals and rates that were not updated for totalsTTL.
func (m *machine) expire(now time.Time) {
	maps.DeleteFunc(m.totals, func(_ uint32, k knownTotal) bool { return now.Sub(k.at) > totalsTTL })
	maps.DeleteFunc(m.owned, func(_ uint32, r *rate) bool { return now.Sub(r.at) > totalsTTL })
}
