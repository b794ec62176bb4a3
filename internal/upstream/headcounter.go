package upstream

import (
	"bytes"
	"fmt"
	"strings"

	"currantpulley/internal/memory"
)

// maxHeadLines is the maximum number of lines of the head of a response, including those
// of informational responses before it. net/http bounds the bytes of a head only, and
// takes over thirty times as many for one of short fields.
const maxHeadLines = 256

// errHeadTooLong is the error of a response whose head has too many lines.
var errHeadTooLong = fmt.Errorf("%w: its head has more than %d lines", ErrTooLong, maxHeadLines)

// headCounter counts the lines and bytes of the head of one response as they arrive, before
// the head is parsed. The zero value is at the beginning of a response.
type headCounter struct {
	bytes int64
	held  int64 // bytes of memory that the head takes

	ended  bool // the head of the final response was read whole
	count  int
	line   []byte // beginning of the present line, up to statusBytes
	status bool   // the status line of the present head was read
	isLast bool   // that status is not informational
}

// statusBytes is how much of a status line is kept, in which its status must begin.
const statusBytes = 32

// read takes the next bytes of the connection and returns the memory that the head takes
// beyond what it took before. It returns an error if the head has too many lines.
func (h *headCounter) read(p []byte) (more int64, err error) {
	if h.ended {
		return 0, nil
	}
	if err := h.countLines(p); err != nil {
		return 0, err
	}
	more = memory.HeadBytes(h.bytes) + memory.FieldBytes(h.count) - h.held
	h.held += more
	return more, nil
}

// countLines counts the lines in p up to the end of the head.
func (h *headCounter) countLines(p []byte) error {
	for !h.ended {
		part, rest, whole := bytes.Cut(p, []byte{'\n'})
		h.bytes += int64(len(p) - len(rest))
		h.line = append(h.line, part[:min(len(part), statusBytes-len(h.line))]...)
		if !whole {
			return nil
		}
		if h.count++; h.count > maxHeadLines {
			return errHeadTooLong
		}
		h.endLine()
		p = rest
	}
	return nil
}

// endLine takes note of the line that ended.
func (h *headCounter) endLine() {
	text := strings.TrimSuffix(string(h.line), "\r")
	h.line = h.line[:0]
	switch {
	case !h.status:
		h.status, h.isLast = true, isFinal(text)
	case text == "":
		h.ended, h.status = h.isLast, false
	}
}

// isFinal reports whether a status line is surely not that of an informational response.
func isFinal(line string) bool {
	_, status, _ := strings.Cut(line, " ")
	status = strings.TrimLeft(status, " ")
	return status != "" && status[0] != '1'
}
