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

// PortState is what an attempt to connect shows of a port.
type PortState uint8

// States of ports.
const (
	PortSilent  PortState = iota // no answer came
	PortAccepts                  // a process listens
	PortRefuses                  // the process that listened has ended
)

// CheckPort returns the state of the port at address, host:port, that connections of
// dial show until ctx ends. A port that accepts one is tried again after a short pause.
func CheckPort(ctx context.Context, dial DialFunc, address string) PortState {
	state := tryPort(ctx, dial, address)
	if state != PortAccepts {
		return state
	}
	time.Sleep(endedPause)
	if tryPort(ctx, dial, address) == PortRefuses {
		return PortRefuses
	}
	return PortAccepts
}

// tryPort is CheckPort with one connection.
func tryPort(ctx context.Context, dial DialFunc, address string) PortState {
	conn, err := dial(ctx, "tcp", address)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return PortRefuses
	case err != nil:
		return PortSilent
	}
	_ = conn.Close()
	return PortAccepts
}

// HasEnded reports whether the process that listened at address has ended: its port
// refuses connections. A port that accepts one and closes it again tells nothing, as
// upstreams do so with connections beyond their maximum.
func HasEnded(ctx context.Context, dial DialFunc, address string) bool {
	return CheckPort(ctx, dial, address) == PortRefuses
}
