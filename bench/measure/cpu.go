package measure

import (
	"fmt"
	"os"
	"runtime"
	"strings"
	"syscall"
	"time"
)

// CPU is a reading of the processor time used so far.
type CPU struct {
	busy, all float64       // of the machine, in clock ticks
	own       time.Duration // of this process
	at        time.Time
}

// ReadCPU reads the machine's and this process's processor time.
func ReadCPU() CPU {
	c := CPU{at: time.Now()}
	c.busy, c.all = machineTicks()
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) == nil {
		c.own = time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	}
	return c
}

// machineTicks reads the first line of /proc/stat: user, nice, system, idle,
// iowait, irq, softirq and steal. It returns zeros if that fails.
func machineTicks() (busy, all float64) {
	data, err := os.ReadFile("/proc/stat")
	if err != nil {
		return 0, 0
	}
	line, _, _ := strings.Cut(string(data), "\n")
	var t [8]float64
	_, err = fmt.Sscanf(line, "cpu %g %g %g %g %g %g %g %g", &t[0], &t[1], &t[2], &t[3], &t[4], &t[5], &t[6], &t[7])
	if err != nil {
		return 0, 0
	}
	for _, v := range t {
		all += v
	}
	return all - t[3] - t[4], all
}

// Since returns two shares of the processor time of the machine since before: the
// time in which it was busy, and the time used by this process.
func (c CPU) Since(before CPU) (machine, process float64) {
	if c.all > before.all {
		machine = (c.busy - before.busy) / (c.all - before.all)
	}
	wall := c.at.Sub(before.at) * time.Duration(runtime.NumCPU())
	if wall > 0 {
		process = float64(c.own-before.own) / float64(wall)
	}
	return machine, process
}
