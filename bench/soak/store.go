package main

import (
	"context"
	"math/rand/v2"
	"time"

	"currantpulley/bench/soak/plan"
	"currantpulley/platform/standin"
)

// storePoll is the time between two looks at the plan.
const storePoll = 20 * time.Millisecond

// runStore serves the store with the faults of the plan until ctx ends.
func runStore(ctx context.Context, p *plan.Plan) error {
	s, err := standin.NewStoreAt(p.Store)
	if err != nil {
		return err
	}
	defer s.Close()
	s.SetFault(func(string) standin.Fault { return storeFault(p) })
	var restore func()
	for ctx.Err() == nil {
		restoring := len(p.Active(time.Now(), plan.Everywhere, func(k string) bool { return k == plan.StoreRestored })) > 0
		switch {
		case restoring && restore == nil:
			restore = s.Copy()
		case !restoring && restore != nil:
			restore()
			restore = nil
		}
		time.Sleep(storePoll)
	}
	return nil
}

// storeFault draws the fault of one call.
func storeFault(p *plan.Plan) standin.Fault {
	for _, f := range p.Active(time.Now(), plan.Everywhere, plan.IsStore) {
		switch {
		case f.Kind == plan.StoreDown:
			return standin.Refuse
		case f.Kind == plan.StoreHang:
			return standin.Hang
		case f.Kind == plan.StoreLost && rand.Float64() < f.Share: //nolint:gosec // random faults need no secure source
			return standin.DropResponse
		}
	}
	return standin.None
}
