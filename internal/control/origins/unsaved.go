package origins

import (
	"slices"
	"sync"
	"time"

	"currantpulley/internal/catalog"
)

// unsavedMax bounds the streams that are remembered until they are saved.
const unsavedMax = 1 << 14

// unsaved holds the streams of the last lifetime that this daemon began and that are
// not in the store, oldest first. It is safe for concurrent use.
type unsaved struct {
	mu      sync.Mutex
	streams []begunStream
}

// begunStream is a stream and the time at which it began.
type begunStream struct {
	StreamBuild
	at time.Time
}

// add adds a stream that began now, in place of the oldest one if there are too many.
func (u *unsaved) add(s StreamBuild, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.streams) >= unsavedMax {
		u.streams = u.streams[1:]
	}
	u.streams = append(u.streams, begunStream{s, now})
}

// prune drops the streams that began more than lifetime ago and reports whether any are
// left.
func (u *unsaved) prune(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	first := slices.IndexFunc(u.streams, func(s begunStream) bool { return now.Sub(s.at) <= lifetime })
	if first < 0 {
		u.streams = nil
		return false
	}
	u.streams = u.streams[first:]
	return true
}

// of returns the streams that some builds began.
func (u *unsaved) of(builds map[catalog.Build]bool) []StreamBuild {
	u.mu.Lock()
	defer u.mu.Unlock()
	var out []StreamBuild
	for _, s := range u.streams {
		if builds[s.Build] {
			out = append(out, s.StreamBuild)
		}
	}
	return out
}

// remove drops streams that were saved.
func (u *unsaved) remove(saved []StreamBuild) {
	isSaved := make(map[uint64]catalog.Build, len(saved))
	for _, s := range saved {
		isSaved[s.Stream] = s.Build
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.streams = slices.DeleteFunc(u.streams, func(s begunStream) bool { return isSaved[s.Stream] == s.Build })
}
