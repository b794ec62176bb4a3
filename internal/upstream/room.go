package upstream

import (
	"context"

	"currantpulley/internal/memory"
)

// roomKey is the key of the Room in a context.
type roomKey struct{}

// WithRoom makes the requests sent with the context ask room before much is held of their
// responses: of a large head, and of events.
func WithRoom(ctx context.Context, room memory.Room) context.Context {
	return context.WithValue(ctx, roomKey{}, room)
}

// roomOf returns the Room of a context, or one that always has room.
func roomOf(ctx context.Context) memory.Room {
	if room, ok := ctx.Value(roomKey{}).(memory.Room); ok {
		return room
	}
	return alwaysRoom
}

// alwaysRoom is a Room without a bound.
func alwaysRoom(int64) bool { return true }
