package broadcast

import (
	"errors"
	"fmt"
	"sync"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"currantpulley/internal/fleet"
)

func ring(n int) []fleet.VM {
	vms := make([]fleet.VM, n)
	for i := range vms {
		vms[i].Name = fmt.Sprintf("vm-%03d", i)
	}
	return vms
}

// broadcast returns the number of times that each VM gets a message from origin.
func broadcast(vms []fleet.VM, origin string) map[string]int {
	type visit struct {
		vm    string
		level int
	}
	got := map[string]int{}
	for queue := []visit{{origin, 0}}; len(queue) > 0; queue = queue[1:] {
		for _, hop := range NewRing(vms, queue[0].vm).Hops(queue[0].level) {
			got[hop.VM.Name]++
			queue = append(queue, visit{hop.VM.Name, hop.Level + 1})
		}
	}
	return got
}

func TestBroadcastReachesAll(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("each VM is reached, few of them twice, in at most log2(n) hops", prop.ForAll(
		func(n, from int) bool {
			vms := ring(n)
			origin := vms[from%n].Name
			got := broadcast(vms, origin)
			total := 0
			for _, vm := range vms {
				if vm.Name != origin && got[vm.Name] == 0 {
					return false
				}
				total += got[vm.Name]
			}
			return total <= 2*n && 1<<len(Offsets(n)) < 2*n+1
		},
		gen.IntRange(1, 150), gen.IntRange(0, 1000),
	))
	properties.TestingRun(t)
}

func TestFallbackIsAnotherVM(t *testing.T) {
	for n := 1; n < 20; n++ {
		r := NewRing(ring(n), "vm-000")
		for _, hop := range r.Hops(0) {
			vm, ok := r.Fallback(hop)
			if ok && (vm.Name == hop.VM.Name || vm.Name == "vm-000") {
				t.Errorf("%d VMs, level %d: %s is the fallback of %s", n, hop.Level, vm.Name, hop.VM.Name)
			}
			if !ok && n > 3 && hop.Level == 0 {
				t.Errorf("%d VMs: no fallback at level 0", n)
			}
		}
	}
}

// TestSendUsesTheFallback checks that a hop that fails is replaced by the next VM
// on the ring, which forwards at the same levels.
func TestSendUsesTheFallback(t *testing.T) {
	r := NewRing(ring(48), "vm-000")
	hops := r.Hops(0)
	down := hops[1].VM.Name
	var mu sync.Mutex
	levels := make(map[string]int)
	r.Send(0, func(vm fleet.VM, level int) error {
		mu.Lock()
		defer mu.Unlock()
		if vm.Name == down {
			return errors.New("down")
		}
		levels[vm.Name] = level
		return nil
	})
	fallback, ok := r.Fallback(hops[1])
	if !ok || levels[fallback.Name] != hops[1].Level+1 || len(levels) != len(hops) {
		t.Errorf("sent to %v, want the fallback %q at level %d", levels, fallback.Name, hops[1].Level+1)
	}
}
