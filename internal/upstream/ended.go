package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"time"
)

// closeWait is the time within which a process that is ending closes a connection that
// its listener still accepted.
const closeWait = 20 * time.Millisecond

// HasEnded reports whether the process that listened at address, host:port, has ended:
// its port refuses connections, or closes one at once. It returns false if that can't
// be told before ctx ends.
func HasEnded(ctx context.Context, address string) bool {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
	}
	defer func() { _ = conn.Close() }()
	if conn.SetReadDeadline(time.Now().Add(closeWait)) != nil {
		return false
	}
	_, err = conn.Read(make([]byte, 1))
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)
}
