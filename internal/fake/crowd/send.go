package crowd

import (
	"bufio"
	"bytes"
	"crypto/tls"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	shortBody      = 2         // bytes
	tinyChunk      = 16        // bytes
	largeChunk     = 1 << 20   // bytes
	manyFieldsHead = 64 << 10  // bytes
	endSpace       = 64        // bytes of a head for the field with the length, and its end
	maxRecord      = 1 << 14   // bytes of a record of TLS
	handshakeBytes = 1<<16 - 1 // of a first message of TLS
	sendStep       = 64 << 10  // bytes written at once
	sendPatience   = 4 * time.Second
)

// sender writes to a connection for at most sendPatience at a time. What can't be sent is
// given up: the process may refuse it.
type sender struct{ net.Conn }

func (s sender) send(format string, args ...any) bool {
	_ = s.SetWriteDeadline(time.Now().Add(sendPatience))
	_, err := fmt.Fprintf(s.Conn, format, args...)
	return err == nil
}

// fill writes n bytes of a body.
func (s sender) fill(n int64) { s.repeat(bytes.Repeat([]byte("x"), sendStep), n) }

// chunks writes a body of n bytes in chunks of the given size.
func (s sender) chunks(n, size int64) {
	one := fmt.Appendf(nil, "%x\r\n%s\r\n", size, strings.Repeat("x", int(size)))
	each := max(1, sendStep/int64(len(one)))
	s.repeat(bytes.Repeat(one, int(each)), n/size*int64(len(one)))
}

// repeat writes n bytes, step after step.
func (s sender) repeat(step []byte, n int64) {
	for n > 0 {
		_ = s.SetWriteDeadline(time.Now().Add(sendPatience))
		written, err := s.Write(step[:min(n, int64(len(step)))])
		if err != nil {
			return
		}
		n -= int64(written)
	}
}

// end ends a chunked body, or doesn't.
func (s sender) end(complete bool) {
	if complete {
		s.send("\r\n0\r\n\r\n")
	}
}

// whole sends a whole request.
func (s sender) whole(head string, body []byte) {
	s.send("%sContent-Length: %d\r\n\r\n", head, len(body))
	s.repeat(body, int64(len(body)))
}

// readAnswer reads what comes of an answer within answerPatience.
func (s sender) readAnswer() {
	_ = s.SetReadDeadline(time.Now().Add(answerPatience))
	res, err := http.ReadResponse(bufio.NewReader(s), nil)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
}

// tlsConfig accepts any certificate.
var tlsConfig = &tls.Config{InsecureSkipVerify: true} //nolint:gosec // of the process under test

// fillHandshake sends the first message of a handshake without its end.
func (s sender) fillHandshake() {
	const typeHandshake, clientHello = 22, 1
	message := make([]byte, handshakeBytes)
	copy(message, []byte{clientHello, 0, handshakeBytes >> 8, handshakeBytes & 0xff})
	for part := range slices.Chunk(message, maxRecord) {
		s.send("%c\x03\x01%s%s", typeHandshake, binary.BigEndian.AppendUint16(nil, uint16(len(part))), part)
	}
}

// shortFields returns header fields with short names, all different, of at most n bytes.
func shortFields(n int64) string {
	var b strings.Builder
	for i := int64(0); ; i++ {
		field := strconv.FormatInt(i, 36) + ":\r\n"
		if int64(b.Len()+len(field)) > n {
			return b.String()
		}
		b.WriteString(field)
	}
}

// messages returns the body of a model request with as many messages as n bytes hold.
func messages(n int64) []byte {
	const first, last = `{"model":"m","messages":[{}`, "]}"
	all := first + repeated(",{}", int(n)-len(first)-len(last)) + last
	return append([]byte(all), bytes.Repeat([]byte(" "), int(n)-len(all))...)
}

// longModel returns the body of a model request, of n bytes, for a model with a name that
// is longer when it is quoted.
func longModel(n int64) []byte {
	const first, last = `{"messages":[{}],"model":"`, `"}`
	return []byte(first + repeated("\x7f", int(n)-len(first)-len(last)) + last)
}

// last returns the number of bytes that a caller sends of a body of n.
func last(n int64, complete bool) int64 {
	if complete {
		return n
	}
	return n - 1
}

// repeated returns as many copies of s as n bytes hold.
func repeated(s string, n int) string { return strings.Repeat(s, n/len(s)) }

// endless reads as an unlimited body.
type endless struct{}

func (endless) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}
