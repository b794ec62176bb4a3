package memory

import (
	"os"
	"runtime/debug"
	"strconv"
	"strings"
)

const (
	runtimeShare = 0.7 // of the machine's memory, as the runtime's soft limit
	callerShare  = 0.4 // of the machine's memory, for callers
	gcPercent    = 40  // growth of the heap between two collections, in percent

	assumedMemory = 1 << 30 // bytes, if the system states none
	megabyte      = 1 << 20
)

// LimitRuntime makes the Go runtime collect garbage early enough for a machine of mb
// megabytes. 0 sets no limit.
func LimitRuntime(mb int) {
	if mb > 0 {
		debug.SetGCPercent(gcPercent)
		debug.SetMemoryLimit(int64(runtimeShare * float64(mb) * megabyte))
	}
}

// ForCallers returns the bytes that a process may hold for callers on a machine of mb
// megabytes; 0 or less: of a machine with the memory that the system states.
func ForCallers(mb int) int64 {
	bytes := int64(mb) * megabyte
	if mb <= 0 {
		bytes = ofMachine()
	}
	return int64(callerShare * float64(bytes))
}

// ofMachine returns the memory of the machine or of the process's control group,
// whichever is less.
func ofMachine() int64 {
	total := int64(assumedMemory)
	if info, err := os.ReadFile("/proc/meminfo"); err == nil {
		_, rest, _ := strings.Cut(string(info), "MemTotal:")
		kilobytes, _, _ := strings.Cut(strings.TrimSpace(rest), " ")
		if n, err := strconv.ParseInt(kilobytes, 10, 64); err == nil {
			total = n << 10
		}
	}
	if group, err := os.ReadFile("/sys/fs/cgroup/memory.max"); err == nil {
		if n, err := strconv.ParseInt(strings.TrimSpace(string(group)), 10, 64); err == nil {
			total = min(total, n)
		}
	}
	return total
}
