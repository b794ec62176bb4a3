// Package broadcast computes broadcast trees over a ring of VMs, after
// El-Ansary et al., "Efficient Broadcast in Structured P2P Networks" (2003).
// Each VM sends to a number of others that grows with the logarithm of the
// ring's size, and a message from any VM reaches each other VM about once.
package broadcast

import (
	"cmp"
	"slices"
	"sync"

	"currantpulley/internal/fleet"
	"currantpulley/internal/rendezvous"
)

// Offsets returns the distances on a ring of n VMs to which a VM sends, largest
// first. The index into the result is the level of the tree: a VM that gets a
// message at level k forwards it at the levels after k; its origin sends it at
// all levels.
func Offsets(n int) []int {
	var offsets []int
	for span := n; span > 1; {
		span = (span + 1) / 2
		offsets = append(offsets, span)
	}
	return offsets
}

// Ring is a ring of VMs in a fixed order, as seen from one of them.
type Ring struct {
	vms  []fleet.VM
	self int
}

// Hop is the VM to send to at one level of the tree.
type Hop struct {
	Level int
	VM    fleet.VM
}

// NewRing returns the ring of vms, ordered by the hash of their names. The VM
// named self is added if it is missing.
func NewRing(vms []fleet.VM, self string) Ring {
	if !slices.ContainsFunc(vms, func(vm fleet.VM) bool { return vm.Name == self }) {
		vms = append(slices.Clone(vms), fleet.VM{Name: self})
	}
	type place struct { // small, since sorting moves it often; each name is hashed once
		hash uint64
		vm   int
	}
	order := make([]place, len(vms))
	for i := range vms {
		order[i] = place{rendezvous.Hash(vms[i].Name), i}
	}
	slices.SortFunc(order, func(a, b place) int {
		if c := cmp.Compare(a.hash, b.hash); c != 0 {
			return c
		}
		return cmp.Compare(vms[a.vm].Name, vms[b.vm].Name)
	})
	r := Ring{vms: make([]fleet.VM, len(vms))}
	for i, p := range order {
		r.vms[i] = vms[p.vm]
		if r.vms[i].Name == self {
			r.self = i
		}
	}
	return r
}

// Len returns the number of VMs on the ring.
func (r Ring) Len() int { return len(r.vms) }

// Hops returns the VMs to which to send a message at the levels from first on.
// The origin of a message passes 0.
func (r Ring) Hops(first int) []Hop {
	offsets := Offsets(len(r.vms))
	var hops []Hop
	for level := max(first, 0); level < len(offsets); level++ {
		hops = append(hops, Hop{Level: level, VM: r.at(offsets[level])})
	}
	return hops
}

// Fallback returns the VM to send to if sending to hop failed: the next on the
// ring, which then forwards at the same levels. The result is false if there is
// none.
func (r Ring) Fallback(hop Hop) (fleet.VM, bool) {
	offsets := Offsets(len(r.vms))
	if hop.Level >= len(offsets) {
		return fleet.VM{}, false
	}
	vm := r.at(offsets[hop.Level] + 1)
	if vm.Name == r.vms[r.self].Name {
		return fleet.VM{}, false
	}
	return vm, true
}

// Send calls send once for each hop from level first on, concurrently, and again
// with the hop's fallback if that fails. level is the one from which the called VM
// forwards. It returns when all calls have returned.
func (r Ring) Send(first int, send func(vm fleet.VM, level int) error) {
	var wg sync.WaitGroup
	for _, hop := range r.Hops(first) {
		wg.Go(func() {
			if send(hop.VM, hop.Level+1) == nil {
				return
			}
			if fallback, ok := r.Fallback(hop); ok {
				_ = send(fallback, hop.Level+1) // send logs its failures
			}
		})
	}
	wg.Wait()
}

// at returns the VM at a distance from this one.
func (r Ring) at(offset int) fleet.VM { return r.vms[(r.self+offset)%len(r.vms)] }
