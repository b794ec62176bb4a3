package peer

import (
	"context"
	"encoding/binary"
	"io"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/wrapperspb"

	"currantpulley/internal/fake/spoiled"
)

// Guards against calls that outlast their deadline, or connections that are read
// without bound, when a peer's address speaks another protocol.
func TestSpoiledResponsesOfPeers(t *testing.T) {
	const timeout = 200 * time.Millisecond
	spoiled.Check(t, spoiled.Responses("HTTP/1.1 200 OK\r\n"), timeout, windowBytes, invoke)
}

// invoke makes one call to p.
func invoke(ctx context.Context, p *spoiled.Peer) (believed bool) {
	pool := NewPool(nil)
	defer pool.Close()
	conn, err := pool.Conn(p.Address)
	if err != nil {
		return true
	}
	return conn.Invoke(ctx, "/test.Echo/Answer", wrapperspb.Int32(1), &wrapperspb.BytesValue{}) == nil
}

// Types of HTTP/2 frames (RFC 9113, section 6).
const (
	frameHeaders      = 1
	frameSettings     = 4
	frameContinuation = 9
)

// frame returns an HTTP/2 frame without flags.
func frame(kind byte, stream uint32, payload string) string {
	head := binary.BigEndian.AppendUint32(nil, uint32(len(payload))<<8|uint32(kind))
	head = append(head, 0) // flags
	return string(binary.BigEndian.AppendUint32(head, stream)) + payload
}

// Guards against a head of megabytes that is read and held for each connection.
func TestHeadOfAPeerIsBounded(t *testing.T) {
	const timeout = 3 * time.Second                                       // longer than it takes to write 16 MB
	field := "\x00\x01x\x7e" + strings.Repeat("v", 126)                   // HPACK: literal, not indexed
	fields := strings.Repeat(field, 64)                                   // shorter than the longest frame
	start := frame(frameSettings, 0, "") + frame(frameHeaders, 1, fields) // its end is not marked
	endless := spoiled.Response{Name: "endless head", Write: func(w io.Writer) {
		_, _ = io.WriteString(w, start)
		spoiled.Endless(w, frame(frameContinuation, 1, fields))
	}}
	spoiled.Check(t, []spoiled.Response{endless}, timeout, 2*maxHeaderBytes, invoke)
}
