// Package crowd plays callers that a process doesn't control: many at once, with large
// bodies that most of them never end, half heads, or answers that they don't read.
package crowd

import (
	"bufio"
	"bytes"
	"cmp"
	"crypto/tls"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Kind is what the callers of a crowd do.
type Kind string

// Kinds of crowds.
const (
	Length           Kind = "announced length"
	OneChunk         Kind = "one large chunk"
	TinyChunks       Kind = "tiny chunks"
	FarOverAnnounced Kind = "far over the limit, announced"
	FarOverSent      Kind = "far over the limit, just sent"
	SlowReaders      Kind = "slow readers"
	HalfHeads        Kind = "half heads"
	ManyFields       Kind = "many header fields"
	HalfHandshakes   Kind = "half handshakes"                     // of TLS
	LongModel        Kind = "prompts with a long name of a model" // whole, on a route of models
	Messages         Kind = "prompts of many messages"            // whole, on a route of models
)

// Kinds lists the kinds that call any route.
var Kinds = []Kind{Length, OneChunk, TinyChunks, FarOverAnnounced, FarOverSent, SlowReaders, HalfHeads, ManyFields}

const (
	completeEach = 8  // one caller in so many sends its body to the end
	farOver      = 8  // bodies far over the limit have so many times its size
	tinyChunk    = 16 // bytes
	shortBody    = 2  // bytes
	endSpace     = 64 // bytes of a head for the field with the length, and its end

	manyFieldsCallers = 300
	handshakeCallers  = 1000
	maxRecord         = 1 << 14   // bytes of a record of TLS
	handshakeBytes    = 1<<16 - 1 // of a first message
	manyFieldsHead    = 64 << 10  // bytes
	largeChunk        = 1 << 20   // bytes
	sendStep          = 64 << 10  // bytes written at once
	sendPatience      = 4 * time.Second
	callPatience      = 5 * time.Second
)

// Plan describes a crowd.
type Plan struct {
	Kind    Kind
	Callers int
	Address string // of the process, as host:port
	Head    string // request line and fields, without an end; of a request with a body
	Long    string // the same of a request without a body whose answer is long
	Chat    string // as Head, of a model request with messages
	Target  string // host:port of the listener that the crowd calls; empty: Address
	Body    int64  // largest legal body, in bytes
	Header  int64  // largest legal head, in bytes
	TLS     bool   // requests are sent over TLS
}

// Crowd is the open connections of its callers.
type Crowd struct {
	mu    sync.Mutex
	conns []net.Conn
}

// Gather lets all callers connect and send at once. It returns when each has stopped.
func Gather(p Plan) *Crowd {
	c := &Crowd{}
	var wg sync.WaitGroup
	for i := range p.callers() {
		wg.Go(func() { c.call(p, i%completeEach == completeEach-1) })
	}
	wg.Wait()
	return c
}

// callers returns the number of callers. There are more where each holds little.
func (p Plan) callers() int {
	switch p.Kind {
	case ManyFields:
		return max(p.Callers, manyFieldsCallers)
	case HalfHandshakes:
		return max(p.Callers, handshakeCallers)
	}
	return p.Callers
}

// Close closes all connections.
func (c *Crowd) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// call opens a connection, sends what the plan says and leaves it open.
func (c *Crowd) call(p Plan, complete bool) {
	conn, err := net.DialTimeout("tcp", cmp.Or(p.Target, p.Address), callPatience)
	if err != nil {
		return
	}
	c.mu.Lock()
	c.conns = append(c.conns, conn)
	c.mu.Unlock()
	if p.Kind == SlowReaders {
		_ = conn.(*net.TCPConn).SetReadBuffer(sendStep)
	}
	s := sender{conn}
	if p.TLS && p.Kind != HalfHandshakes {
		s = sender{tls.Client(conn, tlsConfig)}
	}
	switch p.Kind {
	case HalfHandshakes:
		s.fillHandshake()
	case Length:
		s.send("%sContent-Length: %d\r\n\r\n", p.Head, p.Body)
		s.fill(last(p.Body, complete))
	case OneChunk:
		s.send("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n", p.Head, p.Body)
		s.fill(last(p.Body, complete))
		s.end(complete)
	case TinyChunks:
		s.send("%sTransfer-Encoding: chunked\r\n\r\n", p.Head)
		s.chunks(last(p.Body, complete), tinyChunk)
		s.end(complete)
	case FarOverAnnounced:
		s.send("%sContent-Length: %d\r\n\r\n", p.Head, farOver*p.Body)
		s.fill(farOver * p.Body)
	case FarOverSent:
		s.send("%sTransfer-Encoding: chunked\r\n\r\n", p.Head)
		s.chunks(farOver*p.Body, largeChunk)
	case SlowReaders:
		s.send("%s\r\n", p.Long)
	case HalfHeads:
		s.send("%sX-Long: %s", p.Head, strings.Repeat("x", int(p.Header)-len(p.Head)-len("X-Long: ")))
	case ManyFields:
		s.send("%sContent-Length: %d\r\n%s\r\n", p.Head, shortBody, shortFields(min(p.Header, manyFieldsHead)-int64(len(p.Head))-endSpace))
		s.fill(last(shortBody, complete))
	case Messages:
		s.whole(p.Chat, messages(p.Body))
	case LongModel:
		s.whole(p.Chat, longModel(p.Body))
	}
}

// tlsConfig accepts any certificate.
var tlsConfig = &tls.Config{InsecureSkipVerify: true} //nolint:gosec // of the process under test

// fillHandshake sends the first message of a handshake without its last byte.
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

// whole sends a whole request.
func (s sender) whole(head string, body []byte) {
	s.send("%sContent-Length: %d\r\n\r\n", head, len(body))
	s.repeat(body, int64(len(body)))
}

// longModel returns the body of a model request, of n bytes, for a model with a name that
// is longer when it is quoted.
func longModel(n int64) []byte {
	const first, last = `{"messages":[{}],"model":"`, `"}`
	return []byte(first + repeated("\x7f", int(n)-len(first)-len(last)) + last)
}

// messages returns the body of a model request with as many messages as n bytes hold.
func messages(n int64) []byte {
	const first, last = `{"model":"m","messages":[{}`, "]}"
	all := first + repeated(",{}", int(n)-len(first)-len(last)) + last
	return append([]byte(all), bytes.Repeat([]byte(" "), int(n)-len(all))...)
}

// repeated returns as many copies of s as n bytes hold.
func repeated(s string, n int) string { return strings.Repeat(s, n/len(s)) }

// last returns the number of bytes that a caller sends of a body of n.
func last(n int64, complete bool) int64 {
	if complete {
		return n
	}
	return n - 1
}

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

// Ask sends one request with a body of n bytes over a connection of its own and returns
// the status of the whole answer, 0 if there was none.
func (p Plan) Ask(n int64) int {
	conn, err := net.DialTimeout("tcp", p.Address, callPatience)
	if err != nil {
		return 0
	}
	if p.TLS {
		conn = tls.Client(conn, tlsConfig)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(callPatience))
	go func() { // an answer may come before the request's end
		_, _ = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n", p.Head, n)
		_, _ = io.CopyN(conn, endless{}, n)
	}()
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer func() { _ = res.Body.Close() }()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return 0
	}
	return res.StatusCode
}

// endless reads as an unlimited body.
type endless struct{}

func (endless) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}
