// Package event is the catalogue of numbered events that daemons write to their
// logs and show in the timeline.
package event

import (
	"slices"
	"time"
)

// ID is the number of an event. A number is never reused for another event.
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
	Text  string // what happened, in words for operators
}

// Event is one occurrence of an event. Fields that do not apply are empty.
type Event struct {
	ID        ID
	At        time.Time // when it happened; the recorder fills in a zero time
	Request   string
	Workspace string
	Upstream  string
	Peer      string // name of another VM
	Version   uint64 // configuration version
	Step      string // operation in which it happened
	Detail    string
	Err       error
}

// Recorder records events. Record never blocks for long and is safe for
// concurrent use.
type Recorder interface{ Record(Event) }

// Discard is a Recorder that discards all events.
type Discard struct{}

// Record implements Recorder and does nothing.
func (Discard) Record(Event) {}

// Catalogue returns all definitions, sorted by number.
func Catalogue() []Definition {
	all := slices.Concat(processEvents, requestEvents, decisionEvents, configurationEvents, membershipEvents, callEvents, providerEvents)
	slices.SortFunc(all, func(a, b Definition) int { return int(a.ID - b.ID) })
	return all
}

// Lookup returns the definition of the event with the given number, and whether
// there is one.
func Lookup(id ID) (Definition, bool) {
	for _, d := range Catalogue() {
		if d.ID == id {
			return d, true
		}
	}
	return Definition{}, false
}
