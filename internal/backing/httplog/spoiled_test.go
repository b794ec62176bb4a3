package httplog

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"time"

	"currantpulley/internal/backing"
	"currantpulley/internal/fake/spoiled"
)

// spoiledTimeout is the timeout of a call whose response is spoiled.
const spoiledTimeout = 200 * time.Millisecond

// readTime is longer than it takes to write ten megabytes.
const readTime = 3 * time.Second

// Limits of what is read of a response, in bytes.
const (
	maxHead       = 64 << 10
	maxFirstBytes = 8 << 20 // in spoiledTimeout, of a body that may have maxResponse bytes
)

var logCalls = map[string]func(ctx context.Context, l *Log) error{
	"append": func(ctx context.Context, l *Log) error {
		_, err := l.Append(ctx, "s", []byte("x"))
		return err
	},
	"read": func(ctx context.Context, l *Log) error {
		_, err := l.Read(ctx, "s", 1, 10, 0)
		return err
	},
	"bounds": func(ctx context.Context, l *Log) error {
		_, _, err := l.Bounds(ctx, "s")
		return err
	},
}

// Guards against calls that hang, or take bytes that are no response for one.
func TestSpoiledResponsesOfTheLog(t *testing.T) {
	for name, call := range logCalls {
		t.Run(name, func(t *testing.T) {
			spoiled.Check(t, spoiled.Responses("HTTP/1.1 200 OK\r\n"), spoiledTimeout, maxHead+maxFirstBytes, func(ctx context.Context, p *spoiled.Peer) bool {
				err := call(ctx, New("http://"+p.Address, nil))
				return err == nil || errors.Is(err, backing.ErrTrimmed) || name == "append" && errors.Is(err, backing.ErrUnavailable)
			})
		})
	}
}

// Guards against a head of megabytes that is read and held for each call.
func TestHeadOfTheLogIsBounded(t *testing.T) {
	spoiled.Check(t, spoiled.Heads("HTTP/1.1 200 OK\r\n"), readTime, maxHead, func(ctx context.Context, p *spoiled.Peer) bool {
		_, _, err := New("http://"+p.Address, nil).Bounds(ctx, "s")
		return err == nil
	})
}

// Guards against a refusal whose body is read to its end, which may never come.
func TestBodyOfARefusalIsNotAwaited(t *testing.T) {
	for name, call := range logCalls {
		t.Run(name, func(t *testing.T) {
			spoiled.Check(t, []spoiled.Response{
				{Name: "endless", Write: func(w io.Writer) {
					_, _ = io.WriteString(w, "HTTP/1.1 503 x\r\n\r\n")
					spoiled.Endless(w, " ")
				}},
				{Name: "missing", Write: func(w io.Writer) { _, _ = io.WriteString(w, "HTTP/1.1 503 x\r\nContent-Length: 9\r\n\r\n") }},
			}, readTime, maxHead, func(ctx context.Context, p *spoiled.Peer) bool {
				began := time.Now()
				err := call(ctx, New("http://"+p.Address, nil))
				return !errors.Is(err, backing.ErrUnavailable) || time.Since(began) > readTime/2
			})
		})
	}
}

// Guards against an empty list of records, which proves that none is newer, that is
// seen in a response which says nothing of the kind.
func TestResponseToAnotherCallIsNotBelieved(t *testing.T) {
	bodies := map[string]string{
		"append": `{"offset":3}`, "read": `{"records":[]}`, "bounds": `{"first":1,"next":4}`,
		"nothing": "", "empty object": "{}", "null": "null", "list": "[]", "two values": `{"records":[]}{}`,
		"bounds that are none": `{"first":5,"next":4}`,
	}
	for name, call := range logCalls {
		for kind, body := range bodies {
			p := spoiled.NewPeer(t, func(w io.Writer, _ *http.Request, _ int) bool {
				spoiled.Write(w, http.StatusOK, body)
				return true
			})
			if err := call(t.Context(), New("http://"+p.Address, nil)); (err == nil) != (name == kind) {
				t.Errorf("response to %s for %s: %v", kind, name, err)
			}
		}
	}
}
