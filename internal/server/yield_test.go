package server

import (
	"bufio"
	"net/http/httputil"
	"runtime"
	"strings"
	"testing"

	"currantpulley/internal/freshness"
	"currantpulley/internal/memory"
)

// Guards against bodies in tiny chunks that keep the processor while other requests
// wait: on a single one, others get a turn at least once for each 16 KB that are decoded.
func TestLongBodiesLetOthersRun(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	const (
		chunk = "1\r\nx\r\n"
		size  = 4 << 20  // bytes of data
		each  = 16 << 10 // bytes on the wire
	)
	c := &conn{in: bufio.NewReaderSize(strings.NewReader(strings.Repeat(chunk, size)+"0\r\n\r\n"), readBuffer)}
	c.chunks = httputil.NewChunkedReader(c.in)
	c.held = memory.New(0).Open(nil, freshness.Time(), c.exhaust)
	done := make(chan error)
	go func() {
		body, err := c.readChunks(size)
		if len(body) != size {
			t.Errorf("%d bytes read", len(body))
		}
		done <- err
	}()
	for turns := 0; ; turns++ {
		select {
		case err := <-done:
			if want := size * len(chunk) / each; err != nil || turns < want {
				t.Errorf("others got %d turns, want %d; %v", turns, want, err)
			}
			return
		default:
			runtime.Gosched()
		}
	}
}
