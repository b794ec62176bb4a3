package memory

import (
	"math/bits"
	"sync"
)

// pooledBuffer is the smallest size of a buffer that is kept for reuse, in bytes.
const pooledBuffer = 16 << 10

// buffers keeps buffers that nobody uses, by size: pooledBuffer and its doubles. Without
// them a crowd makes garbage faster than the runtime collects it.
var buffers [bits.UintSize]sync.Pool

// classOf returns the index of a size among the doubles of pooledBuffer.
func classOf(size int64) (class int, ok bool) {
	class = bits.Len64(uint64(size / pooledBuffer))
	return class, size == pooledBuffer<<max(0, class-1)
}

// NewBuffer returns an empty buffer of the given size.
func NewBuffer(size int64) []byte {
	if class, ok := classOf(size); ok {
		if b, ok := buffers[class].Get().(*[]byte); ok {
			return (*b)[:0]
		}
	}
	return make([]byte, 0, size)
}

// DropBuffer gives a buffer back that nobody else uses.
func DropBuffer(b []byte) {
	if class, ok := classOf(int64(cap(b))); ok {
		buffers[class].Put(&b)
	}
}
