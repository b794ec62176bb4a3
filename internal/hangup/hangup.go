// Package hangup tells whether the peer of a TCP connection has closed it, without reading
// from it. A goroutine that reads learns that too, but only once it runs.
package hangup

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

// events are the events of poll(2) that show the end of a connection: the peer closed it
// or its sending side, or it broke.
const events = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR

// hasCome reports whether the kernel knows the end of the connection fd, also behind
// bytes that were not read yet.
func hasCome(fd uintptr) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0 && fds[0].Revents&events != 0
}

// HasCome reports whether the peer of c has closed the connection or its sending side. A
// connection that is closed here counts, too.
func HasCome(c syscall.Conn) bool {
	raw, err := c.SyscallConn()
	if errors.Is(err, errors.ErrUnsupported) {
		return false // not a connection of the kernel
	}
	if err != nil {
		return true
	}
	ended := false
	err = raw.Control(func(fd uintptr) { ended = hasCome(fd) })
	return err != nil || ended
}

// Await waits for the end of c and reads nothing. It returns an error if the read
// deadline passes or the connection is closed here.
func Await(c syscall.Conn) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Read(hasCome)
}
