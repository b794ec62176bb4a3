package actions

import (
	"sync"
	"time"
)

// ledger stands in for the service whose calls must not repeat. It judges what
// callers are told by what ran.
type ledger struct {
	mu    sync.Mutex
	runs  map[string][]ledgerRun
	total int
}

type ledgerRun struct {
	request int64
	at      time.Time
}

func newLedger() *ledger { return &ledger{runs: make(map[string][]ledgerRun)} }

func (l *ledger) run(key string, request int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total++
	l.runs[key] = append(l.runs[key], ledgerRun{request: request, at: time.Now()})
}

// contradicts reports whether a refusal of request as not run is false: it ran
// itself, or its key had run before it arrived.
func (l *ledger) isFalseRefusal(key string, request int64, arrived time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.runs[key] {
		if r.request == request || r.at.Before(arrived) {
			return true
		}
	}
	return false
}

// doubles returns how many runs were one too many.
func (l *ledger) doubles() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, runs := range l.runs {
		n += len(runs) - 1
	}
	return n
}
