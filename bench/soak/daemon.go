package main

import (
	"context"
	"time"

	"currantpulley/bench/soak/plan"
	"currantpulley/internal/fake/partition"
	"currantpulley/platform"
)

// cutPoll is the time between two looks whether a daemon is partitioned.
const cutPoll = 10 * time.Millisecond

// runDaemon runs a daemon as its own binary does, but over a network that the plan
// partitions from the upstreams: on loopback nothing outside the process can make one
// daemon's attempts to connect hang.
func runDaemon(ctx context.Context, p *plan.Plan, number int) error {
	network := partition.New()
	go func() {
		for sleepUntil(ctx, time.Now().Add(cutPoll)) {
			network.Set(cutOf(p, number))
		}
	}()
	return platform.MainOver(network.Dial)
}

// cutOf returns how a daemon is partitioned now.
func cutOf(p *plan.Plan, number int) partition.Mode {
	for _, f := range p.Active(time.Now(), plan.Everywhere, func(k string) bool { return k == plan.CutDaemons }) {
		if f.Cuts(number, len(p.Daemons)) {
			return f.CutMode()
		}
	}
	return partition.None
}
