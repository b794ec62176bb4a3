// Package crowd plays callers that a process doesn't control: many at once, with large
// bodies that most of them never end, half heads, or answers that they don't read.
package crowd

import (
	"bufio"
	"cmp"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
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
	Whole            Kind = "whole requests"                      // whose answers are read for a while
	Messages         Kind = "prompts of many messages"            // whole, on a route of models
)

// Kinds lists the kinds that call any route.
var Kinds = []Kind{Length, OneChunk, TinyChunks, FarOverAnnounced, FarOverSent, SlowReaders, HalfHeads, ManyFields}

const (
	completeEach      = 8    // one caller in so many sends its body to the end
	farOver           = 8    // bodies far over the limit have so many times its size
	manyFieldsCallers = 300  // at least
	handshakeCallers  = 1000 // at least
	wholeCallers      = 300  // at least
	callPatience      = 5 * time.Second
	answerPatience    = 2 * time.Second
)

// Plan describes a crowd.
type Plan struct {
	Kind    Kind
	Callers int
	Address string // of the process, as host:port
	Head    string // request line and fields, without an end; of a request with a body
	Long    string // the same of a request without a body whose answer is long
	Chat    string // as Head, of a model request with messages
	Whole   string // a whole request whose answer is read
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
	case Whole:
		return max(p.Callers, wholeCallers)
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
	case Whole:
		s.send("%s", p.Whole)
		s.readAnswer()
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
