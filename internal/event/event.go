// Package event is the catalogue of numbered events: what the daemon logs and
// what its time line shows.
package event

import (
	"slices"
	"time"
)

// ID is an event's number. Numbers are never used again for another event.
type ID int

// Level is the severity of an event.
type Level string

// Levels of events.
const (
	Debug Level = "debug"
	Info  Level = "info"
	Warn  Level = "warn"
	Error Level = "error"
)

// Definition describes one event of the catalogue.
type Definition struct {
	ID    ID
	Name  string // stable, in snake case
	Level Level
	Text  string // what happened, for operators
}

// Event is one occurrence. Fields that do not apply are empty.
type Event struct {
	ID        ID
	At        time.Time // zero: set by the recorder
	Request   string
	Workspace string
	Upstream  string
	Peer      string // another VM
	Version   uint64 // of the configuration
	Step      string
	Detail    string
	Err       error
}

// Recorder takes events. Record never blocks for long and is safe for
// concurrent use.
type Recorder interface{ Record(Event) }

// Discard is a Recorder that drops events.
type Discard struct{}

// Record implements Recorder.
func (Discard) Record(Event) {}

// Catalogue returns all definitions, sorted by number.
func Catalogue() []Definition {
	all := slices.Concat(processEvents, requestEvents, decisionEvents, configurationEvents, membershipEvents, callEvents, providerEvents)
	slices.SortFunc(all, func(a, b Definition) int { return int(a.ID - b.ID) })
	return all
}

// Lookup returns the definition of id.
func Lookup(id ID) (Definition, bool) {
	for _, d := range Catalogue() {
		if d.ID == id {
			return d, true
		}
	}
	return Definition{}, false
}
