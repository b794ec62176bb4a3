// Package timeline records the events of a daemon and shows the events of all
// daemons in one timeline. Each daemon logs its events and keeps the latest in
// memory, stamped with hybrid logical time: an event that caused another one
// sorts before it, even when the VMs' clocks differ.
package timeline

import (
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/rs/zerolog"

	"currantpulley/internal/event"
)

const (
	defaultKeep = 8192 // entries in each of the two ring buffers
	maxText     = 512  // bytes kept of a detail or an error text
)

// Entry is one event of one VM.
type Entry struct {
	Timestamp Timestamp   `json:"timestamp"`
	VM        string      `json:"vm"`
	Number    event.ID    `json:"number"`
	Name      string      `json:"name"`
	Level     event.Level `json:"level"`
	At        time.Time   `json:"at"`
	Request   string      `json:"request,omitempty"`
	Workspace string      `json:"workspace,omitempty"`
	Upstream  string      `json:"upstream,omitempty"`
	Peer      string      `json:"peer,omitempty"`
	Version   uint64      `json:"version,omitempty"`
	Step      string      `json:"step,omitempty"`
	Detail    string      `json:"detail,omitempty"`
	Error     string      `json:"error,omitempty"`
}

// Recorder is an event.Recorder that logs events and keeps the latest in memory.
// Debug events have a ring buffer of their own, so that they never evict the
// others. It is safe for concurrent use.
type Recorder struct {
	vm      string
	clock   *Clock
	logger  zerolog.Logger
	sampler Sampler // nil: every event is logged

	mu    sync.Mutex
	main  ring
	debug ring
}

// Sampler decides which events are logged. The timeline keeps all of them.
type Sampler interface {
	// Admit reports whether an event is logged now, and how many events of its
	// kind were suppressed since the last logged one.
	Admit(d event.Definition, now time.Time) (suppressed int, ok bool)
}

// SetSampler makes the recorder log only the events that s admits. It must be
// called before the first event is recorded.
func (r *Recorder) SetSampler(s Sampler) { r.sampler = s }

// NewRecorder returns a Recorder for the VM called vm. It keeps up to keep debug
// events and up to keep other events; 0 means 8192.
func NewRecorder(vm string, clock *Clock, logger zerolog.Logger, keep int) *Recorder {
	if keep <= 0 {
		keep = defaultKeep
	}
	return &Recorder{vm: vm, clock: clock, logger: logger, main: ring{size: keep}, debug: ring{size: keep}}
}

// Record implements event.Recorder: it logs e and adds it to a ring buffer.
func (r *Recorder) Record(e event.Event) {
	entry := r.entry(e)
	r.log(entry)
	r.mu.Lock()
	defer r.mu.Unlock()
	if entry.Level == event.Debug {
		r.debug.add(entry)
		return
	}
	r.main.add(entry)
}

// entry returns the timeline entry for e, without credentials.
func (r *Recorder) entry(e event.Event) Entry {
	d := definitions[e.ID]
	if d.Level == "" {
		d.Name, d.Level = "unknown_event", event.Warn
	}
	if e.At.IsZero() {
		e.At = time.Now()
	}
	entry := Entry{
		Timestamp: r.clock.Now(),
		VM:        r.vm,
		Number:    e.ID,
		Name:      d.Name,
		Level:     d.Level,
		At:        e.At,
		Request:   e.Request,
		Workspace: e.Workspace,
		Upstream:  e.Upstream,
		Peer:      e.Peer,
		Version:   e.Version,
		Step:      e.Step,
		Detail:    sanitise(e.Detail),
	}
	if e.Err != nil {
		entry.Error = sanitise(e.Err.Error())
	}
	return entry
}

// definitions are the definitions of the event catalogue by number.
var definitions = func() map[event.ID]event.Definition {
	byID := make(map[event.ID]event.Definition)
	for _, d := range event.Catalogue() {
		byID[d.ID] = d
	}
	return byID
}()

// credentialPattern matches credentials, which must not be logged even if an
// error text quotes one.
var credentialPattern = regexp.MustCompile(`(?i)(bearer\s+|(?:api[_-]?key|token|password|secret)["']?\s*[=:]\s*["']?)[^\s"',&]+`)

// credentialNames are the names before credentials in credentialPattern, in part: "key"
// stands for those that end so.
var credentialNames = []string{"key", "token", "password", "secret"}

// mayHoldCredential is a cheap check that spares most texts the regular expression,
// which takes longer than all else that is done for an event. It is true for all texts
// that the expression matches, and for those that aren't ASCII: the expression's letters
// match some others too.
func mayHoldCredential(text string) bool {
	for i := range len(text) {
		if text[i] >= utf8.RuneSelf {
			return true
		}
	}
	lower := strings.ToLower(text)
	if strings.Contains(lower, "bearer") {
		return true
	}
	isNamed := func(name string) bool { return strings.Contains(lower, name) }
	return strings.ContainsAny(lower, "=:") && slices.ContainsFunc(credentialNames, isNamed)
}

// sanitise masks credentials in text and truncates it to maxText bytes.
func sanitise(text string) string {
	if mayHoldCredential(text) {
		text = credentialPattern.ReplaceAllString(text, "${1}***")
	}
	if len(text) > maxText {
		text = text[:maxText] + "…"
	}
	return text
}

// log writes e to the log unless its level or the sampler excludes it.
func (r *Recorder) log(e Entry) {
	level := zerologLevel(e.Level)
	if level < r.logger.GetLevel() {
		return
	}
	suppressed := 0
	if r.sampler != nil {
		var ok bool
		if suppressed, ok = r.sampler.Admit(definitions[e.Number], e.At); !ok {
			return
		}
	}
	line := r.logger.WithLevel(level).Int("event", int(e.Number)).Uint64("hlc", uint64(e.Timestamp))
	for _, field := range []struct{ key, value string }{
		{"request", e.Request},
		{"workspace", e.Workspace},
		{"upstream", e.Upstream},
		{"peer", e.Peer},
		{"step", e.Step},
		{"detail", e.Detail},
		{"error", e.Error},
	} {
		if field.value != "" {
			line = line.Str(field.key, field.value)
		}
	}
	if e.Version > 0 {
		line = line.Uint64("version", e.Version)
	}
	if suppressed > 0 {
		line = line.Int("left_out", suppressed)
	}
	line.Msg(e.Name)
}

func zerologLevel(l event.Level) zerolog.Level {
	switch l {
	case event.Debug:
		return zerolog.DebugLevel
	case event.Info:
		return zerolog.InfoLevel
	case event.Error:
		return zerolog.ErrorLevel
	case event.Warn:
	}
	return zerolog.WarnLevel
}

// Filter selects timeline entries. A field with its zero value does not restrict
// the selection.
type Filter struct {
	Request  string
	Version  uint64
	VM       string // VM that recorded the event or that the event names as its peer
	Upstream string
	Kinds    []string // names or numbers of events
	Since    time.Time
	Limit    int // newest entries to return per VM; 0 or more than 2000 means 2000
}

// Match reports whether the filter selects e. It does not apply Limit.
func (f Filter) Match(e Entry) bool {
	return (f.Request == "" || f.Request == e.Request) &&
		(f.Version == 0 || f.Version == e.Version) &&
		(f.VM == "" || f.VM == e.VM || f.VM == e.Peer) &&
		(f.Upstream == "" || f.Upstream == e.Upstream) &&
		(f.Since.IsZero() || !e.At.Before(f.Since)) &&
		(len(f.Kinds) == 0 || slices.Contains(f.Kinds, e.Name) || slices.Contains(f.Kinds, strconv.Itoa(int(e.Number))))
}

// Query returns the newest entries that f selects, oldest first, and whether
// older matching entries were omitted.
func (r *Recorder) Query(f Filter) (entries []Entry, truncated bool) {
	r.mu.Lock()
	entries = slices.Concat(r.main.entries(), r.debug.entries())
	r.mu.Unlock()
	entries = slices.DeleteFunc(entries, func(e Entry) bool { return !f.Match(e) })
	sortEntries(entries)
	limit := f.limit()
	if truncated = len(entries) > limit; truncated {
		entries = entries[len(entries)-limit:]
	}
	return entries, truncated
}

// ring is a ring buffer of the latest entries. It grows up to its size.
type ring struct {
	size int
	next int // index of the oldest entry once the buffer is full
	buf  []Entry
}

// add appends e and overwrites the oldest entry when the buffer is full.
func (r *ring) add(e Entry) {
	if len(r.buf) < r.size {
		r.buf = append(r.buf, e)
		return
	}
	r.buf[r.next] = e
	r.next = (r.next + 1) % r.size
}

// entries returns a copy of the entries, oldest first.
func (r *ring) entries() []Entry { return slices.Concat(r.buf[r.next:], r.buf[:r.next]) }
