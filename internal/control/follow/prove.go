package follow

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"currantpulley/internal/freshness"
)

const (
	// proveInterval is the least time between two reads that are to prove. Callers that
	// come meanwhile share one.
	proveInterval = 250 * time.Millisecond
	// applyPoll is the time between two checks whether the follower has applied records.
	applyPoll = 5 * time.Millisecond
)

// errRewriting: the store was restored a moment ago, so that records may be missing.
var errRewriting = errors.New("records that the store lost are being written again")

// applied is what a follower has applied.
type applied struct {
	era        uint64 // of the store
	next       int64  // offset after the last record
	restoredAt freshness.Instant
}

// prover holds the state of Follower.Prove.
type prover struct {
	applied atomic.Pointer[applied] // nil: nothing yet; set by the follower
	turn    chan struct{}           // holds one value while nobody proves
	sent    freshness.Instant       // when the last read was sent; guarded by turn
	proved  freshness.Instant       // sent of the last read that proved; guarded by turn
}

// Prove returns nil once all records that were written before at are applied. It reads
// from the store unless a read for another caller was sent later than at.
func (f *Follower) Prove(ctx context.Context, at freshness.Instant) error {
	select {
	case <-f.prover.turn:
		defer func() { f.prover.turn <- struct{}{} }()
	case <-ctx.Done():
		return fmt.Errorf("prove %s: %w", f.Topic, ctx.Err())
	}
	if f.prover.proved >= at {
		return nil
	}
	if f.prover.sent != 0 {
		sleep(ctx, f.prover.sent.Add(proveInterval).Sub(freshness.Now()))
	}
	f.prover.sent = freshness.Now()
	if err := f.catchUp(ctx, f.prover.sent); err != nil {
		return fmt.Errorf("prove %s: %w", f.Topic, err)
	}
	f.prover.proved = f.prover.sent
	return nil
}

// catchUp reads the end of the topic and returns once the follower has applied all
// records before it. sent is the present time.
func (f *Follower) catchUp(ctx context.Context, sent freshness.Instant) error {
	known := f.prover.applied.Load()
	if known == nil {
		return errors.New("nothing was read yet")
	}
	batch, err := f.source.Read(ctx, known.next, 0)
	if err != nil {
		return err
	}
	isBehind := func() bool { return known.era != batch.Era || known.next < batch.End }
	if isBehind() {
		f.interrupt() // the follower may pause, or wait on a connection that hangs or for a reader that pauses
	}
	for isBehind() {
		if sleep(ctx, applyPoll); ctx.Err() != nil {
			return ctx.Err()
		}
		known = f.prover.applied.Load()
	}
	if known.restoredAt != 0 && sent < known.restoredAt.Add(rewriteTime) {
		return errRewriting
	}
	return nil
}
