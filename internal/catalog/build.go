package catalog

import "currantpulley/internal/rendezvous"

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
