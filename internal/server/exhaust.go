package server

import (
	"time"

	"currantpulley/internal/event"
	"currantpulley/internal/freshness"
	"currantpulley/internal/memory"
	"currantpulley/internal/refusal"
)

// Bytes that are counted besides those of bodies, for buffers and goroutines.
const (
	connectionBytes = 16 << 10 // an open connection
	runningBytes    = 40 << 10 // a request in progress
)

const (
	memoryWait = time.Second // for others to give memory back
	memoryPoll = 10 * time.Millisecond
)

// memoryRetryAfter is the retry delay given when memory is short.
const memoryRetryAfter = time.Second

// errNoMemory returns the refusal of a request that did not run for want of memory.
func errNoMemory() *refusal.Error {
	return refusal.New(refusal.Overloaded, "this router's memory is taken by other requests").WithRetryAfter(memoryRetryAfter)
}

// hold waits for n bytes of memory for the request that is being read. It returns a
// refusal if there is none.
func (c *conn) hold(n int64) error {
	now := freshness.Time()
	for end := now.Add(memoryWait); !c.held.Grow(n, now); now = freshness.Time() {
		if c.exhausted.Load() != nil {
			return errNoMemory()
		}
		if now.After(end) {
			c.held.Refused()
			full := memory.Full
			c.exhausted.Store(&full)
			return errNoMemory()
		}
		time.Sleep(memoryPoll)
	}
	return nil
}

// holdHead holds memory for a head in a buffer of n bytes.
func (c *conn) holdHead(n int64) error {
	c.progress()
	more := memory.HeadBytes(n) - c.headBytes
	if more <= 0 {
		return nil
	}
	c.headBytes += more
	return c.hold(more)
}

// holdFields holds memory for the n fields of a head.
func (c *conn) holdFields(n int) error {
	if bytes := memory.FieldBytes(n); bytes > 0 {
		return c.hold(bytes)
	}
	return nil
}

// progress records that the caller has sent something.
func (c *conn) progress() { c.held.Progress(freshness.Time()) }

// exhaust ends the caller, whose memory is needed elsewhere. One that doesn't read its
// answer is cut; one that doesn't send gets a refusal from the goroutine that reads.
func (c *conn) exhaust(r memory.Reason, s memory.State) {
	c.exhausted.Store(&r)
	if s == memory.Reading {
		c.abort()
		c.recordExhausted()
		return
	}
	_ = c.tcp.SetReadDeadline(time.Unix(1, 0))
}

// recordExhausted records why the caller was ended for its memory, if it was.
func (c *conn) recordExhausted() {
	if r := c.exhausted.Load(); r != nil && c.server.opts.Record != nil {
		c.server.opts.Record(event.Event{ID: event.CallerEnded, Peer: c.tcp.RemoteAddr().String(), Step: "memory", Detail: string(*r)})
	}
}
