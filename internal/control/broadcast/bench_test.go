package broadcast

import (
	"fmt"
	"testing"

	"currantpulley/internal/fleet"
)

// The load: each daemon forwards each notice about an engine on a ring of all daemons.
func BenchmarkNewRing(b *testing.B) {
	vms := make([]fleet.VM, 141)
	for i := range vms {
		vms[i].Name = fmt.Sprint("vm-", i)
	}
	for b.Loop() {
		NewRing(vms, "vm-70")
	}
}
