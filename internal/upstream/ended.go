package upstream

import (
	"context"
	"errors"
	"net"
	"syscall"
)

// HasEnded reports whether the process that listened at address, host:port, has ended:
// its port refuses connections. A port that accepts one and closes it again tells
// nothing, as upstreams do so with connections beyond their maximum. HasEnded returns
// false if no answer comes before ctx ends.
func HasEnded(ctx context.Context, address string) bool {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}
