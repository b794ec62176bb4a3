package memory

import (
	"errors"
	"io"
)

const (
	firstBuffer = 512      // bytes
	freeBuffer  = 16 << 10 // largest buffer in bytes for which no room is asked: it is part of what a request takes
)

// ReadAhead reads up to limit bytes of r, as long as room says that there is memory for
// more. whole reports that r has ended.
func ReadAhead(r io.Reader, limit int64, room func(n int64) bool) (data []byte, whole bool, err error) {
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
