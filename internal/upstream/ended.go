package upstream

import (
	"context"
	"errors"
	"syscall"
	"time"
)

// endedPause is the pause before a port that accepts a connection is tried again: a
// process that ends closes its connections and its port one after the other.
const endedPause = 5 * time.Millisecond

// HasEnded reports whether the process that listened at address, host:port, has ended:
// its port refuses the connections that dial opens, at once or after a short pause. A port that accepts one
// and closes it again tells nothing, as upstreams do so with connections beyond their
// maximum. HasEnded returns false if no answer comes before ctx ends.
func HasEnded(ctx context.Context, dial DialFunc, address string) bool {
	if refuses, known := refusesConnections(ctx, dial, address); refuses || !known {
		return refuses
	}
	time.Sleep(endedPause)
	refuses, _ := refusesConnections(ctx, dial, address)
	return refuses
}

// refusesConnections reports whether the port at address refuses connections; known is
// false if no answer came.
func refusesConnections(ctx context.Context, dial DialFunc, address string) (refuses, known bool) {
	conn, err := dial(ctx, "tcp", address)
	if err != nil {
		refuses = errors.Is(err, syscall.ECONNREFUSED)
		return refuses, refuses
	}
	_ = conn.Close()
	return false, true
}
