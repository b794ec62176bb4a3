package observe

import (
	"bytes"
	"errors"
	"log"
	"strings"

	"currantpulley/internal/event"
)

// payloadMark is the text of net/http after which a message quotes bytes of a
// response that belongs to no request.
const payloadMark = " starting with "

// RecordLibraryLog makes the messages that libraries write with package log events of
// r. Bytes of responses that they quote are left out, as those belong to callers.
func RecordLibraryLog(r event.Recorder) {
	log.SetFlags(0)
	log.SetOutput(libraryLog{r})
}

// libraryLog is the output of package log.
type libraryLog struct{ recorder event.Recorder }

// Write implements io.Writer. It records one message.
func (l libraryLog) Write(p []byte) (int, error) {
	text, _, _ := strings.Cut(string(bytes.TrimSpace(p)), payloadMark)
	l.recorder.Record(event.Event{ID: event.LibraryMessage, Step: "library", Err: errors.New(text)})
	return len(p), nil
}
