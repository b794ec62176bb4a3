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
	oneWay      = 2500 * time.Microsecond // from a daemon to the log
)

// limitedLog is a log at a distance that takes a limited number of appends.
type limitedLog struct {
	*memlog.Log
	limiter  *rate.Limiter
	down     atomic.Bool
	appended atomic.Int64
	refused  atomic.Int64 // for the limit

	mu    sync.Mutex
	trips *hdrhistogram.Histogram // microseconds that appends took
}

func newLimitedLog() *limitedLog {
	return &limitedLog{Log: memlog.New(nil), limiter: rate.NewLimiter(appendLimit, appendBurst), trips: hdrhistogram.New(1, maxAdded, 3)}
}

// setDown begins or ends an outage.
func (l *limitedLog) setDown(down bool) {
	l.down.Store(down)
	l.SetDown(down)
}

// Append implements backing.Log.
func (l *limitedLog) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	sent := time.Now()
	time.Sleep(oneWay)
	if l.down.Load() {
		return 0, backing.ErrUnavailable
	}
	if !l.limiter.Allow() {
		l.refused.Add(1)
		return 0, backing.ErrUnavailable
	}
	l.appended.Add(1)
	offset, err := l.Log.Append(ctx, stream, data)
	time.Sleep(oneWay)
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.trips.RecordValue(min(time.Since(sent).Microseconds(), maxAdded))
	return offset, err
}

// roundTrip returns the median time of an append, in microseconds: sleeping
// takes longer than asked for on a busy machine.
func (l *limitedLog) roundTrip() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.trips.ValueAtQuantile(50)
}

// Read implements backing.Log.
func (l *limitedLog) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) ([]backing.Record, error) {
	time.Sleep(oneWay)
	records, err := l.Log.Read(ctx, stream, from, limit, wait)
	time.Sleep(oneWay)
	return records, err
}
