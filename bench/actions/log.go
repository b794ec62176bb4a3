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
	appendLimit = 300 // appends per second that the log accepts
	appendBurst = 30
	oneWayDelay = 2500 * time.Microsecond // network delay between a daemon and the log
)

// limitedLog is an in-memory log with network delay and a rate limit on appends.
type limitedLog struct {
	*memlog.Log
	limiter  *rate.Limiter
	down     atomic.Bool
	appended atomic.Int64
	refused  atomic.Int64 // by the rate limit

	mu          sync.Mutex
	appendTimes *hdrhistogram.Histogram // latencies of appends in microseconds
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

// medianAppendTime returns the median latency of an append in microseconds. It is
// measured because sleeps take longer than requested on a busy machine.
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
