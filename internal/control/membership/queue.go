package membership

import (
	"cmp"
	"math/bits"
	"slices"

	pb "currantpulley/internal/control/membership/membershippb"
	"currantpulley/internal/fleet"
)

const (
	maxUpdates       = 8 // maximum number of updates piggybacked on one message
	retransmitFactor = 2 // an update is sent this many times the binary logarithm of the fleet's size
)

// queued is an update and the number of messages that are still to carry it.
type queued struct {
	update    *pb.Update
	sendsLeft int
}

// queue holds the updates to piggyback on messages, at most one per VM.
type queue struct{ byName map[string]*queued }

func newQueue() *queue { return &queue{byName: make(map[string]*queued)} }

// add queues an update and replaces an earlier one about the same VM.
func (q *queue) add(u *pb.Update, fleetSize int) {
	q.byName[u.GetName()] = &queued{update: u, sendsLeft: retransmitFactor * bits.Len(uint(fleetSize)+1)}
}

// countKnown notes that a peer already knew an update. It counts as a send: an
// update that other VMs know needs fewer retransmissions.
func (q *queue) countKnown(u *pb.Update) {
	e, ok := q.byName[u.GetName()]
	if !ok || e.update.GetIncarnation() != u.GetIncarnation() || e.update.GetState() != u.GetState() {
		return
	}
	q.countSend(e)
}

// countSend counts one send of an update and removes the update after the last.
func (q *queue) countSend(e *queued) {
	e.sendsLeft--
	if e.sendsLeft <= 0 {
		delete(q.byName, e.update.GetName())
	}
}

// nextBatch returns up to n updates, those with the most sends left first, and
// counts one send of each.
func (q *queue) nextBatch(n int) []*pb.Update {
	if len(q.byName) == 0 {
		return nil
	}
	all := make([]*queued, 0, len(q.byName))
	for _, e := range q.byName {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b *queued) int {
		return cmp.Or(cmp.Compare(b.sendsLeft, a.sendsLeft), cmp.Compare(a.update.GetName(), b.update.GetName()))
	})
	all = all[:min(n, len(all))]
	out := make([]*pb.Update, 0, len(all)+1)
	for _, e := range all {
		out = append(out, e.update)
		q.countSend(e)
	}
	return out
}

// update encodes a VM's entry.
func update(vm fleet.VM) *pb.Update {
	return &pb.Update{
		Name:        vm.Name,
		PeerAddress: vm.PeerAddress,
		DataCentre:  vm.DataCentre,
		Site:        vm.Site,
		Incarnation: vm.Incarnation,
		State:       pb.State(vm.State),
	}
}

// fromUpdate decodes a VM's entry. An unknown state counts as dead.
func fromUpdate(u *pb.Update) fleet.VM {
	return fleet.VM{
		Name:        u.GetName(),
		PeerAddress: u.GetPeerAddress(),
		DataCentre:  u.GetDataCentre(),
		Site:        u.GetSite(),
		Incarnation: u.GetIncarnation(),
		State:       fleet.State(min(u.GetState(), pb.State_STATE_DEAD)),
	}
}
