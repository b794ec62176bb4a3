// Package membership keeps each daemon's view of the fleet. The platform's
// lagging list is the seed; probes between daemons are the fresher word. The
// protocol is SWIM (Das, Gupta and Motivala, 2002) with the local health
// score of Lifeguard (Dadgar, Phillips and Currey, 2018). A daemon probes a
// fixed number of neighbours on a ring of its data centre and a few VMs of
// each other one, so that its cost does not grow with the fleet.
//
// Membership is a hint for placement, owners and publishing. Serving a
// request never needs it.
package membership

import (
	"time"

	"currantpulley/internal/backing"
	"currantpulley/internal/control/loop"
	"currantpulley/internal/event"
	"currantpulley/internal/fleet"
	"currantpulley/internal/peer"
)

// Default periods.
const (
	defaultProbePeriod  = time.Second
	defaultProbeTimeout = 400 * time.Millisecond
	defaultSuspicion    = 3 * time.Second
	defaultSyncPeriod   = 10 * time.Second
	defaultListPeriod   = 10 * time.Second
	defaultForget       = time.Minute
)

// Options configures a Membership. Zero periods get defaults.
type Options struct {
	Loop     *loop.Loop
	Pool     *peer.Pool
	List     backing.VMList // nil: only Seeds are known at first
	Seeds    []backing.ListedVM
	Self     fleet.VM // a zero Incarnation is replaced by the start's Unix milliseconds
	Recorder event.Recorder

	// Version returns the configuration version in force here. It is called
	// from the control goroutine.
	Version func() uint64
	// OnVersion gets the version in force at a VM that was heard. It is
	// called from the control goroutine.
	OnVersion func(vm string, version uint64, now time.Time)
	// OnView gets each new view. It is called from the control goroutine.
	OnView func(fleet.View)

	ProbePeriod  time.Duration // between probes to neighbours of the data centre
	ProbeTimeout time.Duration // of a direct probe; indirect ones get twice as long
	Suspicion    time.Duration // until a suspect is dead in a fleet of ten; grows with its logarithm
	SyncPeriod   time.Duration // between comparisons of whole views
	ListPeriod   time.Duration // between reads of the platform's list
	Forget       time.Duration // until a dead VM that the list does not name is dropped
	Seed         uint64        // of the random numbers; 0: from the incarnation
}

func (o *Options) setDefaults(now time.Time) {
	setDuration(&o.ProbePeriod, defaultProbePeriod)
	setDuration(&o.ProbeTimeout, defaultProbeTimeout)
	setDuration(&o.Suspicion, defaultSuspicion)
	setDuration(&o.SyncPeriod, defaultSyncPeriod)
	setDuration(&o.ListPeriod, defaultListPeriod)
	setDuration(&o.Forget, defaultForget)
	if o.Self.Incarnation == 0 {
		o.Self.Incarnation = uint64(now.UnixMilli())
	}
	if o.Seed == 0 {
		o.Seed = o.Self.Incarnation
	}
	if o.Recorder == nil {
		o.Recorder = event.Discard{}
	}
	if o.Version == nil {
		o.Version = func() uint64 { return 0 }
	}
	if o.OnVersion == nil {
		o.OnVersion = func(string, uint64, time.Time) {}
	}
	if o.OnView == nil {
		o.OnView = func(fleet.View) {}
	}
}

func setDuration(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}
