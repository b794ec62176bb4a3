package membership

import (
	"cmp"
	"slices"
	"time"

	pb "currantpulley/internal/control/membership/membershippb"
	"currantpulley/internal/fleet"
)

// page returns up to syncPageSize entries with names after the given one, and
// the last name that the page covers, which is empty if it reaches the end.
func (m *machine) page(after string) (entries []*pb.Update, until string) {
	var vms []fleet.VM
	for _, vm := range m.view().VMs {
		if vm.Name > after && vm.Incarnation > 0 {
			vms = append(vms, vm)
		}
	}
	if len(vms) > syncPageSize {
		vms = vms[:syncPageSize]
		until = vms[syncPageSize-1].Name
	}
	for _, vm := range vms {
		entries = append(entries, update(vm))
	}
	return entries, until
}

// answerSync applies the peer's page and returns the entries of the same range
// that the peer lacks or has in an older state. The answer is at most one page.
func (m *machine) answerSync(now time.Time, req *pb.SyncRequest) (entries []*pb.Update, next string) {
	theirs := make(map[string]fleet.VM, len(req.GetUpdates()))
	for _, u := range req.GetUpdates() {
		theirs[u.GetName()] = fromUpdate(u)
		m.applyUpdate(now, u, u.GetName() == req.GetGossip().GetFrom())
	}
	ours, until := m.page(req.GetAfter())
	next = earlierEnd(until, req.GetUntil())
	for _, u := range ours {
		known, ok := theirs[u.GetName()]
		inRange := next == "" || u.GetName() <= next
		if inRange && (!ok || supersedes(fromUpdate(u), known)) {
			entries = append(entries, u)
		}
	}
	return entries, next
}

// earlierEnd returns the smaller of two page ends, where empty means no end.
func earlierEnd(a, b string) string {
	if a == "" || b == "" {
		return cmp.Or(a, b)
	}
	return min(a, b)
}

// joinOrder returns the VMs from which to fetch the first whole view, those of
// this data centre first. Each group is shuffled, so that the load is spread
// over the donors when a whole fleet restarts at once.
func (m *machine) joinOrder() []fleet.VM {
	var near, far []fleet.VM
	for _, vm := range m.view().VMs {
		switch {
		case vm.Name == m.self.Name || vm.State == fleet.Dead:
		case vm.DataCentre == m.self.DataCentre:
			near = append(near, vm)
		default:
			far = append(far, vm)
		}
	}
	for _, group := range [][]fleet.VM{near, far} {
		m.rand.Shuffle(len(group), func(i, j int) { group[i], group[j] = group[j], group[i] })
	}
	return slices.Concat(near, far)
}

// knownSitesShare is the share of VMs with known sites at which joining ends.
const knownSitesShare = 0.9

// knowsSites reports whether the sites of nearly all other VMs are known. A VM's
// site becomes known with the first update that the VM itself announced. The
// result is false while no other VM is known.
func (m *machine) knowsSites() bool {
	others, known := 0, 0
	for _, vm := range m.view().VMs {
		if vm.Name == m.self.Name || vm.State == fleet.Dead {
			continue
		}
		others++
		if vm.Site != "" {
			known++
		}
	}
	return others > 0 && float64(known) >= knownSitesShare*float64(others)
}
