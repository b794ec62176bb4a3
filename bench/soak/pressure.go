package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"
)

// pressure says how long programs had to wait for a processor, as evidence for
// findings about time. It excuses none.
type pressure struct {
	share   float64       // of the soak in which some program of the machine waited; negative: unknown
	longest time.Duration // that the soak itself slept too long
}

// sleepInterval is the time for which the soak sleeps to find out how late it wakes up.
const sleepInterval = 10 * time.Millisecond

// measurePressure measures until ctx ends and then sends the result.
func measurePressure(ctx context.Context) <-chan pressure {
	out := make(chan pressure, 1)
	go func() {
		began := time.Now()
		before, known := waitedForProcessor()
		p := pressure{share: -1}
		for ctx.Err() == nil {
			t := time.Now()
			time.Sleep(sleepInterval)
			p.longest = max(p.longest, time.Since(t)-sleepInterval)
		}
		if after, ok := waitedForProcessor(); ok && known {
			p.share = float64(after-before) / float64(time.Since(began))
		}
		out <- p
	}()
	return out
}

// waitedForProcessor returns for how long since the machine's start some program
// waited for a processor. ok is false if the kernel doesn't tell.
func waitedForProcessor() (waited time.Duration, ok bool) {
	data, err := os.ReadFile("/proc/pressure/cpu")
	if err != nil {
		return 0, false
	}
	first, _, _ := strings.Cut(string(data), "\n")
	_, total, found := strings.Cut(first, "total=")
	var microseconds int64
	if _, err := fmt.Sscan(total, &microseconds); err != nil || !found {
		return 0, false
	}
	return time.Duration(microseconds) * time.Microsecond, true
}

// String returns the pressure as text.
func (p pressure) String() string {
	return fmt.Sprintf("some program waited for a processor in %.0f%% of the time; the soak woke up %v late at most", 100*p.share, p.longest.Round(time.Millisecond))
}
