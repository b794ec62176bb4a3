package server

import (
	"math"

	"golang.org/x/sys/unix"
)

const (
	ownDescriptors   = 256  // kept for files and for connections to other daemons
	callerShare      = 0.75 // of the others, for callers; upstreams get the rest
	leastConnections = 16
)

// connectionsByDescriptors returns how many callers' connections the process's limit of
// descriptors allows.
func connectionsByDescriptors() int {
	var l unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &l); err != nil || l.Cur > math.MaxInt32 {
		return math.MaxInt32
	}
	return max(leastConnections, int(callerShare*float64(int64(l.Cur)-ownDescriptors)))
}
