//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes the record of a case: one JSON object a line, with the time since the start.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecorder(path string) *recorder {
	f, err := os.Create(path)
	must(err)
	return &recorder{file: f, began: time.Now()}
}

// write writes one line: what happened, and its fields as names and values.
func (r *recorder) write(what string, fields ...any) {
	line := map[string]any{"at_ms": time.Since(r.began).Milliseconds(), "what": what}
	for i := 0; i+1 < len(fields); i += 2 {
		line[fmt.Sprint(fields[i])] = fields[i+1]
	}
	data, err := json.Marshal(line)
	must(err)
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.file.Write(append(data, '\n'))
}

// since returns the time since the start in ms.
func (r *recorder) since(t time.Time) int64 { return t.Sub(r.began).Milliseconds() }

func must(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case can't run:", err)
		cleanup()
		os.Exit(2)
	}
}
