package upstream

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"

	"currantpulley/internal/memory"
)

const (
	// maxEventBytes is the maximum size of one event of a stream.
	maxEventBytes = 4 << 20
	// lineBufferBytes is the size of the buffer in which most lines of a stream fit.
	lineBufferBytes = 4 << 10
)

// errorEventName is the name of the event by which an engine reports that a
// stream failed.
const errorEventName = "error"

// doneData is the data of a stream's last event.
var doneData = []byte("[DONE]")

// Event is one server-sent event (WHATWG HTML, section 9.2).
type Event struct {
	ID   uint64 // 0: the event has none
	Name string
	Data []byte // valid until the next call of Next or Close
}

// Final reports whether the event ends the stream.
func (e *Event) Final() bool { return bytes.Equal(e.Data, doneData) }

// Events reads the server-sent events of one response in order. Next must not be
// called again after it returned an error.
type Events struct {
	body    io.ReadCloser
	buf     *bufio.Reader
	room    memory.Room // for line and data
	lastID  uint64
	resumed bool // the stream began in another response
	final   bool
	line    []byte // that is longer than buf
	data    []byte
}

// NewEvents returns a reader of the events in body. Events with ids up to after
// are skipped. It asks room before it holds much.
func NewEvents(body io.ReadCloser, after uint64, room memory.Room) *Events {
	return &Events{
		body: body, buf: bufio.NewReaderSize(body, lineBufferBytes), room: room,
		lastID: after, resumed: after > 0,
	}
}

// Close closes the body. The data of events is not valid after it.
func (e *Events) Close() {
	_ = e.body.Close()
	memory.DropBuffer(e.line)
	memory.DropBuffer(e.data)
	e.line, e.data = nil, nil
}

// Last returns the id of the last event that Next returned. Before the first
// event with an id it returns the argument after of NewEvents.
func (e *Events) Last() uint64 { return e.lastID }

// Next returns the next event, skipping repeated ones. Its errors are io.EOF
// after the final event, ErrTruncated, ErrGap, ErrTooLong, ErrMalformed, ErrEngineFailed
// and memory.ErrNoRoom.
func (e *Events) Next() (Event, error) {
	if e.final {
		return Event{}, io.EOF
	}
	for {
		ev, err := e.readEvent()
		if err != nil {
			return Event{}, err
		}
		if ev.ID != 0 && ev.ID <= e.lastID {
			continue
		}
		if e.resumed && ev.ID == 0 && ev.Name != errorEventName {
			return Event{}, fmt.Errorf("%w: the stream goes on with an event without an id", ErrMalformed)
		}
		if ev.ID > e.lastID+1 {
			return Event{}, fmt.Errorf("%w: event %d follows %d", ErrGap, ev.ID, e.lastID)
		}
		return ev, e.validate(&ev)
	}
}

// validate returns an error if the event's data is not JSON or if the event
// reports a failure of the engine.
func (e *Events) validate(ev *Event) error {
	e.final = ev.Final()
	if ev.Name == errorEventName {
		return fmt.Errorf("%w: %s", ErrEngineFailed, ev.Data)
	}
	if !e.final && !json.Valid(ev.Data) {
		return fmt.Errorf("%w: event %d is not JSON", ErrMalformed, ev.ID)
	}
	e.lastID = max(e.lastID, ev.ID)
	return nil
}

// readEvent returns the next event with data.
func (e *Events) readEvent() (Event, error) {
	var ev Event
	lines := 0
	e.data = e.data[:0]
	for {
		line, err := e.readLine()
		if err != nil {
			return ev, err
		}
		if len(line) > 0 {
			if err := e.parseField(&ev, line, &lines); err != nil {
				return ev, err
			}
			continue
		}
		if lines > 0 {
			ev.Data = e.data
			return ev, nil
		}
	}
}

// readLine returns the next line without its end. The end of the body alone is an error,
// since a complete stream ends with its final event.
func (e *Events) readLine() ([]byte, error) {
	e.line = e.line[:0]
	for {
		part, err := e.buf.ReadSlice('\n')
		if err == nil && len(e.line) == 0 {
			return trimLine(part), nil
		}
		var full error
		if e.line, full = memory.Append(e.line, part, e.room); full != nil {
			return nil, full
		}
		switch {
		case len(e.line) > maxEventBytes:
			return nil, ErrTooLong
		case err == nil:
			return trimLine(e.line), nil
		case errors.Is(err, io.EOF):
			return nil, ErrTruncated
		case !errors.Is(err, bufio.ErrBufferFull):
			return nil, fmt.Errorf("%w: %w", ErrTruncated, err)
		}
	}
}

// trimLine returns line without its end.
func trimLine(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
}

// parseField parses one line of an event into ev and counts data lines in lines.
// Comments and unknown fields are skipped, as the standard requires.
func (e *Events) parseField(ev *Event, line []byte, lines *int) error {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "data":
		return e.addData(value, lines)
	case "event":
		ev.Name = string(value)
	case "id":
		id, err := strconv.ParseUint(string(value), 10, 64)
		if err != nil || id == 0 {
			return fmt.Errorf("%w: event id %q is not a positive number", ErrMalformed, value)
		}
		ev.ID = id
	}
	return nil
}

// addData adds the value of a data line to the event's data.
func (e *Events) addData(value []byte, lines *int) error {
	if len(e.data)+len(value) > maxEventBytes {
		return ErrTooLong
	}
	var err error
	if *lines > 0 {
		e.data, err = memory.Append(e.data, []byte{'\n'}, e.room)
	}
	if err == nil {
		e.data, err = memory.Append(e.data, value, e.room)
	}
	*lines++
	return err
}
