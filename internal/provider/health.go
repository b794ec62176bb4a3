// Package provider has what the adapters of all providers of records need: it records
// whether the provider answers and which records can't be read, and proves how recent
// the records are.
package provider

import (
	"fmt"

	"currantpulley/internal/event"
	"currantpulley/internal/freshness"
)

// Health follows the polls of one provider. Its methods must be called from one
// goroutine.
type Health struct {
	Recorder event.Recorder
	Name     string // of the provider's data, for events
	Topic    string
	Proof    *freshness.Proof
	lost     bool // the last poll failed
}

// Skipped records an undecodable record.
func (h *Health) Skipped(offset int64, err error) {
	h.Recorder.Record(event.Event{ID: event.ProviderRecordBad, Step: "decode", Detail: fmt.Sprintf("%s offset %d", h.Topic, offset), Err: err})
}

// Proved records that all records before position were applied and that there were no
// others at the given instant.
func (h *Health) Proved(position int64, at freshness.Instant) { h.Proof.RecordRead(position, at) }

// Restored records that the provider was restored from a copy.
func (h *Health) Restored() {
	h.Recorder.Record(event.Event{ID: event.ProviderRestored, Step: "follow", Detail: h.Name})
}

// Lost reports whether the last poll failed.
func (h *Health) Lost() bool { return h.lost }

// PollDone records whether the provider answered a poll, if that changed.
func (h *Health) PollDone(err error) {
	if (err != nil) == h.lost {
		return
	}
	h.lost = err != nil
	e := event.Event{ID: event.ProviderRegained, Step: "follow", Detail: h.Name, Err: err}
	if h.lost {
		e.ID = event.ProviderLost
	}
	h.Recorder.Record(e)
}
