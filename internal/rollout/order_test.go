package rollout

import (
	"context"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"currantpulley/internal/catalog"
	"currantpulley/internal/event"
)

// slowEngine is the control of an engine that serves the ordered version loadTime
// after the order.
type slowEngine struct {
	silent   bool          // reports are not answered
	callTime time.Duration // until an order is answered
	loadTime time.Duration

	mu        sync.Mutex
	version   uint64 // ordered; 0: none
	orderedAt time.Time
}

func (e *slowEngine) Report(ctx context.Context, _ *catalog.Upstream) (Report, error) {
	if e.silent {
		<-ctx.Done()
		return Report{}, ctx.Err()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	loaded := time.Since(e.orderedAt) >= e.loadTime
	if e.version == 0 || !loaded {
		return Report{Versions: map[string]uint64{"m": 1}, Busy: e.version != 0}, nil
	}
	return Report{Versions: map[string]uint64{"m": e.version}}, nil
}

func (e *slowEngine) Order(_ context.Context, _ *catalog.Upstream, o Order) error {
	time.Sleep(e.callTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.version, e.orderedAt = o.Version, time.Now()
	return nil
}

type heldLease struct{}

func (heldLease) Token() (uint64, bool) { return 1, true }
func (heldLease) Refused(uint64)        {}

// measureOrder gives one order to an engine whose last request that can't be
// resumed ends after busyFor. It returns the longest duration of each stage.
func measureOrder(ctx context.Context, e Control, busyFor time.Duration) (map[Stage]time.Duration, error) {
	took := make(map[Stage]time.Duration)
	began := time.Now()
	r := New(Options{
		Control: e, Lease: heldLease{}, Recorder: event.Discard{},
		Requests: func(*catalog.Upstream) (requests, notResumable int) {
			if time.Since(began) < busyFor {
				return 1, 1
			}
			return 0, 0
		},
		AnnounceClosed: func(catalog.Key, time.Duration, uint64) {},
		AnnounceOpened: func(catalog.Key, string, uint64, uint64) {},
		OnStage:        func(s Stage, d time.Duration) { took[s] = max(took[s], d) },
	})
	_, err := r.order(ctx, &catalog.Upstream{ID: "e"}, Order{Model: "m", Version: 2, Token: 1})
	return took, err
}

// The stages show why an order takes long: the engine drains or loads slowly, or
// does not answer.
func TestStagesShowWhereAnOrderWaits(t *testing.T) {
	for _, tc := range []struct {
		name    string
		engine  *slowEngine
		busyFor time.Duration
		fails   bool
		want    map[Stage]time.Duration
	}{
		{"fast", &slowEngine{}, 0, false,
			map[Stage]time.Duration{StageReport: 0, StageDrain: drainMin, StageOrder: 0, StageLoad: pollPeriod}},
		{"drains slowly", &slowEngine{}, 300 * time.Millisecond, false,
			map[Stage]time.Duration{StageReport: 0, StageDrain: 300 * time.Millisecond, StageOrder: 0, StageLoad: pollPeriod}},
		{"never drains", &slowEngine{}, time.Hour, false,
			map[Stage]time.Duration{StageReport: 0, StageDrain: drainMax, StageOrder: 0, StageLoad: pollPeriod}},
		{"answers an order slowly", &slowEngine{callTime: 400 * time.Millisecond}, 0, false,
			map[Stage]time.Duration{StageReport: 0, StageDrain: drainMin, StageOrder: 400 * time.Millisecond, StageLoad: pollPeriod}},
		{"loads slowly", &slowEngine{loadTime: 20 * pollPeriod}, 0, false,
			map[Stage]time.Duration{StageReport: 0, StageDrain: drainMin, StageOrder: 0, StageLoad: 20 * pollPeriod}},
		{"never loads", &slowEngine{loadTime: time.Hour}, 0, true,
			map[Stage]time.Duration{StageReport: 0, StageDrain: drainMin, StageOrder: 0, StageLoad: orderTimeout}},
		{"does not answer", &slowEngine{silent: true}, 0, true,
			map[Stage]time.Duration{StageReport: callTimeout}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				got, err := measureOrder(t.Context(), tc.engine, tc.busyFor)
				if (err != nil) != tc.fails {
					t.Errorf("error %v", err)
				}
				if !maps.Equal(got, tc.want) {
					t.Errorf("stages took %v, want %v", got, tc.want)
				}
			})
		})
	}
}
