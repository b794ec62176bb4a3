package origins

import (
	"context"

	"currantpulley/internal/catalog"
)

// StreamBuild is the build that began a stream.
type StreamBuild struct {
	Stream uint64 // hash of the attempt's id
	Build  catalog.Build
}

// Position is a place in a StreamStore. The zero value is the oldest one.
type Position struct {
	Era    uint64 // of the store; it grows when the store is restored from a copy
	Offset int64
}

// StreamPage holds consecutive builds of streams from a StreamStore.
type StreamPage struct {
	Streams []StreamBuild // oldest first
	Next    Position      // after Streams
	More    bool          // whether there are some after Next
}

// StreamStore keeps the builds of streams beyond the life of all daemons, at least for
// as long as callers may resume the streams. Its calls may be repeated.
type StreamStore interface {
	// Append adds builds of streams.
	Append(ctx context.Context, streams []StreamBuild) error
	// Read returns builds that were added after a position.
	Read(ctx context.Context, from Position) (StreamPage, error)
}
