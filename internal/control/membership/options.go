// Package membership maintains each daemon's view of the fleet. The view starts
// from the platform's VM list, which lags; probes between daemons then keep it
// current. The protocol is SWIM (Das, Gupta and Motivala, 2002) with the local
// health score of Lifeguard (Dadgar, Phillips and Currey, 2018). A daemon
// probes its neighbours on the broadcast ring of its data centre and a few VMs
// of each other data centre, at a fixed rate, so that its cost does not grow
// with the fleet.
//
// Placement, ownership and publishing use membership as a hint. Serving a
// request never depends on it.
package membership

import (
	"time"

	"currantpulley/internal/backing"
	"currantpulley/internal/control/loop"
	"currantpulley/internal/event"
	"currantpulley/internal/fleet"
	"currantpulley/internal/peer"
)

// Defaults of Options.
const (
	defaultProbePeriod      = time.Second
	defaultProbeTimeout     = 400 * time.Millisecond
	defaultSuspicionTimeout = 3 * time.Second
	defaultSyncPeriod       = 10 * time.Second
	defaultListPeriod       = 10 * time.Second
	defaultForgetAfter      = time.Minute
)

// Options configures a Membership. Zero durations are replaced by defaults.
type Options struct {
	Loop     *loop.Loop
	Pool     *peer.Pool
	List     backing.VMList // nil: only Seeds are known at the start
	Seeds    []backing.ListedVM
	Self     fleet.VM // a zero Incarnation is replaced by the start time in Unix milliseconds
	Recorder event.Recorder

	// Version returns the configuration version in force on this VM. It is
	// called on the control goroutine.
	Version func() uint64
	// OnVersion is called on the control goroutine with the configuration
	// version in force at a VM whose message has arrived.
	OnVersion func(vm string, version uint64, now time.Time)
	// OnView is called on the control goroutine with each new view.
	OnView func(fleet.View)

	ProbePeriod      time.Duration // between probes
	ProbeTimeout     time.Duration // of a direct probe; an indirect probe gets twice as long
	SuspicionTimeout time.Duration // until a suspect is declared dead in a fleet of ten VMs; grows with the logarithm of the fleet's size
	SyncPeriod       time.Duration // between view comparisons with a neighbour
	ListPeriod       time.Duration // between reads of the platform's VM list
	ListReaders      int           // live VMs up to which each reads the list once in a ListPeriod, more read it as often in all; 0: any number
	ForgetAfter      time.Duration // until a dead VM that the list does not contain is dropped
	Seed             uint64        // of the random number generator; 0: the incarnation
}

// setDefaults fills in the fields that were left at their zero value.
func (o *Options) setDefaults(now time.Time) {
	setDuration(&o.ProbePeriod, defaultProbePeriod)
	setDuration(&o.ProbeTimeout, defaultProbeTimeout)
	setDuration(&o.SuspicionTimeout, defaultSuspicionTimeout)
	setDuration(&o.SyncPeriod, defaultSyncPeriod)
	setDuration(&o.ListPeriod, defaultListPeriod)
	setDuration(&o.ForgetAfter, defaultForgetAfter)
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

// setDuration sets *d to value unless it is positive already.
func setDuration(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}
