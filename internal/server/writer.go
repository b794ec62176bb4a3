package server

import (
	"fmt"
	"net/http"
	"time"

	"github.com/lesismal/nbio/nbhttp"
)

// writeSlice is the most bytes handed to nbhttp between two flushes. Larger
// chunks than 64 KiB make nbhttp use a buffer after giving it back to its pool.
const writeSlice = 16 << 10

// Writer is the ResponseWriter that handlers get. Write returns once the
// kernel has taken the data, so that a slow caller slows its own answer only.
type Writer struct {
	res     *nbhttp.Response
	request *http.Request // whose Close field nbhttp reads after the handler
	conn    *conn
	timeout time.Duration
}

// Header implements http.ResponseWriter.
func (w *Writer) Header() http.Header { return w.res.Header() }

// WriteHeader implements http.ResponseWriter.
func (w *Writer) WriteHeader(status int) { w.res.WriteHeader(status) }

// Write sends data to the caller. It fails when the caller went away or took
// nothing for the write timeout.
func (w *Writer) Write(data []byte) (int, error) {
	written := 0
	for len(data) > 0 {
		n := min(len(data), writeSlice)
		if err := w.writeSlice(data[:n]); err != nil {
			return written, err
		}
		written += n
		data = data[n:]
	}
	return written, nil
}

func (w *Writer) writeSlice(data []byte) error {
	w.extend()
	if _, err := w.res.Write(data); err != nil {
		return fmt.Errorf("write to caller: %w", err)
	}
	w.res.Flush()
	if err := w.conn.writeError(); err != nil {
		return fmt.Errorf("write to caller: %w", err)
	}
	return nil
}

// extend gives the caller the whole write timeout for the next bytes.
func (w *Writer) extend() {
	if w.timeout > 0 {
		_ = w.conn.tcp.SetWriteDeadline(time.Now().Add(w.timeout))
	}
}

// Abort closes the connection, so that a caller in the middle of an answer
// sees that it is not whole.
func (w *Writer) Abort() { _ = w.conn.tcp.Close() }

// CloseAfter tells the caller that this answer is the connection's last one.
// Call it before WriteHeader.
func (w *Writer) CloseAfter() {
	w.Header().Set("Connection", "close")
	w.request.Close = true
}
