package server

import (
	"fmt"
	"net/http"
	"time"

	"github.com/lesismal/nbio/nbhttp"
)

// maxChunk is the maximum number of bytes passed to nbhttp between two flushes.
// With chunks of more than 64 KiB, nbhttp uses a buffer after returning it to its
// pool.
const maxChunk = 16 << 10

// Writer is the http.ResponseWriter passed to handlers. Write returns once the
// kernel has accepted the data, so a slow caller delays only its own response.
type Writer struct {
	res     *nbhttp.Response
	request *http.Request // nbhttp reads its Close field after the handler
	conn    *conn
	timeout time.Duration
}

// Header implements http.ResponseWriter.
func (w *Writer) Header() http.Header { return w.res.Header() }

// WriteHeader implements http.ResponseWriter.
func (w *Writer) WriteHeader(status int) { w.res.WriteHeader(status) }

// Write sends data to the caller. It fails when the caller disconnected or read
// nothing for the write timeout.
func (w *Writer) Write(data []byte) (int, error) {
	written := 0
	for len(data) > 0 {
		n := min(len(data), maxChunk)
		if err := w.writeChunk(data[:n]); err != nil {
			return written, err
		}
		written += n
		data = data[n:]
	}
	return written, nil
}

func (w *Writer) writeChunk(data []byte) error {
	w.extendDeadline()
	if _, err := w.res.Write(data); err != nil {
		return fmt.Errorf("write to caller: %w", err)
	}
	w.res.Flush()
	if err := w.conn.writeError(); err != nil {
		return fmt.Errorf("write to caller: %w", err)
	}
	return nil
}

// extendDeadline sets the write deadline to the whole write timeout from now.
func (w *Writer) extendDeadline() {
	if w.timeout > 0 {
		_ = w.conn.tcp.SetWriteDeadline(time.Now().Add(w.timeout))
	}
}

// Abort closes the connection. A caller that has received part of a response sees
// that it is incomplete.
func (w *Writer) Abort() { w.conn.abort() }

// CloseAfter closes the connection after this response and announces that to the
// caller. It must be called before WriteHeader.
func (w *Writer) CloseAfter() {
	w.Header().Set("Connection", "close")
	w.request.Close = true
}
