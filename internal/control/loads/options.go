// Package loads distributes the state and load of engines among the daemons of a
// site. Each engine is owned by one daemon, chosen by rendezvous hashing, which
// polls it. Changes travel down broadcast trees in batches, so that each daemon
// gets each change about once. A change of health, incarnation or weights
// version is forwarded at once.
package loads

import (
	"context"
	"time"

	"currantpulley/internal/config"
	"currantpulley/internal/control/loop"
	"currantpulley/internal/event"
	"currantpulley/internal/fleet"
	"currantpulley/internal/peer"
	"currantpulley/internal/snapshot"
)

const (
	defaultCycle          = time.Second
	defaultPollMin        = 500 * time.Millisecond
	defaultPollMax        = time.Second
	defaultPollInterval   = 300 * time.Millisecond
	defaultPollTimeout    = 250 * time.Millisecond
	defaultPollRetry      = 100 * time.Millisecond
	defaultRefresh        = 10 * time.Second
	defaultPullPeriod     = 15 * time.Second
	defaultDownAfter      = 3    // missed polls
	defaultBudget         = 1200 // bytes per second
	defaultAnswerValidity = 2 * time.Second
)

// Report is an engine's answer to a poll.
type Report struct {
	Incarnation string
	Weights     map[string]string // version by model
	Loading     bool
	Leaving     bool
	Load        snapshot.Load // At is ignored
}

// Poller reads the state of engines.
type Poller interface {
	Poll(ctx context.Context, upstream *config.Upstream) (Report, error)
}

// State is an engine's state as this daemon knows it. Load.At is the time at
// which the load last arrived here; an unchanged load arrives again within
// Options.Refresh.
type State struct {
	Upstream    string
	Health      snapshot.Health
	Incarnation string
	Weights     map[string]string
	Load        snapshot.Load
}

// Options configures Loads. Zero values of the last group are replaced by
// defaults.
type Options struct {
	Loop     *loop.Loop
	Pool     *peer.Pool
	Poller   Poller
	Self     string // name of this VM
	Recorder event.Recorder

	// OnUpdate is called on the control goroutine with the states of all engines
	// after a change. It must not modify the maps in the states.
	OnUpdate func([]State)
	// LastAnswer returns the time at which an upstream last answered a request
	// of this daemon. It is called on the control goroutine; nil means never.
	LastAnswer func(upstream string) time.Time

	Cycle          time.Duration // in which a change of load passes through the whole tree
	PollMin        time.Duration // shortest time between polls of one engine
	PollMax        time.Duration // longest time between polls of one engine
	PollInterval   time.Duration // between any two polls by this daemon, as far as PollMin and PollMax allow
	PollTimeout    time.Duration
	PollRetry      time.Duration // after a missed poll
	Refresh        time.Duration // after which an unchanged load is broadcast again
	PullPeriod     time.Duration // mean time between pulls from another daemon
	Budget         int           // maximum bytes of loads per second that a daemon receives, and likewise sends
	DownAfter      int           // consecutive missed polls after which an engine is down
	AnswerValidity time.Duration // for which an answer to this daemon overrides missed polls
}

// setDefaults fills in the fields that were left at their zero value.
func (o *Options) setDefaults() {
	for _, d := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&o.Cycle, defaultCycle},
		{&o.PollMin, defaultPollMin},
		{&o.PollMax, defaultPollMax},
		{&o.PollInterval, defaultPollInterval},
		{&o.PollTimeout, defaultPollTimeout},
		{&o.PollRetry, defaultPollRetry},
		{&o.Refresh, defaultRefresh},
		{&o.PullPeriod, defaultPullPeriod},
		{&o.AnswerValidity, defaultAnswerValidity},
	} {
		if *d.field <= 0 {
			*d.field = d.value
		}
	}
	if o.DownAfter <= 0 {
		o.DownAfter = defaultDownAfter
	}
	if o.Budget <= 0 {
		o.Budget = defaultBudget
	}
	if o.Recorder == nil {
		o.Recorder = event.Discard{}
	}
	if o.OnUpdate == nil {
		o.OnUpdate = func([]State) {}
	}
	if o.LastAnswer == nil {
		o.LastAnswer = func(string) time.Time { return time.Time{} }
	}
}

// siteOf returns the site of this VM and its live VMs. Suspects are left out, so
// that the engines they own move to other VMs at once.
func siteOf(view fleet.View) (site string, vms []fleet.VM) {
	self, ok := view.Find(view.Self)
	if !ok || self.Site == "" {
		return "", nil
	}
	for _, vm := range view.VMs {
		if vm.Site == self.Site && (vm.State == fleet.Alive || vm.Name == self.Name) {
			vms = append(vms, vm)
		}
	}
	return self.Site, vms
}
