package origins

import (
	"cmp"
	"sync"
	"time"

	"currantpulley/internal/catalog"
)

const (
	// lifetime is the least time for which a build is remembered. Callers take a
	// stream up before the deadline of its first attempt, which is shorter.
	lifetime = 60 * time.Second
	// generationMax bounds the memory of a table without a bound of its own.
	generationMax = 1 << 15
)

// table remembers builds by the hash of the attempt that began the stream. It
// drops the older of two generations when the newer one is lifetime old or full.
// It is safe for concurrent use.
type table struct {
	max int // entries of a generation; 0: generationMax

	mu        sync.Mutex
	newer     map[uint64]catalog.Build
	older     map[uint64]catalog.Build
	rotatedAt time.Time
}

// put remembers the build of a stream.
func (t *table) put(stream uint64, b catalog.Build, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.newer == nil || len(t.newer) >= cmp.Or(t.max, generationMax) || now.Sub(t.rotatedAt) >= lifetime {
		t.older, t.newer, t.rotatedAt = t.newer, make(map[uint64]catalog.Build), now
	}
	t.newer[stream] = b
}

// get returns the build of a stream, or 0 if it is not known.
func (t *table) get(stream uint64) catalog.Build {
	t.mu.Lock()
	defer t.mu.Unlock()
	if b, ok := t.newer[stream]; ok {
		return b
	}
	return t.older[stream]
}
