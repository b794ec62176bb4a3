package rollout

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"currantpulley/internal/catalog"
)

var errSpoiled = errors.New("the response is none")

// spoiledEngine is a slowEngine some of whose responses are lost.
type spoiledEngine struct {
	slowEngine
	lostReports int  // of those that follow the order, the first ones
	lostAnswer  bool // of the order, which is carried out
	orders      int
}

func (e *spoiledEngine) Report(ctx context.Context, u *catalog.Upstream) (Report, error) {
	r, err := e.slowEngine.Report(ctx, u)
	if e.orders > 0 && e.lostReports > 0 {
		e.lostReports--
		return Report{}, errSpoiled
	}
	return r, err
}

func (e *spoiledEngine) Order(ctx context.Context, u *catalog.Upstream, o Order) error {
	e.orders++
	if err := e.slowEngine.Order(ctx, u, o); err != nil || !e.lostAnswer {
		return err
	}
	return errSpoiled
}

// Guards against an engine that counts as not loading, so that others of its service
// load at the same time, because the answer to its order or a report was none.
func TestLoadingOutlastsSpoiledResponses(t *testing.T) {
	for name, tc := range map[string]struct {
		engine *spoiledEngine
		fails  bool
	}{
		"answer":                 {&spoiledEngine{lostAnswer: true}, false},
		"one report":             {&spoiledEngine{lostReports: 1}, false},
		"as many reports as may": {&spoiledEngine{lostReports: maxFailedPolls}, false},
		"answer and reports":     {&spoiledEngine{lostAnswer: true, lostReports: maxFailedPolls}, false},
		"more reports than may":  {&spoiledEngine{lostReports: maxFailedPolls + 1}, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tc.engine.loadTime = 10 * pollPeriod
				began := time.Now()
				_, err := measureOrder(t.Context(), tc.engine, 0)
				if (err != nil) != tc.fails {
					t.Errorf("%v", err)
				}
				if took := time.Since(began); !tc.fails && took < tc.engine.loadTime {
					t.Errorf("the order ended after %v, the engine loads for %v", took, tc.engine.loadTime)
				}
				if tc.engine.orders != 1 {
					t.Errorf("%d orders", tc.engine.orders)
				}
			})
		})
	}
}
