package server

import (
	"bytes"
	"crypto/tls"
	"io"
	"time"
)

// lingerTimeout is how long a caller may keep sending after its last response before
// its connection is closed. Closing at once would reset the connection before the
// caller has read the response.
const lingerTimeout = 500 * time.Millisecond

// maxLingerBytes is the maximum number of bytes read from a caller after its last
// response.
const maxLingerBytes = 1 << 20

// bodyReader returns data as the body of a response.
func bodyReader(data []byte) io.ReadCloser { return io.NopCloser(bytes.NewReader(data)) }

// closeWrite closes the sending side.
func (c *conn) closeWrite() {
	if t, ok := c.Conn.(*tls.Conn); ok {
		_ = t.CloseWrite()
	}
	_ = c.tcp.CloseWrite()
}

// linger discards what the caller still sends, for at most lingerTimeout, and closes
// the connection.
func (c *conn) linger() {
	_ = c.tcp.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, c.tcp, maxLingerBytes)
	_ = c.tcp.Close()
}
