package rollout

import (
	"context"
	"errors"
	"fmt"
	"time"

	"currantpulley/internal/catalog"
	"currantpulley/internal/event"
	"currantpulley/internal/failure"
)

// order closes the engine, orders it and waits until it serves the version.
func (r *Runner) order(ctx context.Context, u *catalog.Upstream, o Order) (version uint64, err error) {
	if _, err := r.report(ctx, u); err != nil {
		return 0, err
	}
	r.opts.Closing(u.Key(), closedFor, o.Token)
	defer func() { r.opts.Opened(u.Key(), o.Model, version, o.Token) }()
	o.Preempt = r.settle(ctx, u)
	report, err := r.report(ctx, u)
	if err != nil {
		return 0, err
	}
	if v := report.Versions[o.Model]; v >= o.Version {
		return v, nil
	}
	if report.Busy {
		return r.await(ctx, u, o)
	}
	o.Revision = report.Revision
	if token, held := r.opts.Lease.Token(); !held || token != o.Token {
		return 0, fmt.Errorf("order %s: the lease is not held any more", u.ID)
	}
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	err = r.opts.Control.Order(bounded, u, o)
	cancel()
	r.opts.Recorder.Record(event.Event{
		ID: event.OrderGiven, Upstream: u.ID, Version: o.Version, Step: "order", Err: err,
		Detail: fmt.Sprintf("model %s, token %d, revision %d, preempt %t", o.Model, o.Token, o.Revision, o.Preempt),
	})
	if errors.Is(err, ErrFenced) || errors.Is(err, ErrRejected) || errors.Is(err, ErrConflict) {
		return 0, failure.At("order", u.ID, err)
	}
	return r.await(ctx, u, o) // an order without an answer may have been taken
}

// settle waits until no request in the engine would be lost by ending it. It
// reports whether that is so.
func (r *Runner) settle(ctx context.Context, u *catalog.Upstream) bool {
	began := time.Now()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(settlePoll):
		}
		_, fixed := r.opts.Work(u)
		waited := time.Since(began)
		if fixed == 0 && waited >= settleMin {
			return true
		}
		if waited >= settleMax {
			return false
		}
	}
}

func (r *Runner) report(ctx context.Context, u *catalog.Upstream) (Report, error) {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	report, err := r.opts.Control.Report(bounded, u)
	if err != nil {
		return report, fmt.Errorf("%w: %w", errUnreachable, failure.At("report", u.ID, err))
	}
	return report, nil
}

// errUnreachable marks the failure of a report.
var errUnreachable = errors.New("the engine does not report")

// await reads the engine's reports until it serves the version.
func (r *Runner) await(ctx context.Context, u *catalog.Upstream, o Order) (uint64, error) {
	deadline := time.Now().Add(orderTimeout)
	idle := 0
	for time.Now().Before(deadline) {
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-time.After(pollPeriod):
		}
		report, err := r.report(ctx, u)
		if err != nil {
			return 0, err
		}
		if v := report.Versions[o.Model]; v >= o.Version {
			return v, nil
		}
		if idle++; report.Busy {
			idle = 0
		}
		if idle > idlePolls {
			return report.Versions[o.Model], fmt.Errorf("order %s: the engine did not begin", u.ID)
		}
	}
	return 0, fmt.Errorf("order %s: not carried out within %v", u.ID, orderTimeout)
}

// idlePolls is how many reports in a row may say that no order is in progress:
// reports are a little late.
const idlePolls = 6
