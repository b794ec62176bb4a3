// Package record holds what the processes of a soak write down: arrivals at
// upstreams, calls of callers, and faults. Each process writes JSON lines to its own
// file, one system call a line, so that a killed process loses nothing.
package record

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"
)

// Arrival is a request that an upstream has read.
type Arrival struct {
	Attempt  string        `json:"attempt"`
	Service  string        `json:"service"`
	Upstream string        `json:"upstream"` // id of the instance
	Software string        `json:"software"`
	At       time.Time     `json:"at"`
	Ran      bool          `json:"ran"`
	Status   int           `json:"status"` // of the answer that the upstream chose, 0: none
	Seal     string        `json:"seal,omitempty"`
	Trouble  string        `json:"trouble,omitempty"`
	Method   string        `json:"method"`
	Digest   string        `json:"digest"`            // of the request, see Digest
	Part     string        `json:"part,omitempty"`    // of the prompt, under which the upstream ends
	Fell     bool          `json:"fell,omitempty"`    // the upstream ended because it had to reject too many
	Same     string        `json:"same,omitempty"`    // the request that comes again, under which the upstream ends
	Limit    float64       `json:"limit,omitempty"`   // requests a second that the upstream states, 0: none
	Address  string        `json:"address,omitempty"` // of the upstream
	Leaving  bool          `json:"leaving,omitempty"` // the upstream says that it leaves
	Pause    time.Duration `json:"pause,omitempty"`   // for which the upstream wants no requests
}

// Work is work of an upstream on a call, for which the upstream waited.
type Work struct {
	Attempt  string    `json:"attempt"`
	Upstream string    `json:"upstream"` // id of the instance
	Until    time.Time `json:"until"`    // at which it would have ended by itself
	Ended    time.Time `json:"ended"`    // earlier if the connection was closed
}

// Outcome is how a call ended for its caller.
type Outcome string

// Outcomes of calls.
const (
	Answered Outcome = "answered" // a whole answer
	Broken   Outcome = "broken"   // an answer that was visibly cut off, or bytes that are none
	Closed   Outcome = "closed"   // the connection was closed without an answer
	Left     Outcome = "left"     // the caller closed the connection first
	Late     Outcome = "late"     // neither an answer nor a close in time
)

// Call is one attempt of a caller, with its own id.
type Call struct {
	Attempt   string        `json:"attempt"`
	Request   string        `json:"request"` // the same for all attempts of one request
	Service   string        `json:"service"`
	Route     string        `json:"route"`
	Once      bool          `json:"once"` // may run once at most
	Method    string        `json:"method"`
	Digest    string        `json:"digest"` // of the request, see Digest
	Daemon    string        `json:"daemon"`
	Reused    bool          `json:"reused"`  // the connection had served another request
	Chunked   bool          `json:"chunked"` // the body was sent in chunks
	Half      bool          `json:"half"`    // the caller closed its side after the request
	Early     bool          `json:"early"`   // sent before the answer to the request before
	Sent      time.Time     `json:"sent"`
	Done      time.Time     `json:"done"`
	Limit     time.Duration `json:"limit"` // the shorter of the route's timeout and the caller's deadline
	Outcome   Outcome       `json:"outcome"`
	Status    int           `json:"status"`
	Seal      string        `json:"seal,omitempty"`
	Problem   string        `json:"problem,omitempty"` // what is wrong with an answer
	Events    []Event       `json:"events,omitempty"`
	LastEvent int           `json:"lastEvent"` // that the caller had before this attempt
	Total     int           `json:"total"`     // events of the whole stream
	Workspace string        `json:"workspace,omitempty"`
}

// Event is an event of a stream as the caller read it.
type Event struct {
	ID       int    `json:"id"`
	Software string `json:"software"`
}

// Span is a fault that was in force for some time.
type Span struct {
	Kind   string    `json:"kind"`
	Target string    `json:"target"`
	From   time.Time `json:"from"`
	To     time.Time `json:"to"`
	// Instance is the id of the upstream whose process ended.
	Instance string `json:"instance,omitempty"`
}

// Cuts reports whether the span is of a partition of the daemon. Its target then lists
// daemons.
func (s Span) Cuts(daemon string) bool { return slices.Contains(strings.Split(s.Target, " "), daemon) }

// Memory is the largest resident memory of a daemon.
type Memory struct {
	Daemon string  `json:"daemon"`
	PeakMB float64 `json:"peakMB"`
}

// Recovery is what a daemon served after the last fault.
type Recovery struct {
	Daemon string        `json:"daemon"`
	Route  string        `json:"route"`
	After  time.Duration `json:"after"` // from the last fault to the first success; negative: none
}

// Line is one line of a file of records. One of its fields is set.
type Line struct {
	Arrival  *Arrival  `json:"arrival,omitempty"`
	Work     *Work     `json:"work,omitempty"`
	Call     *Call     `json:"call,omitempty"`
	Span     *Span     `json:"span,omitempty"`
	Memory   *Memory   `json:"memory,omitempty"`
	Recovery *Recovery `json:"recovery,omitempty"`
}

// suffix is the suffix of files of records.
const suffix = ".records"

// Log writes records to a file. It is safe for concurrent use.
type Log struct {
	mu   sync.Mutex
	file *os.File
}

// Open opens the file of the process called name in dir and appends to it.
func Open(dir, name string) (*Log, error) {
	f, err := os.OpenFile(filepath.Join(dir, name+suffix), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	return &Log{file: f}, nil
}

// Write writes one line.
func (l *Log) Write(line Line) error {
	data, err := json.Marshal(line)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	_, err = l.file.Write(append(data, '\n'))
	return err
}

// Close closes the file.
func (l *Log) Close() error { return l.file.Close() }

// All holds the records of all processes.
type All struct {
	Arrivals   []Arrival // by time
	Works      []Work
	Calls      []Call // by the time at which they were sent
	Spans      []Span
	Memory     []Memory
	Recoveries []Recovery
}

// maxLine bounds the length of a line.
const maxLine = 4 << 20

// Load reads the records of all processes in dir.
func Load(dir string) (*All, error) {
	names, err := filepath.Glob(filepath.Join(dir, "*"+suffix))
	if err != nil {
		return nil, err
	}
	if len(names) == 0 {
		return nil, errors.New("no records in " + dir)
	}
	all := &All{}
	for _, name := range names {
		if err := all.load(name); err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
	}
	slices.SortFunc(all.Arrivals, func(a, b Arrival) int { return a.At.Compare(b.At) })
	slices.SortFunc(all.Calls, func(a, b Call) int { return a.Sent.Compare(b.Sent) })
	return all, nil
}

func (a *All) load(name string) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		var l Line
		if err := json.Unmarshal(lines.Bytes(), &l); err != nil {
			return err
		}
		a.add(l)
	}
	return lines.Err()
}

func (a *All) add(l Line) {
	switch {
	case l.Arrival != nil:
		a.Arrivals = append(a.Arrivals, *l.Arrival)
	case l.Work != nil:
		a.Works = append(a.Works, *l.Work)
	case l.Call != nil:
		a.Calls = append(a.Calls, *l.Call)
	case l.Span != nil:
		a.Spans = append(a.Spans, *l.Span)
	case l.Memory != nil:
		a.Memory = append(a.Memory, *l.Memory)
	case l.Recovery != nil:
		a.Recoveries = append(a.Recoveries, *l.Recovery)
	}
}
