package memory

import (
	"bytes"
	"errors"
	"testing"
)

// A buffer must grow only as long as there is room, which is asked for all of it but what
// is free, and keep its content.
func TestAppendAsksForRoom(t *testing.T) {
	const limit = 1 << 20
	for _, step := range []int{1, 1000, 100_000} {
		granted, refused := int64(0), false
		room := func(n int64) bool {
			refused = refused || granted+n > limit
			if refused {
				return false
			}
			granted += n
			return true
		}
		part := bytes.Repeat([]byte("x"), step)
		var data []byte
		var err error
		appended := 0
		for err == nil {
			if data, err = Append(data, part, room); err == nil {
				appended += step
			}
		}
		if !errors.Is(err, ErrNoRoom) || !refused || !bytes.Equal(data, bytes.Repeat([]byte("x"), appended)) {
			t.Errorf("%d bytes at once: %v, %d of %d bytes are there", step, err, len(data), appended)
		}
		if int64(cap(data)) > granted+freeBuffer {
			t.Errorf("%d bytes at once: %d bytes for %d that were granted", step, cap(data), granted)
		}
	}
}
