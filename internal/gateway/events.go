package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"

	"currantpulley/internal/upstream"
)

const (
	eventBuffer = 2 << 10  // bytes
	eventMax    = 64 << 10 // bytes of one event
)

// streamEvent is one event as it stands in the stream.
type streamEvent struct {
	id  uint64 // 0: none
	raw []byte // with its blank line; valid until the next call
}

// eventReader cuts a stream into its events without changing a byte.
type eventReader struct {
	body *bufio.Reader
	raw  []byte
}

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{body: bufio.NewReaderSize(body, eventBuffer)}
}

// next returns the next whole event. It returns io.EOF at the end of the
// stream and ErrTruncated where that is in the middle of an event.
func (r *eventReader) next() (streamEvent, error) {
	e := streamEvent{}
	r.raw = r.raw[:0]
	for {
		line, err := r.body.ReadSlice('\n')
		r.raw = append(r.raw, line...)
		if errors.Is(err, io.EOF) && len(r.raw) == 0 {
			return e, io.EOF
		}
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return e, fmt.Errorf("%w: %w", upstream.ErrTruncated, err)
		}
		if len(r.raw) > eventMax {
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
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			if e.id, err = strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64); err != nil {
				return e, fmt.Errorf("%w: event id %q is not a number", upstream.ErrMalformed, value)
			}
		}
	}
}
