package dispatch

import (
	"errors"
	"time"

	"currantpulley/internal/pipe"
	"currantpulley/internal/upstream"
)

const (
	staleTimeout    = 3 * time.Second       // for new weights to reach all engines and daemons
	staleRetryDelay = 25 * time.Millisecond // between two attempts
)

// staleRetry tracks retries of a request whose engines serve other weights than
// this daemon expects. During a rollout engines and daemons learn of new weights
// at different times. An engine refuses such a request before it runs, so these
// retries are not charged to the retry budget.
type staleRetry struct{ firstStaleAt time.Time }

// observe reports whether err, with which attempts ended, is such a refusal and
// staleTimeout has not passed since the first one. An engine that computed an answer
// with other weights ran the request, which is a failure like any other.
func (s *staleRetry) observe(err error, attempts []*pipe.Attempt) bool {
	if !errors.Is(err, upstream.ErrWrongWeights) || !noneRan(attempts) {
		return false
	}
	if s.firstStaleAt.IsZero() {
		s.firstStaleAt = time.Now()
	}
	return time.Since(s.firstStaleAt) < staleTimeout
}

// wait sleeps before all engines are tried again. It returns false when no engine
// refused for stale weights, or when staleTimeout, the deadline or the context of
// the request has ended.
func (s *staleRetry) wait(x *pipe.Exchange) bool {
	if s.firstStaleAt.IsZero() || time.Since(s.firstStaleAt) >= staleTimeout || time.Now().After(x.Deadline) {
		return false
	}
	return sleepJittered(x.Ctx, staleRetryDelay) == nil
}
