package publish

import (
	"flag"
	"os"
	"reflect"
	"strconv"
	"strings"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

const (
	defaultHistories = 300
	defaultSeed      = 20261203
	maxOps           = 20 // per history
)

var histories = flag.Int("histories", 0, "number of random histories; also CURRANTPULLEY_HISTORIES")

func historyCount() int {
	if *histories > 0 {
		return *histories
	}
	if n, err := strconv.Atoi(os.Getenv("CURRANTPULLEY_HISTORIES")); err == nil && n > 0 {
		return n
	}
	return defaultHistories
}

func seed() int64 {
	if n, err := strconv.ParseInt(os.Getenv("CURRANTPULLEY_SEED"), 10, 64); err == nil {
		return n
	}
	return defaultSeed
}

func genOp() gopter.Gen {
	return gen.Struct(reflect.TypeFor[opFields](), map[string]gopter.Gen{
		"Kind": gen.IntRange(0, len(weightedKinds)-1),
		"Gap":  gen.IntRange(0, maxGapTicks),
		"VM":   gen.IntRange(0, 127), // index of a VM, or a mask of VMs
		"Arg":  gen.IntRange(0, 20),
	})
}

// opFields mirrors op with exported fields, which the generator requires. Kind is
// an index into weightedKinds.
type opFields struct{ Kind, Gap, VM, Arg int }

func ops(fields []opFields) []op {
	out := make([]op, len(fields))
	for i, f := range fields {
		out[i] = op{weightedKinds[f.Kind], f.Gap, f.VM, f.Arg}
	}
	return out
}

// TestHistories simulates random histories and checks the invariants. It logs its
// seed. CURRANTPULLEY_SEED sets another seed, CURRANTPULLEY_HISTORIES or
// -histories another number of histories.
func TestHistories(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(seed())
	parameters.MinSuccessfulTests = historyCount()
	t.Logf("seed %d, %d histories", seed(), historyCount())
	properties := gopter.NewProperties(parameters)
	properties.Property("in force everywhere or nowhere", prop.ForAll(
		func(runSeed int64, vms int, fields []opFields) string {
			return strings.Join(newSim(runSeed, vms).run(ops(fields)), "\n")
		},
		gen.Int64(), gen.IntRange(3, 7), gen.SliceOfN(maxOps, genOp()),
	))
	properties.TestingRun(t)
}

// TestRefereeFindsPlantedFaults checks that the invariantChecker reports two
// faults planted in the simulation, and nothing without them.
func TestRefereeFindsPlantedFaults(t *testing.T) {
	for _, c := range []struct {
		name  string
		plant func(*sim)
		ops   []op
		want  string
	}{
		{"commit without one ack", func(s *sim) { s.fakeAckFrom = "vm-1" },
			[]op{{opPublish, 30, 0, 1}, {opPublish, 60, 0, 1}, {opPublish, 60, 0, 1}, {opPublish, 60, 0, 1}}, "without the ack of vm-1"},
		{"boot applies an older version from the log", func(s *sim) { s.applyOldest = true },
			[]op{{opPublish, 5, 0, 99}, {opPublish, 60, 0, 99}, {opPublish, 60, 0, 99}, {opRestart, 200, 2, 0}, {opHeal, 5, 0, 0}}, "was in force everywhere"},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, planted := range []bool{false, true} {
				s := newSim(1, 3)
				if planted {
					c.plant(s)
				}
				found := strings.Join(s.run(c.ops), "\n")
				if strings.Contains(found, c.want) != planted || !planted && found != "" {
					t.Fatalf("planted %t: the invariant checker reports %q, want %q", planted, found, c.want)
				}
			}
		})
	}
}

// TestRestartedVMIsNotInformed guards against counting a restarted VM towards the
// majority that knows the version in force. One VM misses a version that the two
// others have. One of those restarts and reaches only the first VM, and both are
// without the log. They are more than half of the fleet, but neither knows the
// version any more.
func TestRestartedVMIsNotInformed(t *testing.T) {
	const nobody = 1 << 20 // not the index of a VM: no VM refuses the candidate
	history := []op{
		{kind: opPublish, arg: nobody},
		{kind: opSplit, gap: 2 * detachTicks, vm: 0b100, arg: 0b10}, // vm-2 alone, without the log
		{kind: opPublish, gap: 2 * detachTicks, arg: nobody},
		{kind: opPartition, gap: 4 * detachTicks, vm: 1, arg: 1},
		{kind: opCutLog, vm: 1},
		{kind: opRestart, vm: 1},
		{kind: opHeal, gap: 6 * detachTicks},
	}
	for seed := range int64(20) {
		if found := newSim(seed, 3).run(history); len(found) > 0 {
			t.Fatalf("seed %d: %s", seed, strings.Join(found, "\n"))
		}
	}
}
