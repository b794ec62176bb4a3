package peers

import (
	"time"

	"currantpulley/internal/catalog"
	"currantpulley/internal/fleet"
)

// announceWait returns the bounds of the random time that a daemon waits before
// it announces an upstream's departure that it has read.
func announceWait(_ []fleet.VM, _ string, _ catalog.Key) (least, most time.Duration) {
	return 0, 0
}
