package actions

import (
	"sync"
	"time"
)

// ledger is a stand-in of the service whose calls must run at most once. It
// records every run, so that duplicate runs and false refusals can be found.
type ledger struct {
	mu    sync.Mutex
	runs  map[string][]ledgerRun
	total int
}

// ledgerRun is one run of a call.
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

// isFalseRefusal reports whether it is wrong to refuse a request as not run:
// because the request itself ran, or because a call with its key had run before
// the request arrived.
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

// doubles returns the number of runs beyond the first of each key.
func (l *ledger) doubles() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, runs := range l.runs {
		n += len(runs) - 1
	}
	return n
}
