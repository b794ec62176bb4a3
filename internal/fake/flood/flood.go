// Package flood plays an upstream at fault, which answers with bytes that never end.
package flood

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Kind is what an upstream sends.
type Kind string

// Kinds of floods.
const (
	Noise         Kind = "bytes that are no response"
	Field         Kind = "a header field"
	Fields        Kind = "header fields"
	Informational Kind = "informational responses"
	ShortFields   Kind = "a body after a head of short fields" // as many as fit, as below
	LongFields    Kind = "a body after a head of long fields"
	OneField      Kind = "a body after a head of one field"
	Body          Kind = "a body" // framed by the end of the connection
	Announced     Kind = "a body with a length"
	Chunk         Kind = "a chunk"
	Chunks        Kind = "tiny chunks"
	Extension     Kind = "a chunk extension"
	Trailers      Kind = "trailers"
	Line          Kind = "a line of an event"
	Lines         Kind = "lines of an event"
	Comments      Kind = "comments"
	Events        Kind = "events"
)

// Kinds lists all kinds.
var Kinds = []Kind{
	Noise, Field, Fields, Informational, ShortFields, LongFields, OneField, Body, Announced, Chunk, Chunks,
	Extension, Trailers, Line, Lines, Comments, Events,
}

const (
	headBytes = 64 << 10 // of a full head: the longest that the daemons take
	headSpare = 2 << 10  // bytes of a full head left for its other fields
	stepBytes = 32 << 10 // written at once
	longValue = 240      // bytes of the value of a long field
	endless   = 1 << 40  // stated length of a body, in bytes

	// heldFor is the time for which a body is held back after its beginning, so that many
	// responses are in progress at once.
	heldFor = 500 * time.Millisecond
)

// Answer answers r with a flood until the connection is closed. fields begin the head,
// each with its line end.
func Answer(w http.ResponseWriter, r *http.Request, kind Kind, status int, fields string) {
	_, _ = io.Copy(io.Discard, r.Body)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	go func() { // the server may see the end of the connection while it holds back
		_, _ = io.Copy(io.Discard, conn)
		_ = conn.Close()
	}()
	head := fmt.Sprintf("HTTP/1.1 %d Status\r\n%s", status, fields)
	first, then := parts(kind, head)
	out := bufio.NewWriterSize(conn, stepBytes)
	_, _ = out.WriteString(first)
	if out.Flush() != nil {
		return
	}
	if kind == ShortFields || kind == LongFields || kind == OneField {
		time.Sleep(heldFor)
	}
	for step := bytes.Repeat([]byte(then), max(1, stepBytes/len(then))); err == nil; {
		_, err = conn.Write(step)
	}
}

// parts returns what a flood begins with, and what follows again and again.
func parts(kind Kind, head string) (first, then string) {
	const chunked = "Transfer-Encoding: chunked\r\n\r\n"
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n", int64(endless))
	switch kind {
	case Noise:
		return "", "noise"
	case Field:
		return head + "X-Long: ", "x"
	case Fields:
		return head, fields(headBytes, 0)
	case Informational:
		return "", "HTTP/1.1 103 Early Hints\r\nX-Hint: x\r\n\r\n"
	case ShortFields:
		return head + fields(headBytes-headSpare-len(head), 0) + length, "y"
	case LongFields:
		return head + fields(headBytes-headSpare-len(head), longValue) + length, "y"
	case OneField:
		return head + fields(headBytes-headSpare-len(head), headBytes-2*headSpare) + length, "y"
	case Body:
		return head + "\r\n", "y"
	case Announced:
		return head + length, "y"
	case Chunk:
		return head + chunked + fmt.Sprintf("%x\r\n", int64(endless)), "y"
	case Chunks:
		return head + chunked, "1\r\ny\r\n"
	case Extension:
		return head + chunked + "1;x=", "y"
	case Trailers:
		return head + chunked + "1\r\ny\r\n0\r\n", "X-Trailer: x\r\n"
	case Line:
		return head + "\r\nid: 1\ndata: ", "y"
	case Lines:
		return head + "\r\nid: 1\n", "data: y\n"
	case Comments:
		return head + "\r\n", ": y\n\n"
	case Events:
		return head + "\r\n", "id: 1\ndata: y\n\n"
	}
	return "", string(kind)
}

// fields returns distinct header fields with values of a length, as many as fit into n
// bytes.
func fields(n, value int) string {
	text := strings.Repeat("v", value)
	var b strings.Builder
	for i := 0; ; i++ {
		field := fmt.Sprintf("%s:%s\r\n", shortName(i), text)
		if b.Len()+len(field) > n {
			return b.String()
		}
		b.WriteString(field)
	}
}

// shortName returns a short name of a header field for each number.
func shortName(n int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	name := []byte{letters[n%26]}
	for n /= 26; n > 0; n /= len(letters) {
		name = append(name, letters[n%len(letters)])
	}
	return string(name)
}
