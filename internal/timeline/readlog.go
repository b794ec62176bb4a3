package timeline

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"

	"currantpulley/internal/event"
)

// maxLogLine is the maximum length of a log line, in bytes.
const maxLogLine = 1 << 20

// logLine is an event as Recorder writes it to the log.
type logLine struct {
	Level      event.Level `json:"level"`
	VM         string      `json:"vm"`
	Number     event.ID    `json:"event"`
	Timestamp  Timestamp   `json:"hlc"`
	Request    string      `json:"request"`
	Workspace  string      `json:"workspace"`
	Upstream   string      `json:"upstream"`
	Peer       string      `json:"peer"`
	Version    uint64      `json:"version"`
	Step       string      `json:"step"`
	Detail     string      `json:"detail"`
	Error      string      `json:"error"`
	Suppressed int         `json:"left_out"`
	Name       string      `json:"message"`
}

// Log holds the events read from the logs of one or more daemons.
type Log struct {
	Entries    []Entry        // oldest first
	Suppressed map[string]int // number of events suppressed by sampling, by VM
	Skipped    int            // number of lines that hold no event
}

// ReadLog reads the log lines of one or more daemons. Text before a line's first
// brace, such as the timestamp of a log collector, is skipped. On an error it
// returns the events read so far too.
func ReadLog(r io.Reader) (*Log, error) {
	l := &Log{Suppressed: make(map[string]int)}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		l.add(lines.Bytes())
	}
	sortEntries(l.Entries)
	if err := lines.Err(); err != nil {
		return l, fmt.Errorf("read the log after %d events: %w", len(l.Entries), err)
	}
	return l, nil
}

// Timeline returns the entries that f selects, the newest ones if they exceed its
// limit. VMs that suppressed events by sampling are listed as Truncated; the limit
// does not add to that list.
func (l *Log) Timeline(f Filter) Timeline {
	t := Timeline{}
	for _, e := range l.Entries {
		if f.Match(e) {
			t.Entries = append(t.Entries, e)
		}
		if !slices.Contains(t.VMs, e.VM) {
			t.VMs = append(t.VMs, e.VM)
		}
	}
	t.Entries = t.Entries[max(0, len(t.Entries)-f.limit()):]
	for vm, n := range l.Suppressed {
		if n > 0 {
			t.Truncated = append(t.Truncated, vm)
		}
	}
	return t
}

// add parses one line and adds its event.
func (l *Log) add(line []byte) {
	var e logLine
	start := bytes.IndexByte(line, '{')
	if start < 0 || json.Unmarshal(line[start:], &e) != nil || e.Number == 0 {
		l.Skipped++
		return
	}
	l.Suppressed[e.VM] += e.Suppressed
	l.Entries = append(l.Entries, Entry{
		Timestamp: e.Timestamp, VM: e.VM, Number: e.Number, Name: e.Name, Level: e.Level, At: e.Timestamp.Time(),
		Request: e.Request, Workspace: e.Workspace, Upstream: e.Upstream, Peer: e.Peer, Version: e.Version,
		Step: e.Step, Detail: e.Detail, Error: e.Error,
	})
}
