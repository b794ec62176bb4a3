package memory

import (
	"errors"
	"io"
	"math/bits"
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
			larger, ok := enlarge(data, min(max(firstBuffer, 2*cap(data)), int(limit)), room)
			if !ok {
				return data, false, nil
			}
			data = larger
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

// Append appends p to data. It returns ErrNoRoom if room says that there is no memory for
// a larger buffer. Nobody else may use data.
func Append(data, p []byte, room Room) ([]byte, error) {
	if need := len(data) + len(p); need > cap(data) {
		larger, ok := enlarge(data, max(firstBuffer, 1<<bits.Len(uint(need-1))), room)
		if !ok {
			return data, ErrNoRoom
		}
		data = larger
	}
	return append(data, p...), nil
}

// enlarge returns data in a buffer of size bytes, if room says that there is memory for it.
// The old buffer is used again.
func enlarge(data []byte, size int, room Room) ([]byte, bool) {
	if size > freeBuffer && !room(int64(size-cap(data))) {
		return data, false
	}
	larger := append(NewBuffer(int64(size)), data...)
	DropBuffer(data)
	return larger, true
}
