package server

import "golang.org/x/sys/unix"

// hangupEvents are the events of poll(2) that show the end of a connection: the peer
// closed it or its sending side, or it broke.
const hangupEvents = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR

// hasHungUp reports whether the kernel knows the end of the connection fd, also behind
// bytes that were not read yet.
func hasHungUp(fd uintptr) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0 && fds[0].Revents&hangupEvents != 0
}

// hasHungUp reports whether the caller has closed its connection or its sending side.
func (c *conn) hasHungUp() bool {
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		return true // it is closed
	}
	ended := false
	err = raw.Control(func(fd uintptr) { ended = hasHungUp(fd) })
	return err != nil || ended
}

// awaitHangup waits for the end of the caller's connection and reads nothing. It
// returns an error if the read deadline passes or the connection is closed here.
func (c *conn) awaitHangup() error {
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Read(hasHungUp)
}
