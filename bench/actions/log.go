package actions

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/time/rate"

	"currantpulley/internal/backing"
	"currantpulley/internal/fake/memlog"
)

const (
	appendLimit = 300 // appends per second that the log takes
	appendBurst = 30
	oneWayDelay = 2500 * time.Microsecond // from a daemon to the log
)

// limitedLog is a log at a distance that takes a limited number of appends.
type limitedLog struct {
	*memlog.Log
	limiter  *rate.Limiter
	down     atomic.Bool
	appended atomic.Int64
	refused  atomic.Int64 // for the limit

	mu          sync.Mutex
	appendTimes *hdrhistogram.Histogram // microseconds that appends took
}

func newLimitedLog() *limitedLog {
	return &limitedLog{Log: memlog.New(nil), limiter: rate.NewLimiter(appendLimit, appendBurst), appendTimes: hdrhistogram.New(1, maxMicros, 3)}
}

// setDown begins or ends an outage.
func (l *limitedLog) setDown(down bool) {
	l.down.Store(down)
	l.SetDown(down)
}

// Append implements backing.Log.
func (l *limitedLog) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	sent := time.Now()
	time.Sleep(oneWayDelay)
	if l.down.Load() {
		return 0, backing.ErrUnavailable
	}
	if !l.limiter.Allow() {
		l.refused.Add(1)
		return 0, backing.ErrUnavailable
	}
	l.appended.Add(1)
	offset, err := l.Log.Append(ctx, stream, data)
	time.Sleep(oneWayDelay)
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.appendTimes.RecordValue(min(time.Since(sent).Microseconds(), maxMicros))
	return offset, err
}

// roundTrip returns the median time of an append, in microseconds: sleeping
// takes longer than asked for on a busy machine.
func (l *limitedLog) medianAppendTime() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appendTimes.ValueAtQuantile(50)
}

// Read implements backing.Log.
func (l *limitedLog) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) ([]backing.Record, error) {
	time.Sleep(oneWayDelay)
	records, err := l.Log.Read(ctx, stream, from, limit, wait)
	time.Sleep(oneWayDelay)
	return records, err
}
