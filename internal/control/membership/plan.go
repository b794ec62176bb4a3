package membership

import (
	"slices"
	"time"

	"currantpulley/internal/control/broadcast"
	"currantpulley/internal/event"
	"currantpulley/internal/fleet"
)

const (
	crossEvery       = 5  // one probe in this many goes to another data centre
	deadEvery        = 3  // one tick in this many also probes a dead VM or one that was never heard from
	crossPartners    = 2  // VMs probed in each other data centre
	maxRelays        = 2  // VMs that are asked to probe an unresponsive one
	maxHealth        = 4  // the worst local health score
	pauseFactor      = 5  // probe periods without a tick that count as a pause of this process
	unreachableAfter = 3  // consecutive failed probes that make a data centre unreachable
	syncPageSize     = 64 // entries
)

// plan holds the neighbours that this VM probes.
type plan struct {
	stale     bool       // the view changed since near and cross were computed
	near      []fleet.VM // in this data centre
	cross     []fleet.VM // in other data centres
	ticks     int        // number of ticks so far
	nextNear  int        // index into near
	nextCross int        // index into cross
}

// reachability tracks whether another data centre can be reached.
type reachability struct {
	failures    int // consecutive failed probes
	unreachable bool
	since       time.Time
}

// probe is a probe to send, and the VMs to ask if it fails.
type probe struct {
	target  fleet.VM
	relays  []fleet.VM
	timeout time.Duration
}

// tick returns the probes to send now.
func (m *machine) tick(now time.Time) []probe {
	m.compensatePause(now)
	m.lastTick = now
	m.expire(now)
	m.replan()
	p := &m.plan
	p.ticks++
	var probes []probe
	if vm, ok := p.next(); ok {
		probes = append(probes, probe{target: vm, relays: m.relaysFor(vm), timeout: m.timeout()})
	}
	if p.ticks%deadEvery == 0 {
		if vm, ok := m.unresponsive(); ok {
			probes = append(probes, probe{target: vm, timeout: m.timeout()})
		}
	}
	return probes
}

// timeout returns the timeout of a direct probe. It is longer while probes of
// this VM fail, since this VM may then be the slow one.
func (m *machine) timeout() time.Duration {
	return m.opts.ProbeTimeout * time.Duration(1+m.health)
}

// next returns the neighbour to probe next.
func (p *plan) next() (fleet.VM, bool) {
	if len(p.cross) > 0 && (p.ticks%crossEvery == 0 || len(p.near) == 0) {
		p.nextCross++
		return p.cross[p.nextCross%len(p.cross)], true
	}
	if len(p.near) == 0 {
		return fleet.VM{}, false
	}
	p.nextNear++
	return p.near[p.nextNear%len(p.near)], true
}

// replan recomputes the neighbours after the view changed: the hops of the
// broadcast tree in this data centre and a few VMs of each other one.
func (m *machine) replan() {
	if !m.plan.stale {
		return
	}
	m.plan.stale = false
	byCentre := m.byDataCentre()
	m.plan.near, m.plan.cross = nil, nil
	for _, hop := range m.ring().Hops(0) {
		m.plan.near = append(m.plan.near, hop.VM)
	}
	for centre, vms := range byCentre {
		if centre != m.self.DataCentre {
			m.plan.cross = append(m.plan.cross, fleet.Owners(vms, m.self.Name, crossPartners)...)
		}
	}
	slices.SortFunc(m.plan.cross, byName)
	m.rand.Shuffle(len(m.plan.near), func(i, j int) {
		m.plan.near[i], m.plan.near[j] = m.plan.near[j], m.plan.near[i]
	})
	m.rand.Shuffle(len(m.plan.cross), func(i, j int) {
		m.plan.cross[i], m.plan.cross[j] = m.plan.cross[j], m.plan.cross[i]
	})
}

// ring returns the broadcast ring of this data centre's VMs that are not dead.
func (m *machine) ring() broadcast.Ring {
	return broadcast.NewRing(m.byDataCentre()[m.self.DataCentre], m.self.Name)
}

// byDataCentre returns the other VMs that are not dead by data centre, sorted by
// name.
func (m *machine) byDataCentre() map[string][]fleet.VM {
	byCentre := make(map[string][]fleet.VM)
	for _, mb := range m.members {
		if mb.vm.State != fleet.Dead {
			byCentre[mb.vm.DataCentre] = append(byCentre[mb.vm.DataCentre], mb.vm)
		}
	}
	for _, vms := range byCentre {
		slices.SortFunc(vms, byName)
	}
	return byCentre
}

func byName(a, b fleet.VM) int {
	if a.Name < b.Name {
		return -1
	}
	return 1
}

// relaysFor returns random live neighbours to ask for an indirect probe of target.
func (m *machine) relaysFor(target fleet.VM) []fleet.VM {
	candidates := slices.DeleteFunc(slices.Clone(m.plan.near), func(vm fleet.VM) bool {
		mb, ok := m.members[vm.Name]
		return vm.Name == target.Name || !ok || mb.vm.State != fleet.Alive
	})
	m.rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:min(maxRelays, len(candidates))]
}

// unresponsive returns a random VM that is dead or was never heard from. Probing
// it detects that a partition has healed.
func (m *machine) unresponsive() (fleet.VM, bool) {
	var candidates []fleet.VM
	for _, mb := range m.members {
		if mb.vm.State == fleet.Dead || mb.vm.Incarnation == 0 {
			candidates = append(candidates, mb.vm)
		}
	}
	if len(candidates) == 0 {
		return fleet.VM{}, false
	}
	slices.SortFunc(candidates, byName)
	return candidates[m.rand.IntN(len(candidates))], true
}

// syncPartner returns a random neighbour whose view differs from this VM's.
func (m *machine) syncPartner() (fleet.VM, bool) {
	m.replan()
	ours := m.viewDigest()
	all := slices.DeleteFunc(slices.Concat(m.plan.near, m.plan.cross), func(vm fleet.VM) bool {
		mb, ok := m.members[vm.Name]
		return !ok || mb.digest == ours
	})
	if len(all) == 0 {
		return fleet.VM{}, false
	}
	return all[m.rand.IntN(len(all))], true
}

// recordReach applies the result of an exchange with a VM to the reachability of
// its data centre. The data centre of this VM is not tracked.
func (m *machine) recordReach(now time.Time, centre string, ok bool) {
	if centre == m.self.DataCentre {
		return
	}
	r := m.dataCentres[centre]
	if r == nil {
		r = &reachability{since: now}
		m.dataCentres[centre] = r
	}
	if !ok {
		r.failures++
	} else {
		r.failures = 0
	}
	switch {
	case !r.unreachable && r.failures >= unreachableAfter:
		r.unreachable, r.since = true, now
		m.opts.Recorder.Record(event.Event{ID: event.DataCentreUnreachable, Detail: centre})
	case r.unreachable && r.failures == 0:
		m.opts.Recorder.Record(event.Event{
			ID:     event.DataCentreReachable,
			Detail: centre + " after " + now.Sub(r.since).Round(time.Millisecond).String(),
		})
		r.unreachable, r.since = false, now
	}
}
