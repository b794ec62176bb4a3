package daemon

import (
	"github.com/rs/zerolog"

	"currantpulley/internal/config"
	"currantpulley/internal/event"
	"currantpulley/internal/pipe"
)

// Option configures a Daemon.
type Option func(*options)

// options are the settings that the Options change.
type options struct {
	static    *staticConfig        // nil: the configuration comes from the log
	placement func() []pipe.Filter // nil: the default filters
	recorder  event.Recorder       // in addition to the daemon's own
	logger    zerolog.Logger
}

// staticConfig is a configuration that does not come from the log.
type staticConfig struct {
	version uint64
	config  *config.Config
}

// WithConfig applies a fixed configuration instead of the one from the log. It is
// meant for a daemon without a log, which publishes nothing, runs no at-most-once
// calls and sends no orders.
func WithConfig(version uint64, c *config.Config) Option {
	return func(o *options) { o.static = &staticConfig{version, c} }
}

// WithPlacement replaces the filters that enforce limits and classify, admit and
// place requests. The first of them runs before at-most-once calls are checked.
func WithPlacement(filters func() []pipe.Filter) Option {
	return func(o *options) { o.placement = filters }
}

// WithLogger makes the daemon log its events to l. Without it, events are only kept
// in memory for the timeline.
func WithLogger(l zerolog.Logger) Option {
	return func(o *options) { o.logger = l }
}

// WithRecorder adds a recorder that gets the daemon's events too.
func WithRecorder(r event.Recorder) Option {
	return func(o *options) { o.recorder = r }
}
