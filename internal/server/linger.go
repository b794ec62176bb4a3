package server

import (
	"bytes"
	"io"
	"net"
)

// maxLingerBytes is the maximum number of bytes read from a refused caller before
// its connection is closed.
const maxLingerBytes = 1 << 20

// bodyReader returns data as the body of a response.
func bodyReader(data []byte) io.ReadCloser { return io.NopCloser(bytes.NewReader(data)) }

// linger closes the sending side and discards what the caller still sends, until
// the deadline that reject has set. Then it closes the connection.
func (c *conn) linger() {
	if t, ok := c.tcp.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
	_, _ = io.CopyN(io.Discard, c.tcp, maxLingerBytes)
	_ = c.tcp.Close()
}
