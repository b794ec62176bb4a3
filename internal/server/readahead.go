package server

import (
	"bufio"
	"errors"
	"io"
	"os"
	"time"

	"currantpulley/internal/freshness"
	"currantpulley/internal/hangup"
	"currantpulley/internal/memory"
)

// startReadAhead reads from the connection while a handler runs, as net/http
// does, and calls leave when the caller disconnects.
func (c *conn) startReadAhead(leave func()) {
	c.started = false
	_ = c.tcp.SetReadDeadline(time.Time{})
	c.held.Enter(memory.Running, freshness.Time())
	c.early.Store(c.in.Buffered() > 0)
	c.readAheadDone = make(chan struct{})
	go c.readAhead(leave, c.readAheadDone)
}

// readAhead reads until the caller disconnects or stopReadAhead sets a deadline in the
// past. Once the buffer is full, it only waits for the end of the connection.
func (c *conn) readAhead(leave func(), done chan struct{}) {
	defer close(done)
	for {
		_, err := c.in.Peek(c.in.Buffered() + 1)
		if errors.Is(err, bufio.ErrBufferFull) {
			if err = hangup.Await(c.tcp); err == nil {
				err = io.EOF
			}
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		if err != nil {
			c.readError = err
			leave()
			return
		}
		c.early.Store(true)
	}
}

// stopReadAhead interrupts the read ahead and waits until it has ended.
func (c *conn) stopReadAhead() {
	_ = c.tcp.SetReadDeadline(time.Unix(1, 0))
	<-c.readAheadDone
	_ = c.tcp.SetReadDeadline(time.Time{})
}
