package server

import (
	"math/bits"
	"sync"
)

// buffers keeps buffers of bodies that no handler has got, by size: firstBuffer and its
// doubles. Without them a crowd makes garbage faster than the runtime collects it.
var buffers [bits.UintSize]sync.Pool

// classOf returns the index of a size among the doubles of firstBuffer.
func classOf(size int64) (class int, ok bool) {
	class = bits.Len64(uint64(size / firstBuffer))
	return class, size == firstBuffer<<max(0, class-1)
}

// newBuffer returns an empty buffer of the given size.
func newBuffer(size int64) []byte {
	if class, ok := classOf(size); ok {
		if b, ok := buffers[class].Get().(*[]byte); ok {
			return (*b)[:0]
		}
	}
	return make([]byte, 0, size)
}

// dropBuffer gives a buffer back that nobody else uses.
func dropBuffer(b []byte) {
	if class, ok := classOf(int64(cap(b))); ok {
		buffers[class].Put(&b)
	}
}
