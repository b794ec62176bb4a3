package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"

	"currantpulley/internal/memory"
	"currantpulley/internal/upstream"
)

const (
	eventBufferBytes = 2 << 10
	maxEventBytes    = 64 << 10 // of one event
)

// streamEvent is one server-sent event with its original bytes.
type streamEvent struct {
	id      uint64 // 0: none
	comment bool   // it consists of comments
	raw     []byte // includes the blank line at the end; valid until the next call of next
}

// eventReader splits a stream into events without changing their bytes.
type eventReader struct {
	buf  *bufio.Reader
	raw  []byte
	room memory.Room // for raw
}

func newEventReader(body io.Reader, room memory.Room) *eventReader {
	return &eventReader{buf: bufio.NewReaderSize(body, eventBufferBytes), room: room}
}

// next returns the next complete event. It returns io.EOF at the end of the
// stream, ErrTruncated when the stream ends within an event, ErrTooLong for an
// event of more than maxEventBytes and ErrMalformed for a bad id.
func (r *eventReader) next() (streamEvent, error) {
	e := streamEvent{comment: true}
	r.raw = r.raw[:0]
	for {
		line, err := r.buf.ReadSlice('\n')
		var full error
		if r.raw, full = memory.Append(r.raw, line, r.room); full != nil {
			return e, full
		}
		if errors.Is(err, io.EOF) && len(r.raw) == 0 {
			return e, io.EOF
		}
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return e, r.truncated(err)
		}
		if len(r.raw) > maxEventBytes {
			return e, upstream.ErrTooLong
		}
		if err != nil {
			continue
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			e.raw = r.raw
			return e, nil
		}
		e.comment = e.comment && line[0] == ':'
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			if e.id, err = strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64); err != nil {
				return e, fmt.Errorf("%w: event id %q is not a number", upstream.ErrMalformed, value)
			}
		}
	}
}

// truncated returns the error for a stream that ended with cause before the event
// being read was complete. It never matches io.EOF, which means a complete stream.
func (r *eventReader) truncated(cause error) error {
	if errors.Is(cause, io.EOF) {
		cause = io.ErrUnexpectedEOF
	}
	return fmt.Errorf("%w: %d bytes of an event were read: %w", upstream.ErrTruncated, len(r.raw), cause)
}
