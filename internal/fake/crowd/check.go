package crowd

import (
	"net/http"
	"os"
	"strconv"
	"testing"
	"time"
)

// Sizes of the crowds. A run by hand may set larger ones in the environment.
var (
	MemoryMB = sizeOf("CROWD_MEMORY_MB", 96) // of the machine
	Callers  = sizeOf("CROWD_CALLERS", 40)
	BodyMB   = sizeOf("CROWD_BODY_MB", 4) // the largest legal body
)

// sizeOf returns the whole number in an environment variable, or the default.
func sizeOf(variable string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(variable)); err == nil {
		return n
	}
	return otherwise
}

const (
	spareDescriptors = 8 // more than before a crowd, for connections to upstreams
	settleTime       = time.Minute
	settlePoll       = 50 * time.Millisecond
	holdTime         = 2 * time.Second // for which a crowd stays open
)

// Check lets a crowd call p and checks that it lives, stays within the memory of its
// machine, answers an ordinary request while the crowd's connections are open and
// another one afterwards, and gives its descriptors back.
func Check(t *testing.T, p *Process, plan Plan) {
	t.Helper()
	eventually(t, "answered before", func() bool { return plan.Ask(1) == http.StatusOK })
	if got := plan.Ask(plan.Body); got != http.StatusOK {
		t.Errorf("status %d for a request of legal size in calm", got)
	}
	before, err := p.Descriptors()
	if err != nil {
		t.Fatal(err)
	}
	c := Gather(plan)
	defer c.Close()
	if plan.Kind != Whole { // whose callers have waited
		time.Sleep(holdTime)
	}
	eventually(t, "answered beside the crowd", func() bool { return plan.Ask(1) == http.StatusOK })
	c.Close()
	eventually(t, "answered after the crowd", func() bool { return plan.Ask(1) == http.StatusOK })
	eventually(t, "descriptors given back", func() bool {
		n, err := p.Descriptors()
		return err == nil && n <= before+spareDescriptors
	})
	checkProcess(t, p)
}

// CheckCalm checks that p answers an ordinary request, lives and has stayed within the
// memory of its machine.
func CheckCalm(t *testing.T, p *Process, plan Plan) {
	t.Helper()
	eventually(t, "answered", func() bool { return plan.Ask(1) == http.StatusOK })
	checkProcess(t, p)
}

// checkProcess checks that p lives and has stayed within the memory of its machine.
func checkProcess(t *testing.T, p *Process) {
	t.Helper()
	if ended, err := p.Ended(); ended {
		t.Fatalf("the process ended: %v", err)
	}
	peak, err := p.PeakMemory()
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("peak %d MB", peak>>20)
	if peak > int64(MemoryMB)<<20 {
		t.Errorf("peak memory %d MB, the machine has %d", peak>>20, MemoryMB)
	}
}

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(settleTime); time.Now().Before(end); time.Sleep(settlePoll) {
		if f() {
			return
		}
	}
	t.Errorf("not within %v: %s", settleTime, what)
}
