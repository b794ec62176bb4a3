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

// Stage is a part of the work for an order to an engine.
type Stage string

// Stages of orders.
const (
	StageReport Stage = "report" // one read of the engine's state, also by a probe or while it loads
	StageDrain  Stage = "drain"  // the wait until the engine's requests can be resumed elsewhere
	StageOrder  Stage = "order"  // the call that gives the order
	StageLoad   Stage = "load"   // the wait until the engine serves the version
)

// observe reports the duration of a stage that ends now.
func (r *Runner) observe(s Stage, began time.Time) {
	if r.opts.OnStage != nil {
		r.opts.OnStage(s, time.Since(began))
	}
}

// order closes the engine to new work, drains it, sends the order and waits
// until the engine serves the version. It returns the version served, 0 if it
// is not known.
func (r *Runner) order(ctx context.Context, u *catalog.Upstream, o Order) (version uint64, err error) {
	if _, err := r.report(ctx, u); err != nil {
		return 0, err
	}
	r.opts.AnnounceClosed(u.Key(), closeDuration, o.Token)
	defer func() { r.opts.AnnounceOpened(u.Key(), o.Model, version, o.Token) }()
	o.Preempt = r.drain(ctx, u)
	report, err := r.report(ctx, u)
	if err != nil {
		return 0, err
	}
	if v := report.Versions[o.Model]; v >= o.Version {
		return v, nil
	}
	if report.Busy {
		return r.awaitVersion(ctx, u, o)
	}
	o.Revision = report.Revision
	if token, held := r.opts.Lease.Token(); !held || token != o.Token {
		return 0, fmt.Errorf("order %s: the lease was lost", u.ID)
	}
	err = r.send(ctx, u, o)
	r.opts.Recorder.Record(event.Event{
		ID: event.OrderGiven, Upstream: u.ID, Version: o.Version, Step: "order", Err: err,
		Detail: fmt.Sprintf("model %s, token %d, revision %d, preempt %t", o.Model, o.Token, o.Revision, o.Preempt),
	})
	if errors.Is(err, ErrFenced) || errors.Is(err, ErrRejected) || errors.Is(err, ErrConflict) {
		return 0, failure.At("order", u.ID, err)
	}
	return r.awaitVersion(ctx, u, o) // an order without a response may have been accepted
}

// send sends an order to an engine.
func (r *Runner) send(ctx context.Context, u *catalog.Upstream, o Order) error {
	defer r.observe(StageOrder, time.Now())
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.opts.Control.Order(bounded, u, o)
}

// drain waits until all requests in the engine can be resumed at other engines,
// for at most drainMax. It reports whether the engine may preempt its requests.
func (r *Runner) drain(ctx context.Context, u *catalog.Upstream) bool {
	began := time.Now()
	defer r.observe(StageDrain, began)
	for {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(drainPoll):
		}
		_, notResumable := r.opts.Requests(u)
		waited := time.Since(began)
		if notResumable == 0 && waited >= drainMin {
			return true
		}
		if waited >= drainMax {
			return false
		}
	}
}

// report reads an engine's state. Its error wraps errUnreachable.
func (r *Runner) report(ctx context.Context, u *catalog.Upstream) (Report, error) {
	defer r.observe(StageReport, time.Now())
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	report, err := r.opts.Control.Report(bounded, u)
	if err != nil {
		return report, fmt.Errorf("%w: %w", errUnreachable, failure.At("report", u.ID, err))
	}
	return report, nil
}

// errUnreachable: an engine's state could not be read.
var errUnreachable = errors.New("the engine's state could not be read")

// awaitVersion polls the engine until it serves the version of o. It gives up
// after orderTimeout, when the engine does not start loading, or after more than
// maxFailedPolls failed reports in a row.
func (r *Runner) awaitVersion(ctx context.Context, u *catalog.Upstream, o Order) (uint64, error) {
	began := time.Now()
	defer r.observe(StageLoad, began)
	deadline := began.Add(orderTimeout)
	idle, failed := 0, 0
	for time.Now().Before(deadline) {
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-time.After(pollPeriod):
		}
		report, err := r.report(ctx, u)
		if err != nil {
			if failed++; failed > maxFailedPolls {
				return 0, err
			}
			continue
		}
		failed = 0
		if v := report.Versions[o.Model]; v >= o.Version {
			return v, nil
		}
		if idle++; report.Busy {
			idle = 0
		}
		if idle > maxIdlePolls {
			return report.Versions[o.Model], fmt.Errorf("order %s: the engine did not start loading", u.ID)
		}
	}
	return 0, fmt.Errorf("order %s: not completed within %v", u.ID, orderTimeout)
}

// maxFailedPolls is the number of reports in a row that may fail while an engine
// loads. It is small because the engine counts as loading meanwhile, and others wait
// for it.
const maxFailedPolls = 2

// maxIdlePolls is the number of polls in a row that may show no order in
// progress. It is more than one because engines report with a short delay.
const maxIdlePolls = 6
