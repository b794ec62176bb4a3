// Package fleet defines the types that describe the VMs on which the system's
// daemons run.
package fleet

import (
	"slices"

	"currantpulley/internal/rendezvous"
)

// State is the membership state of a VM as its peers see it.
type State uint8

// States of a VM. For the same incarnation, a later state in this list overrides an
// earlier one.
const (
	Alive State = iota
	Suspect
	Leaving
	Dead
)

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Leaving:
		return "leaving"
	case Dead:
		return "dead"
	}
	return "invalid"
}

// VM is the VM of one daemon. Incarnation increases with every start of the daemon
// and whenever the daemon refutes that it is suspect or dead.
type VM struct {
	Name        string
	PeerAddress string // host:port of the peer protocol
	DataCentre  string
	Site        string // site whose overlay is in force there; empty until the VM itself reports it
	Incarnation uint64
	State       State
}

// View is an immutable list of the VMs that one daemon knows, its own included,
// sorted by name.
type View struct {
	Self string // name of the daemon's own VM
	VMs  []VM
}

// Find returns the VM called name, and whether the view has it.
func (v View) Find(name string) (VM, bool) {
	i, ok := slices.BinarySearchFunc(v.VMs, name, func(vm VM, n string) int {
		switch {
		case vm.Name < n:
			return -1
		case vm.Name > n:
			return 1
		}
		return 0
	})
	if !ok {
		return VM{}, false
	}
	return v.VMs[i], true
}

// Live returns the VMs that may be serving: those that are alive or suspect.
func (v View) Live() []VM {
	live := make([]VM, 0, len(v.VMs))
	for _, vm := range v.VMs {
		if vm.State == Alive || vm.State == Suspect {
			live = append(live, vm)
		}
	}
	return live
}

// LiveCount returns the number of VMs that Live returns.
func (v View) LiveCount() int {
	n := 0
	for i := range v.VMs {
		if s := v.VMs[i].State; s == Alive || s == Suspect {
			n++
		}
	}
	return n
}

// In returns the live VMs of a data centre.
func (v View) In(dataCentre string) []VM {
	return slices.DeleteFunc(v.Live(), func(vm VM) bool { return vm.DataCentre != dataCentre })
}

// Owners returns the up to n VMs that own key by rendezvous hashing, the
// highest-ranked first.
func Owners(vms []VM, key string, n int) []VM {
	hashes := make([]uint64, len(vms))
	for i, vm := range vms {
		hashes[i] = rendezvous.Hash(vm.Name)
	}
	owners := make([]VM, 0, n)
	for _, i := range rendezvous.Top(hashes, rendezvous.Hash(key), n) {
		owners = append(owners, vms[i])
	}
	return owners
}
