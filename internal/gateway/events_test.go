package gateway

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"currantpulley/internal/upstream"
)

// io.EOF must mean that the stream ended between two events. Any other end must
// be an error that does not match io.EOF, however the bytes arrive.
func TestEndOfStreamIsOnlyBetweenEvents(t *testing.T) {
	events := []string{"id: 1\ndata: one\n\n", "weights: 3\nid: 2\r\ndata: two\r\n\r\n", "data: " + strings.Repeat("x", 2*eventBufferBytes) + "\n\n"}
	stream := strings.Join(events, "")
	whole := map[int]bool{0: true}
	for i := range events {
		whole[len(strings.Join(events[:i+1], ""))] = true
	}
	for cut := range len(stream) + 1 {
		for name, body := range map[string]io.Reader{
			"at once":            strings.NewReader(stream[:cut]),
			"byte by byte":       iotest.OneByteReader(strings.NewReader(stream[:cut])),
			"end with the bytes": iotest.DataErrReader(strings.NewReader(stream[:cut])),
		} {
			err := readAllEvents(body)
			if errors.Is(err, io.EOF) != whole[cut] || errors.Is(err, upstream.ErrTruncated) == whole[cut] {
				t.Errorf("%s, cut at byte %d: %v", name, cut, err)
			}
		}
		if err := readAllEvents(io.MultiReader(strings.NewReader(stream[:cut]), iotest.ErrReader(io.ErrClosedPipe))); errors.Is(err, io.EOF) {
			t.Errorf("broken at byte %d: %v", cut, err)
		}
	}
}

// readAllEvents returns the error that ends the events in body.
func readAllEvents(body io.Reader) error {
	r := newEventReader(body, func(int64) bool { return true })
	for {
		if _, err := r.next(); err != nil {
			return err
		}
	}
}
