package catalog

import (
	"time"

	"currantpulley/internal/rendezvous"
)

// Build identifies the software of an upstream: its service and the version that
// it runs. Streams of different builds don't fit together. It is the same on
// every daemon. The zero value stands for any build.
type Build uint32

// BuildOf returns the build of a service at a version of its software.
func BuildOf(service, software string) Build {
	return Build(max(1, uint32(rendezvous.Hash(service+"\x00"+software))))
}

// Build returns the upstream's build.
func (u *Upstream) Build() Build {
	if u.build != 0 {
		return u.build
	}
	return BuildOf(u.Service, u.Software)
}

// buildHistory holds when upstreams of a service were known, to tell whether all
// of them ran one build for some time.
type buildHistory struct {
	since  time.Time           // when its first upstream became known
	lastAt map[Build]time.Time // when an upstream of the build was last removed or replaced
}

// recordRemoved notes that u, which may be nil, is known until now.
func (w *Watcher) recordRemoved(u *Upstream) {
	if u != nil {
		w.builds[u.Service].lastAt[u.Build()] = w.now()
	}
}

// recordAdded notes that an upstream of a service is known from now on.
func (w *Watcher) recordAdded(service string) {
	if _, ok := w.builds[service]; !ok {
		w.builds[service] = buildHistory{since: w.now(), lastAt: make(map[Build]time.Time)}
	}
}

// BuildsOf returns the builds that known upstreams of a service ran within the last
// window, and whether upstreams are known for that long, so that none is missing.
func (w *Watcher) BuildsOf(service string, window time.Duration) (builds map[Build]bool, all bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	builds = make(map[Build]bool)
	for _, u := range w.current.Load().UpstreamsOf(service) {
		builds[u.Build()] = true
	}
	h, known := w.builds[service]
	for b, at := range h.lastAt {
		if w.now().Sub(at) <= window {
			builds[b] = true
		}
	}
	return builds, known && w.now().Sub(h.since) >= window
}
