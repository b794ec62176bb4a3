package daemon

import (
	"github.com/rs/zerolog"
	"google.golang.org/grpc"

	"currantpulley/internal/control/loads"
	"currantpulley/internal/control/usage"
	"currantpulley/internal/event"
	"currantpulley/internal/timeline"
)

// events holds the components that record the daemon's events and collect those of
// all daemons.
type events struct {
	clock     *timeline.Clock
	recorder  *timeline.Recorder
	collector *timeline.Collector
}

// newEvents returns the clock and the recorder of the VM called vm.
func newEvents(vm string, logger zerolog.Logger) events {
	clock := timeline.NewClock(nil)
	return events{clock: clock, recorder: timeline.NewRecorder(vm, clock, logger, 0)}
}

// dialOption returns an option that makes calls to peers carry the clock's time. The
// services that exchange loads and usage are excluded, since they make many small
// calls.
func (e events) dialOption() grpc.DialOption {
	return e.clock.ClientOption(loads.ServiceName, usage.ServiceName)
}

// tee records events with two recorders.
type tee struct{ first, second event.Recorder }

// Record implements event.Recorder.
func (t tee) Record(e event.Event) {
	t.first.Record(e)
	t.second.Record(e)
}

// serveEvents registers the service that answers other daemons' queries for this
// daemon's events, and creates the collector.
func (d *Daemon) serveEvents() {
	timeline.NewService(d.events.recorder).Register(d.peers.Server)
	d.events.collector = timeline.NewCollector(d.events.recorder, d.pool, d.control.membership.View)
}
