package memory

import (
	"errors"
	"io"
)

const (
	firstBuffer = 512      // bytes
	freeBuffer  = 16 << 10 // largest buffer in bytes for which no room is asked: it is part of what a request takes
)

// ErrNoRoom is the error of what is not read because there is no memory for it.
var ErrNoRoom = errors.New("there is no memory left to hold it")

// Room reports whether n more bytes of memory may be held, and counts them if so. It is
// that of a Holding, or says that there is always room.
type Room func(n int64) bool

// ReadAhead reads up to limit bytes of r, as long as room says that there is memory for
// more. whole reports that r has ended.
func ReadAhead(r io.Reader, limit int64, room Room) (data []byte, whole bool, err error) {
	for int64(len(data)) < limit {
		if len(data) == cap(data) {
			size := min(max(firstBuffer, 2*int64(cap(data))), limit)
			if size > freeBuffer && !room(size-int64(cap(data))) {
				return data, false, nil
			}
			data = append(make([]byte, 0, size), data...)
		}
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) {
			return data, true, nil
		}
		if err != nil {
			return data, false, err
		}
	}
	return data, false, nil
}
