// Package eventlog keeps logging from blocking a daemon: a goroutine writes the
// lines from a bounded buffer, and frequent events are sampled.
package eventlog

import (
	"io"
	"sync/atomic"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

// bufferLines is the number of lines that are buffered for a slow reader.
const bufferLines = 2048

// Writer writes log lines without blocking on the reader. When the buffer is
// full, the oldest lines are dropped and counted.
type Writer struct {
	diode.Writer
	dropped atomic.Uint64
}

// NewWriter returns a Writer that writes to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{}
	w.Writer = diode.NewWriter(out, bufferLines, 0, func(missed int) { w.dropped.Add(uint64(missed)) })
	return w
}

// NewLogger returns a logger that writes to out, with one JSON object a line and
// the VM's name in each. An unknown level means info.
func NewLogger(out io.Writer, vm, level string) zerolog.Logger {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		parsed = zerolog.InfoLevel
	}
	return zerolog.New(out).Level(parsed).With().Timestamp().Str("vm", vm).Logger()
}

// Dropped returns the number of lines dropped so far because the buffer was full.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }
