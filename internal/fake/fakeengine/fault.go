package fakeengine

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"currantpulley/internal/fake/fakehttp"
)

// FaultKind is a kind of fault of one request.
type FaultKind uint8

// Kinds of faults. At is the number of the event that a fault affects.
const (
	NoFault          FaultKind = iota
	Refuse                     // status 503, the request does not run
	ResetBefore                // connection reset before the first byte
	ResetAfter                 // connection reset after event At
	Slow                       // Delay before the first byte
	Truncate                   // the response ends after event At without [DONE]
	Duplicate                  // event At is sent twice
	Reorder                    // event At is sent after the next one
	WrongRequestID             // ID and text of another request
	WrongIncarnation           // incarnation of an engine that no longer exists
	Oversized                  // event At, or the complete answer, has Bytes of extra text
	Malformed                  // event At, or the complete answer, is not valid JSON
)

// defaultOversize is the default size of the extra text of an Oversized answer.
const defaultOversize = 24 << 20 // bytes

// Fault is a fault to inject into one request. The zero value means none.
type Fault struct {
	Kind  FaultKind
	At    int           // event number, from 1
	Delay time.Duration // of Slow
	Bytes int           // of Oversized; 0: defaultOversize
}

// applyBefore applies faults that occur before the request runs. It reports
// whether to continue.
func (f Fault) applyBefore(w http.ResponseWriter) bool {
	switch f.Kind {
	case Refuse:
		writeRefusal(w, http.StatusServiceUnavailable, "refused")
		return false
	case ResetBefore:
		fakehttp.Abort()
	case Slow:
		time.Sleep(f.Delay)
	}
	return true
}

// applyHeaders applies faults of the response headers.
func (f Fault) applyHeaders(h http.Header) {
	switch f.Kind {
	case WrongRequestID:
		h.Set("X-Request-Id", "another-request")
	case WrongIncarnation:
		h.Set("X-Incarnation", "gone")
	}
}

// applyText returns the text of event with the fault applied.
func (f Fault) applyText(text string, event int) string {
	switch {
	case f.Kind == WrongRequestID:
		return OutputText(Digest([]byte("another")), event-1, 1)
	case f.Kind == Oversized && f.At == event:
		size := f.Bytes
		setDefault(&size, defaultOversize)
		return text + strings.Repeat("x", size)
	}
	return text
}

// writeComplete writes an answer that is not streamed.
func (f Fault) writeComplete(w http.ResponseWriter, data []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	switch f.Kind {
	case Truncate, ResetAfter:
		_, _ = w.Write(data[:len(data)/2])
		fakehttp.Abort()
	case Malformed:
		data = bytes.Repeat([]byte("{"), len(data))
	}
	_, _ = w.Write(data)
}

// eventWriter writes server-sent events and injects faults.
type eventWriter struct {
	w       http.ResponseWriter
	fault   Fault
	delayed []byte // event of a Reorder fault, sent after the next one
}

func (o *eventWriter) flush() {
	if f, ok := o.w.(http.Flusher); ok {
		f.Flush()
	}
}

// writeEvent writes event number n and reports whether to continue.
func (o *eventWriter) writeEvent(n int, data []byte) bool {
	faulty := o.fault.At == n
	if faulty && o.fault.Kind == Malformed {
		data = []byte(`{"choices":[{"text":`)
	}
	raw := fmt.Appendf(nil, "id: %d\ndata: %s\n\n", n, data)
	if faulty && o.fault.Kind == Reorder {
		o.delayed = raw
		return true
	}
	raw = append(raw, o.delayed...)
	o.delayed = nil
	if faulty && o.fault.Kind == Duplicate {
		raw = append(raw, raw...)
	}
	if _, err := o.w.Write(raw); err != nil {
		return false
	}
	if !faulty {
		return true
	}
	switch o.fault.Kind {
	case ResetAfter:
		o.flush()
		fakehttp.Abort()
	case Truncate:
		o.flush()
		return false
	}
	return true
}
